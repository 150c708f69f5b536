package tamarindroute.shares;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;
import tamarindroute.shares.ModelState.Budget;
import tamarindroute.shares.QuotaModelChecker.Actors;

/** Explores all executions of three gateways within budgets of faults. */
class QuotaModelCheckerTest {

  private static final int MAX_STATES = 400_000;
  private static final SharedQuota QUOTA =
      new SharedQuota(
          3,
          SharedQuota.FULL_QUOTA,
          TimeShift.TICK.multipliedBy(2),
          TimeShift.TICK.multipliedBy(4));

  private static long maxUsed(
      ModelOperations operations, Actors actors, int pauses, int kills, int leaders) {
    Budget budget = new Budget(pauses, kills, leaders, 0, 1, 1);
    return new QuotaModelChecker(operations, QUOTA, actors).maxUsed(budget, MAX_STATES);
  }

  /** Gateways that request, release, are paused, die and lead; then the budget of faults. */
  @ParameterizedTest
  @CsvSource({
    "12, '', '', 2, 0, 0, 1, 1",
    "12, '', 1, '', 0, 1, 0, 1",
    "1, '', '', 2, 01, 0, 1, 2",
    "2, '', 0, 2, 0, 1, 1, 1",
    "1, '', 0, 2, 0, 1, 1, 1",
    "12, 2, '', '', 0, 0, 1, 1"
  })
  void usageOfLiveGatewaysNeverExceedsQuota(
      String requesting,
      String releasing,
      String pausing,
      String dying,
      String leading,
      int pauses,
      int kills,
      int leaders) {
    Actors actors = new Actors(requesting, releasing, pausing, dying, leading);

    assertThat(maxUsed(ModelOperations.CORRECT, actors, pauses, kills, leaders))
        .isEqualTo(SharedQuota.FULL_QUOTA);
  }

  /** Plausible mistakes. */
  private enum Defect implements ModelOperations {
    NEW_LEADER_DOES_NOT_WAIT {
      @Override
      public QuotaAllocator onLeadership(QuotaAllocator allocator, long term, Duration until) {
        QuotaAllocator led = allocator.onLeadership(term, until, ModelState.NOW);
        return ModelState.withSlots(led, ModelState.NOW, led.leadsUntil(), slot -> slot);
      }
    },
    LEASE_COUNTS_FROM_ARRIVAL_OF_GRANT {
      @Override
      public LeaseHolder onGrant(LeaseHolder holder, LeaseMessage.Grant grant) {
        TreeMap<Long, Duration> requestTimes = new TreeMap<>(holder.requestTimes());
        requestTimes.replace(grant.requestNumber(), ModelState.NOW);
        LeaseHolder defective =
            new LeaseHolder(
                holder.self(),
                holder.quota(),
                holder.startedAt(),
                holder.lastRequestNumber(),
                requestTimes,
                holder.lease());
        return defective.onGrant(grant);
      }
    },
    SILENCE_IS_TAKEN_AS_PROOF {
      @Override
      public QuotaAllocator onTick(QuotaAllocator allocator) {
        QuotaAllocator next = allocator;
        for (Map.Entry<Address, LeaseSlot> slot : allocator.slots().entrySet()) {
          if (!slot.getValue().holdsLease(ModelState.NOW)) {
            next = next.onConnectionRefused(slot.getKey(), ModelState.NOW);
          }
        }
        return next;
      }
    },
    REFUSAL_COUNTS_FROM_ITS_ARRIVAL {
      @Override
      public QuotaAllocator onConnectionRefused(
          QuotaAllocator allocator, Address address, Duration attemptedAt) {
        return allocator.onConnectionRefused(address, ModelState.NOW);
      }
    },
    NEW_INCARNATION_IS_NOT_QUIET {
      @Override
      public LeaseHolder start(Member self, SharedQuota quota) {
        Duration startedAt = ModelState.NOW.minus(quota.quietPeriod());
        return LeaseHolder.startedAt(self, quota, startedAt);
      }
    }
  }

  /** The defect; gateways that request, are paused, die and lead; then the budget of faults. */
  @ParameterizedTest
  @CsvSource({
    "NEW_LEADER_DOES_NOT_WAIT, 12, '', 2, 01, 0, 1, 2",
    "LEASE_COUNTS_FROM_ARRIVAL_OF_GRANT, 12, '', 2, 0, 0, 1, 1",
    "SILENCE_IS_TAKEN_AS_PROOF, 12, '', '', 0, 0, 0, 1",
    "REFUSAL_COUNTS_FROM_ITS_ARRIVAL, 1, 0, 2, 0, 1, 1, 1",
    "NEW_INCARNATION_IS_NOT_QUIET, 12, '', 2, 0, 0, 1, 1"
  })
  void seededDefectIsDetected(
      Defect defect,
      String requesting,
      String pausing,
      String dying,
      String leading,
      int pauses,
      int kills,
      int leaders) {
    Actors actors = new Actors(requesting, "", pausing, dying, leading);

    assertThat(maxUsed(defect, actors, pauses, kills, leaders))
        .isGreaterThan(SharedQuota.FULL_QUOTA);
  }
}
