package tamarindroute.shares;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;
import tamarindroute.shares.QuotaModelChecker.Actors;
import tamarindroute.shares.QuotaModelChecker.Budget;
import tamarindroute.shares.QuotaModelChecker.SystemUnderTest;

class QuotaAllocationTest {

  private static final int MAX_STATES = 400_000;

  private static SharedQuota quotaFor(int gateways) {
    return new SharedQuota(
        gateways,
        SharedQuota.FULL_QUOTA,
        QuotaModelChecker.TICK.multipliedBy(2),
        QuotaModelChecker.TICK.multipliedBy(4));
  }

  private static long maxUsed(SystemUnderTest machine, Actors who, Budget budget) {
    return new QuotaModelChecker(machine, quotaFor(3), who).explore(budget, MAX_STATES).maxUsed();
  }

  /** Who asks, gives back or leaves, is stopped, dies, leads; how many stops, kills, leads. */
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
      String asks,
      String gives,
      String stops,
      String dies,
      String leads,
      int stop,
      int kill,
      int lead) {
    long most =
        maxUsed(
            QuotaModelChecker.SOUND,
            new Actors(asks, gives, stops, dies, leads),
            new Budget(stop, kill, lead, 0, 1, 1));

    assertThat(most).isEqualTo(SharedQuota.FULL_QUOTA);
  }

  /**
   * What is proven, in words that come in any order: sent before it, a refusal says nothing of a
   * life.
   */
  @Test
  void onlyProofFreesShareAndLeaseBelongsToOneIncarnation() {
    SharedQuota quota = SharedQuota.of(2);
    Member one = new Member(QuotaModelChecker.address(0), 1);
    Member other = new Member(QuotaModelChecker.address(1), 1);
    QuotaAllocator allocator =
        QuotaAllocator.initial(quota, Set.of(one.address(), other.address()))
            .onLeadership(1, at(100), at(0));

    assertThat(allocator.onMessage(new LeaseMessage.Request(one, 1), at(3)).grant())
        .as("what others dealt may be in use")
        .isNull();
    assertThat(part(allocator, one, 5)).as("silence").isEqualTo(500_000);
    assertThat(part(allocator.onConnectionRefused(other.address(), at(4)), one, 5))
        .isEqualTo(SharedQuota.FULL_QUOTA);
    assertThat(part(allocator.onConnectionRefused(other.address(), at(4)), one, 14))
        .as("a stale proof")
        .isEqualTo(500_000);
    assertThat(
            part(
                allocator.onMemberSeen(other, at(5)).onConnectionRefused(other.address(), at(4)),
                one,
                6))
        .isEqualTo(500_000);
    assertThat(
            part(
                allocator.onMemberSeen(other, at(4)).onConnectionRefused(other.address(), at(4)),
                one,
                6))
        .as("at one reading of the clock")
        .isEqualTo(500_000);
    assertThat(part(allocator.onDecommissioned(other.address(), true), one, 90))
        .isEqualTo(SharedQuota.FULL_QUOTA);
    assertThat(
            part(
                allocator.onDecommissioned(other.address(), true).onMemberSeen(other, at(5)),
                one,
                6))
        .isEqualTo(500_000);
    QuotaAllocator dealt =
        allocator.onMessage(new LeaseMessage.Request(other, 7), at(5)).allocator();
    assertThat(part(dealt.onMessage(new LeaseMessage.Leave(other, 7), at(6)).allocator(), one, 7))
        .isEqualTo(SharedQuota.FULL_QUOTA);
    assertThat(part(dealt.onMessage(new LeaseMessage.Release(other, 7), at(6)).allocator(), one, 7))
        .isEqualTo(500_000);
    assertThat(
            dealt
                .onMessage(new LeaseMessage.Request(new Member(other.address(), 0), 9), at(6))
                .grant())
        .as("a former life")
        .isNull();
  }

  @Test
  void lateGrantForEarlierRequestIsIgnored() {
    Member self = new Member(QuotaModelChecker.address(0), 1);
    LeaseHolder holder =
        LeaseHolder.startedAt(self, SharedQuota.of(2), at(0))
            .request(at(20))
            .holder()
            .request(at(21))
            .holder()
            .onGrant(new LeaseMessage.Grant(self, 2, 600_000, SharedQuota.LEASE_DURATION))
            .onGrant(new LeaseMessage.Grant(self, 1, 900_000, SharedQuota.LEASE_DURATION));

    assertThat(holder.usableShare(at(22)).share()).isEqualTo(600_000);
    assertThat(holder.usableShare(at(25)).share()).as("past its end").isEqualTo(500_000);
  }

  private static long part(QuotaAllocator allocator, Member asking, int second) {
    return allocator.onMessage(new LeaseMessage.Request(asking, 1), at(second)).grant().share();
  }

  private static Duration at(int second) {
    return Duration.ofSeconds(second);
  }

  /** Each is a thought that was near at hand. */
  private enum Defect implements SystemUnderTest {
    A_DEALER_THAT_STARTS_ANEW_DOES_NOT_WAIT {
      @Override
      public QuotaAllocator leads(QuotaAllocator allocator, long term, Duration until) {
        QuotaAllocator led = allocator.onLeadership(term, until, QuotaModelChecker.NOW);
        return QuotaModelChecker.places(led, QuotaModelChecker.NOW, led.leadsUntil(), slot -> slot);
      }
    },
    A_LEASE_COUNTS_FROM_ITS_COMING {
      @Override
      public LeaseHolder granted(LeaseHolder holder, LeaseMessage.Grant grant) {
        TreeMap<Long, Duration> requestTimes = new TreeMap<>(holder.requestTimes());
        requestTimes.replace(grant.requestNumber(), QuotaModelChecker.NOW);
        return new LeaseHolder(
                holder.self(),
                holder.quota(),
                holder.startedAt(),
                holder.lastRequestNumber(),
                requestTimes,
                holder.lease())
            .onGrant(grant);
      }
    },
    SILENCE_IS_DEATH {
      @Override
      public QuotaAllocator ticked(QuotaAllocator allocator) {
        QuotaAllocator next = allocator;
        for (var one : allocator.slots().entrySet()) {
          next =
              one.getValue().holdsLease(QuotaModelChecker.NOW)
                  ? next
                  : next.onConnectionRefused(one.getKey(), QuotaModelChecker.NOW);
        }
        return next;
      }
    },
    A_REFUSAL_COUNTS_FROM_ITS_COMING {
      @Override
      public QuotaAllocator refused(QuotaAllocator allocator, Address address, Duration sent) {
        return allocator.onConnectionRefused(address, QuotaModelChecker.NOW);
      }
    },
    A_NEW_LIFE_IS_NOT_QUIET {
      @Override
      public LeaseHolder started(Member self, SharedQuota quota) {
        return LeaseHolder.startedAt(self, quota, QuotaModelChecker.NOW.minus(quota.quietPeriod()));
      }
    }
  }

  @ParameterizedTest
  @CsvSource({
    "A_DEALER_THAT_STARTS_ANEW_DOES_NOT_WAIT, 12, '', 2, 01, 0, 1, 2",
    "A_LEASE_COUNTS_FROM_ITS_COMING, 12, '', 2, 0, 0, 1, 1",
    "SILENCE_IS_DEATH, 12, '', '', 0, 0, 0, 1",
    "A_REFUSAL_COUNTS_FROM_ITS_COMING, 1, 0, 2, 0, 1, 1, 1",
    "A_NEW_LIFE_IS_NOT_QUIET, 12, '', 2, 0, 0, 1, 1"
  })
  void seededDefectIsDetected(
      Defect defect,
      String asks,
      String stops,
      String dies,
      String leads,
      int stop,
      int kill,
      int lead) {
    assertThat(
            maxUsed(
                defect,
                new Actors(asks, "", stops, dies, leads),
                new Budget(stop, kill, lead, 0, 1, 1)))
        .isGreaterThan(SharedQuota.FULL_QUOTA);
  }

  /**
   * Whether the machines stand, the most that is dealt, what the living may use 4, 15 and 30 s
   * after 70 of 100 are killed.
   */
  @ParameterizedTest
  @CsvSource({"true, 1000000, 0.29, 0.9, 0.9", "false, 1428571, 0.29, 0.65, 0.65"})
  void liveGatewaysUseSharesOfProvenDead(
      boolean stand, long dealt, double at4, double at15, double at30) {
    List<SimulatedFleet.Result> plays =
        IntStream.rangeClosed(1, 20)
            .mapToObj(
                seed ->
                    new SimulatedFleet(new SimulatedFleet.Plan(100, 70, stand, dealt, 25, seed))
                        .play())
            .toList();

    assertThat(plays).allSatisfy(one -> assertThat(one.maxEver()).isLessThanOrEqualTo(dealt / 1e6));
    assertThat(median(plays, 4)).isGreaterThanOrEqualTo(at4);
    assertThat(median(plays, 15)).isGreaterThanOrEqualTo(at15);
    assertThat(median(plays, 30)).isGreaterThanOrEqualTo(at30);
  }

  private static double median(List<SimulatedFleet.Result> plays, int second) {
    double[] used = plays.stream().mapToDouble(one -> one.used().get(second)).sorted().toArray();
    return (used[used.length / 2 - 1] + used[used.length / 2]) / 2;
  }
}
