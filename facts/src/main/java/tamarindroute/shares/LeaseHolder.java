package tamarindroute.shares;

import java.time.Duration;
import java.util.TreeMap;
import tamarindroute.membership.Member;

/**
 * What one incarnation of a gateway may use of a shared quota. A lease is counted from the sending
 * of its request and given up a hundredth early, so that it ends here before it ends at the
 * allocator, however long messages took. Without a lease the fixed share is used. The usable share
 * is to be asked for at the moment of acting, so that a process that was paused finds its lease
 * expired. Immutable.
 *
 * @param startedAt when this incarnation began to listen at its configured address; a refused
 *     connection there proves that no incarnation had started
 * @param lastRequestNumber number of the last request; 0 before the first
 * @param requestTimes sending times of the latest requests, by number
 * @param lease the current or an expired lease, or null
 */
public record LeaseHolder(
    Member self,
    SharedQuota quota,
    Duration startedAt,
    long lastRequestNumber,
    TreeMap<Long, Duration> requestTimes,
    Lease lease) {

  /**
   * Requests remembered; a grant that answers an older one comes when most of its lease is over.
   */
  private static final int MAX_PENDING_REQUESTS = 4;

  /** Requests are sent so many times per lease. */
  private static final int REQUESTS_PER_LEASE = 3;

  /** End of a share that holds until something happens. */
  public static final Duration FOREVER = Duration.ofSeconds(Long.MAX_VALUE);

  /**
   * A lease of a share.
   *
   * @param share in millionths
   */
  record Lease(long requestNumber, long share, Duration expiresAt) {}

  /**
   * What may be used, and until when.
   *
   * @param share in millionths
   */
  public record UsableShare(long share, Duration validUntil) {}

  /**
   * Result of an action of the holder.
   *
   * @param message message to be sent to the allocator
   */
  public record Step(LeaseHolder holder, LeaseMessage message) {}

  /** Copies the request times. */
  public LeaseHolder {
    requestTimes = new TreeMap<>(requestTimes);
  }

  /** Returns the state of an incarnation that starts now. */
  public static LeaseHolder startedAt(Member self, SharedQuota quota, Duration now) {
    return new LeaseHolder(self, quota, now, 0, new TreeMap<>(), null);
  }

  /** Requests a share. A current lease continues until its end. */
  public Step request(Duration now) {
    long requestNumber = lastRequestNumber + 1;
    TreeMap<Long, Duration> times = new TreeMap<>(requestTimes);
    times.put(requestNumber, now);
    while (times.size() > MAX_PENDING_REQUESTS) {
      times.pollFirstEntry();
    }
    return new Step(
        new LeaseHolder(self, quota, startedAt, requestNumber, times, lease),
        new LeaseMessage.Request(self, requestNumber));
  }

  /** Returns when the next request is due. */
  public Duration nextRequestAt() {
    if (requestTimes.isEmpty()) {
      return startedAt;
    }
    Duration interval = quota.leaseDuration().dividedBy(REQUESTS_PER_LEASE);
    return requestTimes.lastEntry().getValue().plus(interval);
  }

  /**
   * Returns the state after a grant. It is ignored if it answers none of this incarnation's latest
   * requests, or an earlier one than the current lease.
   */
  public LeaseHolder onGrant(LeaseMessage.Grant grant) {
    Duration requestedAt = requestTimes.get(grant.requestNumber());
    if (requestedAt == null || !isAcceptable(grant)) {
      return this;
    }
    Duration expiresAt = requestedAt.plus(SharedQuota.shortenedForDrift(grant.leaseDuration()));
    return withLease(new Lease(grant.requestNumber(), grant.share(), expiresAt));
  }

  private boolean isAcceptable(LeaseMessage.Grant grant) {
    boolean isOutdated = lease != null && grant.requestNumber() < lease.requestNumber;
    return grant.holder().equals(self)
        && !isOutdated
        && grant.share() >= 0
        && grant.share() <= quota.limit()
        && !grant.leaseDuration().isNegative()
        && grant.leaseDuration().compareTo(quota.leaseDuration()) <= 0;
  }

  private LeaseHolder withLease(Lease newLease) {
    return new LeaseHolder(self, quota, startedAt, lastRequestNumber, requestTimes, newLease);
  }

  /** Uses the fixed share from now on, and ignores grants that are still on their way. */
  public Step release() {
    return new Step(
        new LeaseHolder(self, quota, startedAt, lastRequestNumber, new TreeMap<>(), null),
        new LeaseMessage.Release(self, lastRequestNumber));
  }

  /**
   * Returns the message that this incarnation uses nothing any more. The holder is to be dropped.
   */
  public LeaseMessage leave() {
    return new LeaseMessage.Leave(self, lastRequestNumber);
  }

  /** Returns what may be used at this moment. */
  public UsableShare usableShare(Duration now) {
    Duration quietUntil = startedAt.plus(quota.quietPeriod());
    boolean isQuiet = now.compareTo(quietUntil) < 0;
    long ownShare = isQuiet ? 0 : quota.fixedShare();
    if (lease != null && now.compareTo(lease.expiresAt) < 0 && lease.share > ownShare) {
      return new UsableShare(lease.share, lease.expiresAt);
    }
    return new UsableShare(ownShare, isQuiet ? quietUntil : FOREVER);
  }
}
