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

/**
 * Leads of voters that come and go at any pace: proofs are late, the word that one leads is old,
 * and no two overlap.
 */
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

  private record Span(int who, long from, long until) {}

  private static Duration ms(long millis) {
    return Duration.ofMillis(millis);
  }

  /**
   * In each term one of three leads; a reading asked for while it does is answered up to 4 s later.
   */
  private static List<Span> simulate(int seed, long wait) {
    Random random = new Random(seed);
    List<LeaderLease> voters = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      voters.add(new LeaderLease(new NoOpLeaderStatus()));
    }
    List<Span> spans = new ArrayList<>();
    long now = 0;
    for (long term = 1; term < 60; term++) {
      int who = random.nextInt(3);
      long end = now + 1 + random.nextInt(random.nextBoolean() ? 2_000 : 12_000);
      while (now < end) {
        // Asked for before or in its term, proven in it, and answered perhaps after others led.
        long sent = now - random.nextInt(300);
        long answered =
            now + (random.nextInt(10) == 0 ? random.nextInt(4_000) : random.nextInt(50));
        Optional<Duration> until = voters.get(who).confirm(term, ms(sent + wait), ms(answered));
        if (until.isPresent() && until.get().toMillis() - wait > answered) {
          spans.add(new Span(who, answered, until.get().toMillis() - wait));
        }
        now += 1 + random.nextInt(1_500);
      }
    }
    return spans;
  }

  private static boolean overlap(List<Span> spans) {
    return spans.stream()
        .anyMatch(
            a ->
                spans.stream()
                    .anyMatch(b -> a.who != b.who && a.from < b.until && b.from < a.until));
  }

  @Test
  void leadershipsNeverOverlapAndAStableLeaderLeads() {
    int led = 0;
    for (int seed = 0; seed < 200; seed++) {
      List<Span> spans = simulate(seed, 0);
      assertThat(overlap(spans)).as("seed %s", seed).isFalse();
      led += spans.size();
    }
    assertThat(led).isGreaterThan(1_000);
  }

  /** The check finds two that lead at once where one does not wait for the other's time. */
  @Test
  void withoutTheWaitLeadershipsOverlap() {
    boolean found = false;
    for (int seed = 0; seed < 200; seed++) {
      found |= overlap(simulate(seed, LeaderLease.DURATION.toMillis() + 100));
    }
    assertThat(found).isTrue();
  }
}
