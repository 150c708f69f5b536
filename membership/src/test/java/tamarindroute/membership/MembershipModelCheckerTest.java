package tamarindroute.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Three members, all that can happen within budgets; and that the exploration finds what is seeded.
 */
class MembershipModelCheckerTest {

  private static final List<MembershipModelChecker.Partition> ALL_PARTITIONS =
      List.of(MembershipModelChecker.Partition.values());

  /**
   * Losses, doubled, stops, kills with a restart, cuts; and how few states would be a world not
   * explored.
   */
  @ParameterizedTest
  @CsvSource({
    "2, 0, 0, 0, 0, 1000",
    "0, 1, 0, 0, 0, 2000",
    "0, 0, 1, 0, 0, 5000",
    "0, 0, 0, 1, 0, 20000",
    "0, 0, 0, 0, 1, 20000"
  })
  void noInvariantIsViolatedAndEveryStateHeals(
      int losses, int duplicates, int pauses, int kills, int partitions, int minStates) {
    MembershipModelChecker.Exploration found =
        new MembershipModelChecker(MembershipModelChecker.SMALL, ALL_PARTITIONS)
            .explore(
                new MembershipModelChecker.FaultBudget(
                    losses, duplicates, pauses, kills, partitions),
                150_000);
    assertThat(found.violations()).isEmpty();
    assertThat(found.states()).isGreaterThan(minStates);
    // Whoever was killed, or cut off whole, is indeed held away by then: the rules had something to
    // judge.
    assertThat(found.faultyCount() > 0).isEqualTo(kills + partitions > 0);
  }

  @Test
  void findsAMemberThatMissesItsOwnPause() {
    MembershipSettings unguarded =
        MembershipModelChecker.SMALL.withGuards(new MembershipSettings.Guards(true, true, false));
    assertViolated(
        new MembershipModelChecker(unguarded, ALL_PARTITIONS),
        new MembershipModelChecker.FaultBudget(0, 0, 1, 0, 0),
        "did not find out");
  }

  @Test
  void findsAMemberDeclaredFaultyThoughAlive() {
    MembershipModelChecker longer =
        new MembershipModelChecker(
            MembershipModelChecker.SMALL,
            ALL_PARTITIONS,
            4 * MembershipModelChecker.PAUSE_NANOS,
            (member, message) -> message);
    assertViolated(longer, new MembershipModelChecker.FaultBudget(0, 0, 1, 0, 0), "which lives");
  }

  @Test
  void findsAMemberThatAcceptsMessagesForAFormerIncarnation() {
    MembershipModelChecker careless =
        new MembershipModelChecker(
            MembershipModelChecker.SMALL,
            ALL_PARTITIONS,
            MembershipModelChecker.PAUSE_NANOS,
            (member, message) ->
                new Message(
                    message.kind(),
                    message.from(),
                    member.self().incarnation(),
                    message.requestId(),
                    message.subject(),
                    message.updates()));
    assertViolated(careless, new MembershipModelChecker.FaultBudget(0, 0, 0, 1, 0), "former self");
  }

  private static void assertViolated(
      MembershipModelChecker check, MembershipModelChecker.FaultBudget budget, String description) {
    assertThat(check.explore(budget, 150_000).violations())
        .anyMatch(violation -> violation.contains(description));
  }
}
