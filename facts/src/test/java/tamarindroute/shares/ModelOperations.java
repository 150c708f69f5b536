package tamarindroute.shares;

import java.time.Duration;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;

/**
 * The operations that {@link QuotaModelChecker} explores. A seeded defect overrides the one that it
 * breaks.
 */
interface ModelOperations {

  /** The operations as they are. */
  ModelOperations CORRECT = new ModelOperations() {};

  default LeaseHolder start(Member self, SharedQuota quota) {
    return LeaseHolder.startedAt(self, quota, ModelState.NOW);
  }

  default LeaseHolder onGrant(LeaseHolder holder, LeaseMessage.Grant grant) {
    return holder.onGrant(grant);
  }

  default QuotaAllocator onLeadership(QuotaAllocator allocator, long term, Duration until) {
    return allocator.onLeadership(term, until, ModelState.NOW);
  }

  default QuotaAllocator onConnectionRefused(
      QuotaAllocator allocator, Address address, Duration attemptedAt) {
    return allocator.onConnectionRefused(address, attemptedAt);
  }

  default QuotaAllocator onTick(QuotaAllocator allocator) {
    return allocator;
  }
}
