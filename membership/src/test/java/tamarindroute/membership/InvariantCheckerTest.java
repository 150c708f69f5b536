package tamarindroute.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiFunction;
import java.util.function.IntFunction;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;

/**
 * Each of the checker's rules catches a machine that breaks it; ScheduleTest shows that the sound
 * one breaks none.
 */
class InvariantCheckerTest {

  @Test
  void memberThatIgnoresItsOwnPauseIsCaught() {
    MembershipSettings.Guards noPauses = new MembershipSettings.Guards(true, true, false);
    assertCaught(
        "pause",
        "PAUSE",
        index -> MembershipSettings.DEFAULTS.withGuards(noPauses),
        system -> system);
  }

  @Test
  void memberThatToleratesLessThanConfiguredIsCaught() {
    MembershipSettings settings = toleratingPause(Duration.ofSeconds(1));
    MembershipSettings impatient =
        new MembershipSettings(
            settings.probePeriod(),
            settings.probeTimeout(),
            settings.toleratedPause(),
            settings.indirectProbes(),
            settings.suspectProbers(),
            2,
            2,
            settings.maxUpdatesPerMessage(),
            settings.maxBytesPerSecond(),
            settings.maxMembers(),
            settings.guards());
    assertCaught("pause", "FALSE", index -> impatient, system -> system);
  }

  @Test
  void memberThatNoticesItsIsolationTooLateIsCaught() {
    assertCaught(
        "hears-none",
        "UNKNOWING",
        index -> index == 7 ? toleratingPause(Duration.ofSeconds(30)) : MembershipSettings.DEFAULTS,
        system -> system);
  }

  @Test
  void memberThatTrustsASingleObserverIsCaught() {
    MembershipSettings.Guards noConfirm = new MembershipSettings.Guards(true, false, true);
    assertCaught(
        "unlucky",
        "ALONE",
        index -> MembershipSettings.DEFAULTS.withGuards(noConfirm),
        system -> system);
  }

  /** Takes each message as if it were meant for it, and its sender as the life it remembers. */
  @Test
  void memberThatIgnoresIncarnationsIsCaught() {
    assertCaught(
        "restart-clock-back",
        "FORMER",
        index -> MembershipSettings.DEFAULTS,
        system ->
            withChangedMessages(
                system,
                (membership, message) ->
                    new Message(
                        message.kind(),
                        message.from(),
                        membership.self().incarnation(),
                        message.requestId(),
                        message.subject().address().equals(membership.self().address())
                            ? new Member(
                                message.subject().address(),
                                Math.max(
                                    message.subject().incarnation(),
                                    membership.self().incarnation()))
                            : message.subject(),
                        message.updates())));
  }

  /** Takes whatever is heard from one that is away as its return. */
  @Test
  void memberThatFlapsIsCaught() {
    assertCaught(
        "hears-none",
        "FLAP",
        index -> MembershipSettings.DEFAULTS,
        system ->
            withChangedMessages(
                system,
                (membership, message) -> {
                  List<MembershipUpdate> rumours = new ArrayList<>(message.updates());
                  if (membership.members().get(message.from()) == MemberState.AWAY) {
                    rumours.add(
                        new MembershipUpdate(
                            message.from(),
                            MemberState.ALIVE,
                            ++lastRefutation[0],
                            message.from().address()));
                  }
                  return new Message(
                      message.kind(),
                      message.from(),
                      message.targetIncarnation(),
                      message.requestId(),
                      message.subject(),
                      rumours);
                }));
  }

  private final long[] lastRefutation = {100};

  private static void assertCaught(
      String schedule,
      String kind,
      IntFunction<MembershipSettings> settings,
      UnaryOperator<MembershipSimulator.SystemUnderTest> defect) {
    FaultSchedule played = new FaultSchedule(schedule);
    played.settingsOf = settings;
    InvariantChecker checker = played.play(1, defect).checker();
    assertThat(checker.hasViolation(kind))
        .as("%s in %s: %s", kind, schedule, checker.violations)
        .isTrue();
  }

  private static MembershipSettings toleratingPause(Duration pause) {
    MembershipSettings settings = MembershipSettings.DEFAULTS;
    return new MembershipSettings(
        settings.probePeriod(),
        settings.probeTimeout(),
        pause,
        settings.indirectProbes(),
        settings.suspectProbers(),
        settings.lowWatermark(),
        settings.highWatermark(),
        settings.maxUpdatesPerMessage(),
        settings.maxBytesPerSecond(),
        settings.maxMembers(),
        settings.guards());
  }

  private static MembershipSimulator.SystemUnderTest withChangedMessages(
      MembershipSimulator.SystemUnderTest system, BiFunction<Membership, Message, Message> change) {
    return new MembershipSimulator.SystemUnderTest() {
      @Override
      public List<Action> onMessage(Message message, Duration now) {
        return system.onMessage(change.apply(system.membership(), message), now);
      }

      @Override
      public List<Action> tick(Duration now) {
        return system.tick(now);
      }

      @Override
      public Membership membership() {
        return system.membership();
      }
    };
  }
}
