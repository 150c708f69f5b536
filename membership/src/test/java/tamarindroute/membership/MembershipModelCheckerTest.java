package tamarindroute.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Explores all behaviours of three members within a budget of faults, and checks that no reachable
 * state violates an invariant and that the members recover from each checked state.
 *
 * <p>Guards against faults that occur only with a particular order of messages, losses, pauses and
 * restarts, which randomized simulations miss. The tests with a seeded defect show that the
 * exploration would find such a fault.
 */
class MembershipModelCheckerTest {

  private static final List<Partition> ALL_PARTITIONS = List.of(Partition.values());

  /**
   * Each row has a budget of faults (losses, duplicates, pauses, kills, partitions) and a number of
   * states. An exploration of fewer states would not have covered the model.
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
    MembershipModelChecker.Exploration exploration =
        new MembershipModelChecker(MembershipModelChecker.SMALL_SETTINGS, ALL_PARTITIONS)
            .explore(new FaultBudget(losses, duplicates, pauses, kills, partitions), 150_000);
    assertThat(exploration.violations()).isEmpty();
    assertThat(exploration.states()).isGreaterThan(minStates);
    // Killed and isolated members are declared faulty, so the invariants were actually evaluated.
    assertThat(exploration.faultyCount() > 0).isEqualTo(kills + partitions > 0);
  }

  @Test
  void findsAMemberThatMissesItsOwnPause() {
    MembershipSettings unguarded =
        MembershipModelChecker.SMALL_SETTINGS.withGuards(
            new MembershipSettings.Guards(true, true, false));
    assertViolated(
        new MembershipModelChecker(unguarded, ALL_PARTITIONS),
        new FaultBudget(0, 0, 1, 0, 0),
        "did not notice its pause");
  }

  @Test
  void findsAMemberDeclaredFaultyThoughAlive() {
    MembershipModelChecker longerPauses =
        new MembershipModelChecker(
            MembershipModelChecker.SMALL_SETTINGS,
            ALL_PARTITIONS,
            4 * MembershipModelChecker.PAUSE_NANOS,
            (member, message) -> message);
    assertViolated(longerPauses, new FaultBudget(0, 0, 1, 0, 0), "which is alive");
  }

  @Test
  void findsAMemberThatAcceptsMessagesForAFormerIncarnation() {
    MembershipModelChecker acceptsAnyIncarnation =
        new MembershipModelChecker(
            MembershipModelChecker.SMALL_SETTINGS,
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
    assertViolated(acceptsAnyIncarnation, new FaultBudget(0, 0, 0, 1, 0), "former incarnation of");
  }

  private static void assertViolated(
      MembershipModelChecker check, FaultBudget budget, String description) {
    assertThat(check.explore(budget, 150_000).violations())
        .anyMatch(violation -> violation.contains(description));
  }
}
