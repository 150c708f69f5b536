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
class CheckerTest {

  @Test
  void whoIgnoresItsOwnPause() {
    Settings.Guards noPauses = new Settings.Guards(true, true, false);
    assertCaught("pause", "PAUSE", place -> Settings.USUAL.with(noPauses), machine -> machine);
  }

  @Test
  void whoBearsLessThanStated() {
    Settings s = paused(Duration.ofSeconds(1));
    Settings hasty =
        new Settings(
            s.period(),
            s.timeout(),
            s.pause(),
            s.indirect(),
            s.observers(),
            2,
            2,
            s.rumours(),
            s.bytes(),
            s.members(),
            s.guards());
    assertCaught("pause", "FALSE", place -> hasty, machine -> machine);
  }

  @Test
  void whoFindsOutTooLateThatItIsCutOff() {
    assertCaught(
        "hears-none",
        "UNKNOWING",
        place -> place == 7 ? paused(Duration.ofSeconds(30)) : Settings.USUAL,
        machine -> machine);
  }

  @Test
  void whoCutsOnOneObserversWord() {
    Settings.Guards noConfirm = new Settings.Guards(true, false, true);
    assertCaught("unlucky", "ALONE", place -> Settings.USUAL.with(noConfirm), machine -> machine);
  }

  /** Takes each message as if it were meant for it, and its sender as the life it remembers. */
  @Test
  void whoIgnoresBirths() {
    assertCaught(
        "restart-clock-back",
        "FORMER",
        place -> Settings.USUAL,
        machine ->
            changed(
                machine,
                (membership, m) ->
                    new Message(
                        m.kind(),
                        m.from(),
                        membership.self().birth(),
                        m.number(),
                        m.about().address().equals(membership.self().address())
                            ? new Member(
                                m.about().address(),
                                Math.max(m.about().birth(), membership.self().birth()))
                            : m.about(),
                        m.rumours())));
  }

  /** Takes whatever is heard from one that is away as its return. */
  @Test
  void whoLetsComeAndGo() {
    assertCaught(
        "hears-none",
        "FLAP",
        place -> Settings.USUAL,
        machine ->
            changed(
                machine,
                (membership, m) -> {
                  List<Rumour> rumours = new ArrayList<>(m.rumours());
                  if (membership.members().get(m.from()) == Standing.AWAY) {
                    rumours.add(
                        new Rumour(m.from(), Standing.ALIVE, ++raised[0], m.from().address()));
                  }
                  return new Message(
                      m.kind(), m.from(), m.toBirth(), m.number(), m.about(), rumours);
                }));
  }

  private final long[] raised = {100};

  private static void assertCaught(
      String schedule,
      String kind,
      IntFunction<Settings> settings,
      UnaryOperator<Sim.Machine> defect) {
    Schedule played = new Schedule(schedule);
    played.settingsOf = settings;
    Checker checker = played.play(1, defect).checker();
    assertThat(checker.caught(kind)).as("%s in %s: %s", kind, schedule, checker.breaches).isTrue();
  }

  private static Settings paused(Duration pause) {
    Settings s = Settings.USUAL;
    return new Settings(
        s.period(),
        s.timeout(),
        pause,
        s.indirect(),
        s.observers(),
        s.low(),
        s.high(),
        s.rumours(),
        s.bytes(),
        s.members(),
        s.guards());
  }

  private static Sim.Machine changed(
      Sim.Machine machine, BiFunction<Membership, Message, Message> change) {
    return new Sim.Machine() {
      @Override
      public List<Action> told(Message message, Duration now) {
        return machine.told(change.apply(machine.inner(), message), now);
      }

      @Override
      public List<Action> tick(Duration now) {
        return machine.tick(now);
      }

      @Override
      public Membership inner() {
        return machine.inner();
      }
    };
  }
}
