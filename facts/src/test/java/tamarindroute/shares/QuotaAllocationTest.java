package tamarindroute.shares;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import tamarindroute.membership.Member;

/** Single steps of the allocation, and whole fleets that lose most of their gateways. */
class QuotaAllocationTest {

  private static final long HALF = SharedQuota.FULL_QUOTA / 2;
  private static final Member HOLDER = new Member(ModelState.address(0), 1);
  private static final Member OTHER = new Member(ModelState.address(1), 1);

  /** Leads from second 0 on, and allocates from second 4 on. */
  private static final QuotaAllocator LEADER =
      QuotaAllocator.initial(SharedQuota.of(2), Set.of(HOLDER.address(), OTHER.address()))
          .onLeadership(1, at(100), at(0));

  private static Duration at(int second) {
    return Duration.ofSeconds(second);
  }

  private static long grantedShare(QuotaAllocator allocator, Member holder, int second) {
    LeaseMessage.Request request = new LeaseMessage.Request(holder, 1);
    return allocator.onMessage(request, at(second)).grant().share();
  }

  @Test
  void onlyProofFreesShareAndLeaseBelongsToOneIncarnation() {
    assertThat(LEADER.onMessage(new LeaseMessage.Request(HOLDER, 1), at(3)).grant())
        .as("while grants of an earlier leader may be in use")
        .isNull();
    assertThat(grantedShare(LEADER, HOLDER, 5)).as("silence").isEqualTo(HALF);

    QuotaAllocator refused = LEADER.onConnectionRefused(OTHER.address(), at(4));
    assertThat(grantedShare(refused, HOLDER, 5)).isEqualTo(SharedQuota.FULL_QUOTA);
    assertThat(grantedShare(refused, HOLDER, 14)).as("outdated proof").isEqualTo(HALF);
    assertThat(grantedShare(refusedAt4AndSeenAt(5), HOLDER, 6)).isEqualTo(HALF);
    assertThat(grantedShare(refusedAt4AndSeenAt(4), HOLDER, 6))
        .as("at one reading of the clock")
        .isEqualTo(HALF);

    QuotaAllocator decommissioned = LEADER.onDecommissioned(OTHER.address(), true);
    assertThat(grantedShare(decommissioned, HOLDER, 90)).isEqualTo(SharedQuota.FULL_QUOTA);
    assertThat(grantedShare(decommissioned.onMemberSeen(OTHER, at(5)), HOLDER, 6)).isEqualTo(HALF);

    QuotaAllocator granted =
        LEADER.onMessage(new LeaseMessage.Request(OTHER, 7), at(5)).allocator();
    QuotaAllocator left = granted.onMessage(new LeaseMessage.Leave(OTHER, 7), at(6)).allocator();
    assertThat(grantedShare(left, HOLDER, 7)).isEqualTo(SharedQuota.FULL_QUOTA);
    QuotaAllocator released =
        granted.onMessage(new LeaseMessage.Release(OTHER, 7), at(6)).allocator();
    assertThat(grantedShare(released, HOLDER, 7)).isEqualTo(HALF);
    Member predecessor = new Member(OTHER.address(), 0);
    assertThat(granted.onMessage(new LeaseMessage.Request(predecessor, 9), at(6)).grant())
        .as("previous incarnation")
        .isNull();
  }

  private static QuotaAllocator refusedAt4AndSeenAt(int second) {
    return LEADER.onMemberSeen(OTHER, at(second)).onConnectionRefused(OTHER.address(), at(4));
  }

  @Test
  void lateGrantForEarlierRequestIsIgnored() {
    LeaseHolder holder =
        LeaseHolder.startedAt(HOLDER, SharedQuota.of(2), at(0))
            .request(at(20))
            .holder()
            .request(at(21))
            .holder()
            .onGrant(new LeaseMessage.Grant(HOLDER, 2, 600_000, SharedQuota.LEASE_DURATION))
            .onGrant(new LeaseMessage.Grant(HOLDER, 1, 900_000, SharedQuota.LEASE_DURATION));

    assertThat(holder.usableShare(at(22)).share()).isEqualTo(600_000);
    assertThat(holder.usableShare(at(25)).share()).as("after the lease").isEqualTo(HALF);
  }

  /**
   * Kills 70 of 100 gateways.
   *
   * @param hostsRefuse whether the hosts of killed gateways refuse connections
   * @param limit limit of the quota
   * @param after4 least share that is used 4 s after the kill; 15 and 30 s accordingly
   */
  @ParameterizedTest
  @CsvSource({"true, 1000000, 0.29, 0.9, 0.9", "false, 1428571, 0.29, 0.65, 0.65"})
  void liveGatewaysUseSharesOfProvenDead(
      boolean hostsRefuse, long limit, double after4, double after15, double after30) {
    List<SimulatedFleet.Result> results =
        IntStream.rangeClosed(1, 20)
            .mapToObj(seed -> new SimulatedFleet.Plan(100, 70, hostsRefuse, limit, 25, seed))
            .map(plan -> new SimulatedFleet(plan).run())
            .toList();

    double maxUse = (double) limit / SharedQuota.FULL_QUOTA;
    assertThat(results)
        .allSatisfy(result -> assertThat(result.maxUse()).isLessThanOrEqualTo(maxUse));
    assertThat(medianUse(results, 4)).isGreaterThanOrEqualTo(after4);
    assertThat(medianUse(results, 15)).isGreaterThanOrEqualTo(after15);
    assertThat(medianUse(results, 30)).isGreaterThanOrEqualTo(after30);
  }

  private static double medianUse(List<SimulatedFleet.Result> results, int second) {
    double[] used =
        results.stream().mapToDouble(result -> result.used().get(second)).sorted().toArray();
    return (used[used.length / 2 - 1] + used[used.length / 2]) / 2;
  }
}
