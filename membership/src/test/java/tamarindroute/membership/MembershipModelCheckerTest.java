package tamarindroute.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * All behaviours of three members within budgets of faults; and that seeded defects are
 * exploration.
 */
class MembershipModelCheckerTest {

  private static final List<Partition> ALL_PARTITIONS = List.of(Partition.values());

  /** Each row has the budget of faults and the least number of states to be expected. */
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
    MembershipModelChecker.Exploration exploration =
        new MembershipModelChecker(MembershipModelChecker.SMALL, ALL_PARTITIONS)
            .explore(new FaultBudget(losses, duplicates, pauses, kills, partitions), 150_000);
    assertThat(exploration.violations()).isEmpty();
    assertThat(exploration.states()).isGreaterThan(minStates);
    // Shows that the invariants had something to judge.
    assertThat(exploration.faultyCount() > 0).isEqualTo(kills + partitions > 0);
  }

  @Test
  void findsAMemberThatMissesItsOwnPause() {
    MembershipSettings unguarded =
        MembershipModelChecker.SMALL.withGuards(new MembershipSettings.Guards(true, true, false));
    assertViolated(
        new MembershipModelChecker(unguarded, ALL_PARTITIONS),
        new FaultBudget(0, 0, 1, 0, 0),
        "did not notice its pause");
  }

  @Test
  void findsAMemberDeclaredFaultyThoughAlive() {
    MembershipModelChecker longerPauses =
        new MembershipModelChecker(
            MembershipModelChecker.SMALL,
            ALL_PARTITIONS,
            4 * MembershipModelChecker.PAUSE_NANOS,
            (member, message) -> message);
    assertViolated(longerPauses, new FaultBudget(0, 0, 1, 0, 0), "which is alive");
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
    assertViolated(careless, new FaultBudget(0, 0, 0, 1, 0), "former incarnation of");
  }

  private static void assertViolated(
      MembershipModelChecker check, FaultBudget budget, String description) {
    assertThat(check.explore(budget, 150_000).violations())
        .anyMatch(violation -> violation.contains(description));
  }
}
