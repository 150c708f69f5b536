package tamarindroute.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiFunction;
import java.util.function.IntFunction;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;

/**
 * Tests that the invariant checker detects members with a seeded defect, one for each invariant.
 * Guards against a checker that accepts everything. {@link FaultScheduleTest} shows that members
 * without a defect violate no invariant.
 */
class InvariantCheckerTest {

  /** Last refutation number that a seeded defect has invented for a faulty member. */
  private final AtomicLong lastRefutation = new AtomicLong(100);

  @Test
  void memberThatIgnoresItsOwnPauseIsCaught() {
    MembershipSettings.Guards noPauseDetection = new MembershipSettings.Guards(true, true, false);
    assertCaught(
        "tolerated-pause",
        InvariantChecker.Invariant.PAUSE_IS_NOTICED,
        index -> MembershipSettings.DEFAULTS.withGuards(noPauseDetection),
        system -> system);
  }

  @Test
  void memberThatToleratesLessThanConfiguredIsCaught() {
    MembershipSettings settings = toleratingPause(Duration.ofSeconds(1));
    MembershipSettings lowHighWatermark =
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
    assertCaught(
        "tolerated-pause",
        InvariantChecker.Invariant.NO_FALSE_FAULT,
        index -> lowHighWatermark,
        system -> system);
  }

  @Test
  void memberThatNoticesItsIsolationTooLateIsCaught() {
    assertCaught(
        "all-inbound-cut",
        InvariantChecker.Invariant.ISOLATION_IS_NOTICED,
        index -> index == 7 ? toleratingPause(Duration.ofSeconds(30)) : MembershipSettings.DEFAULTS,
        system -> system);
  }

  @Test
  void memberThatTrustsASingleObserverIsCaught() {
    MembershipSettings.Guards noConfirmation = new MembershipSettings.Guards(true, false, true);
    assertCaught(
        "one-observer-misled",
        InvariantChecker.Invariant.SEVERAL_OBSERVERS_AGREE,
        index -> MembershipSettings.DEFAULTS.withGuards(noConfirmation),
        system -> system);
  }

  /** The defective member accepts messages for any incarnation and is never superseded by one. */
  @Test
  void memberThatIgnoresIncarnationsIsCaught() {
    assertCaught(
        "restart-with-earlier-incarnation",
        InvariantChecker.Invariant.FORMER_INCARNATIONS_ARE_IGNORED,
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

  /** The defective member regards each message of a faulty member as a refutation. */
  @Test
  void memberThatFlapsIsCaught() {
    assertCaught(
        "all-inbound-cut",
        InvariantChecker.Invariant.NO_FLAPPING,
        index -> MembershipSettings.DEFAULTS,
        system ->
            withChangedMessages(
                system,
                (membership, message) -> {
                  List<MembershipUpdate> updates = new ArrayList<>(message.updates());
                  if (membership.members().get(message.from()) == MemberState.FAULTY) {
                    updates.add(
                        new MembershipUpdate(
                            message.from(),
                            MemberState.ALIVE,
                            lastRefutation.incrementAndGet(),
                            message.from().address()));
                  }
                  return new Message(
                      message.kind(),
                      message.from(),
                      message.targetIncarnation(),
                      message.requestId(),
                      message.subject(),
                      updates);
                }));
  }

  private static void assertCaught(
      String schedule,
      InvariantChecker.Invariant invariant,
      IntFunction<MembershipSettings> settings,
      UnaryOperator<SystemUnderTest> defect) {
    FaultSchedule faultSchedule = new FaultSchedule(schedule);
    faultSchedule.settingsOf = settings;
    InvariantChecker checker = faultSchedule.run(1, defect).checker();
    assertThat(checker.hasViolation(invariant))
        .as("%s in %s: %s", invariant, schedule, checker.violations)
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

  private static SystemUnderTest withChangedMessages(
      SystemUnderTest system, BiFunction<Membership, Message, Message> change) {
    return new SystemUnderTest() {
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
