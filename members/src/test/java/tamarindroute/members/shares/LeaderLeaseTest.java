package tamarindroute.members.shares;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;

/** Leaderships of voters with late reads: no two of them overlap. */
class LeaderLeaseTest {

  /** Ignores everything; the tests use the results of the lease. */
  private static final class NoOpLeaderStatus implements LeaderStatus {
    @Override
    public void onLeadership(long term, Duration until) {}

    @Override
    public void onLeadershipLost() {}

    @Override
    public void onLeaderKnown(Optional<Member> leader) {}

    @Override
    public void onMemberSeen(Member member) {}

    @Override
    public void onDecommissioned(Address address, boolean confirmed) {}
  }

  /** A leadership, in milliseconds. */
  private record Leadership(int voter, long from, long until) {
    boolean overlaps(Leadership other) {
      return voter != other.voter && from < other.until && other.from < until;
    }
  }

  private static Duration ms(long millis) {
    return Duration.ofMillis(millis);
  }

  /**
   * In each term one of three voters leads; reads that it requests are answered up to 4 s later.
   *
   * @param skippedWait milliseconds of the waiting time that are left out, as a seeded defect
   */
  private static List<Leadership> simulate(int seed, long skippedWait) {
    Random random = new Random(seed);
    List<LeaderLease> voters = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      voters.add(new LeaderLease(new NoOpLeaderStatus()));
    }
    List<Leadership> leaderships = new ArrayList<>();
    long now = 0;
    for (long term = 1; term < 60; term++) {
      int leader = random.nextInt(3);
      long end = now + 1 + random.nextInt(random.nextBoolean() ? 2_000 : 12_000);
      while (now < end) {
        // Requested before or in the term, and answered perhaps after others have led.
        long requested = now - random.nextInt(300);
        long answered =
            now + (random.nextInt(10) == 0 ? random.nextInt(4_000) : random.nextInt(50));
        Optional<Duration> until =
            voters.get(leader).confirm(term, ms(requested + skippedWait), ms(answered));
        if (until.isPresent() && until.get().toMillis() - skippedWait > answered) {
          leaderships.add(new Leadership(leader, answered, until.get().toMillis() - skippedWait));
        }
        now += 1 + random.nextInt(1_500);
      }
    }
    return leaderships;
  }

  private static boolean anyOverlap(List<Leadership> leaderships) {
    return leaderships.stream().anyMatch(one -> leaderships.stream().anyMatch(one::overlaps));
  }

  @Test
  void leadershipsNeverOverlapAndAStableLeaderLeads() {
    int count = 0;
    for (int seed = 0; seed < 200; seed++) {
      List<Leadership> leaderships = simulate(seed, 0);
      assertThat(anyOverlap(leaderships)).as("seed %s", seed).isFalse();
      count += leaderships.size();
    }
    assertThat(count).isGreaterThan(1_000);
  }

  /** Shows that the simulation notices overlapping leaderships. */
  @Test
  void withoutTheWaitLeadershipsOverlap() {
    boolean found = false;
    for (int seed = 0; seed < 200; seed++) {
      found |= anyOverlap(simulate(seed, LeaderLease.DURATION.toMillis() + 100));
    }
    assertThat(found).isTrue();
  }
}
