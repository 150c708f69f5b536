package tamarindroute.shares;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;

/** Single steps of the allocation, and whole fleets that lose most of their gateways. */
class QuotaAllocationTest {

  private static final long HALF = SharedQuota.FULL_QUOTA / 2;

  private static Duration at(int second) {
    return Duration.ofSeconds(second);
  }

  private static long grantedShare(QuotaAllocator allocator, Member holder, int second) {
    LeaseMessage.Request request = new LeaseMessage.Request(holder, 1);
    return allocator.onMessage(request, at(second)).grant().share();
  }

  @Test
  void onlyProofFreesShareAndLeaseBelongsToOneIncarnation() {
    Member holder = new Member(ModelState.address(0), 1);
    Member other = new Member(ModelState.address(1), 1);
    Address otherAddress = other.address();
    QuotaAllocator leader =
        QuotaAllocator.initial(SharedQuota.of(2), Set.of(holder.address(), otherAddress))
            .onLeadership(1, at(100), at(0));

    assertThat(leader.onMessage(new LeaseMessage.Request(holder, 1), at(3)).grant())
        .as("while grants of an earlier leader may be in use")
        .isNull();
    assertThat(grantedShare(leader, holder, 5)).as("silence").isEqualTo(HALF);

    QuotaAllocator refused = leader.onConnectionRefused(otherAddress, at(4));
    assertThat(grantedShare(refused, holder, 5)).isEqualTo(SharedQuota.FULL_QUOTA);
    assertThat(grantedShare(refused, holder, 14)).as("outdated proof").isEqualTo(HALF);

    QuotaAllocator refusedBeforeSeen =
        leader.onMemberSeen(other, at(5)).onConnectionRefused(otherAddress, at(4));
    assertThat(grantedShare(refusedBeforeSeen, holder, 6)).isEqualTo(HALF);
    QuotaAllocator refusedWhenSeen =
        leader.onMemberSeen(other, at(4)).onConnectionRefused(otherAddress, at(4));
    assertThat(grantedShare(refusedWhenSeen, holder, 6))
        .as("at one reading of the clock")
        .isEqualTo(HALF);

    QuotaAllocator decommissioned = leader.onDecommissioned(otherAddress, true);
    assertThat(grantedShare(decommissioned, holder, 90)).isEqualTo(SharedQuota.FULL_QUOTA);
    assertThat(grantedShare(decommissioned.onMemberSeen(other, at(5)), holder, 6)).isEqualTo(HALF);

    QuotaAllocator granted =
        leader.onMessage(new LeaseMessage.Request(other, 7), at(5)).allocator();
    QuotaAllocator left = granted.onMessage(new LeaseMessage.Leave(other, 7), at(6)).allocator();
    assertThat(grantedShare(left, holder, 7)).isEqualTo(SharedQuota.FULL_QUOTA);
    QuotaAllocator released =
        granted.onMessage(new LeaseMessage.Release(other, 7), at(6)).allocator();
    assertThat(grantedShare(released, holder, 7)).isEqualTo(HALF);
    Member predecessor = new Member(otherAddress, 0);
    assertThat(granted.onMessage(new LeaseMessage.Request(predecessor, 9), at(6)).grant())
        .as("previous incarnation")
        .isNull();
  }

  @Test
  void lateGrantForEarlierRequestIsIgnored() {
    Member self = new Member(ModelState.address(0), 1);
    LeaseHolder holder =
        LeaseHolder.startedAt(self, SharedQuota.of(2), at(0))
            .request(at(20))
            .holder()
            .request(at(21))
            .holder()
            .onGrant(new LeaseMessage.Grant(self, 2, 600_000, SharedQuota.LEASE_DURATION))
            .onGrant(new LeaseMessage.Grant(self, 1, 900_000, SharedQuota.LEASE_DURATION));

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
