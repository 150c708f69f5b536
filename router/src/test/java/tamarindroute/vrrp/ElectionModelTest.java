package tamarindroute.vrrp;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Explores all executions of elections with a few faults. Guards against two routers that act for
 * the shared address together for longer than lost and delayed advertisements explain, and against
 * elections that end without exactly one active router.
 */
class ElectionModelTest {

  /** Four ticks of the model. */
  private static final Duration INTERVAL = Duration.ofMillis(40);

  private static final int INTERVAL_TICKS = 4;

  /** Ends an exploration early if a defect makes routers act together for longer. */
  private static final int MAX_OVERLAP_TICKS = 50;

  private static Election.Settings settings(long tieBreaker) {
    return new Election.Settings(tieBreaker, INTERVAL, true, Duration.ZERO);
  }

  /**
   * Returns for how many ticks two routers may act together. Without a loss it is for as long as an
   * advertisement is in flight and the tick in which the overlap is counted. Each loss adds one
   * interval.
   */
  private static int maxOverlapTicks(int losses, int transitTicks) {
    return losses * INTERVAL_TICKS + transitTicks + 1;
  }

  @ParameterizedTest
  @CsvSource({
    // losses, duplicates, suspensions, kills, longest transit in ticks, priorities
    "0, 0, 3, 0, 1, 100, 200",
    "0, 0, 3, 0, 2, 100, 100",
    "0, 0, 2, 1, 1, 100, 100",
    "0, 2, 1, 2, 2, 100, 200",
    "1, 0, 0, 1, 1, 100, 100",
    "2, 0, 0, 1, 1, 100, 200",
    "3, 1, 0, 0, 2, 100, 100",
    "0, 0, 2, 2, 1, 100, 255",
    "2, 1, 1, 1, 1, 100, 200"
  })
  void twoRoutersKeepTheOverlapBoundAndRecover(
      int losses,
      int duplicates,
      int suspensions,
      int kills,
      int transitTicks,
      int firstPriority,
      int secondPriority) {
    ModelCheck check =
        new ModelCheck(
            ModelCheck.WITHOUT_DEFECT,
            List.of(settings(1), settings(2)),
            List.of(firstPriority, secondPriority),
            MAX_OVERLAP_TICKS);
    ModelCheck.Result result =
        check.explore(new ModelCheck.Budget(losses, duplicates, suspensions, kills, transitTicks));
    System.out.printf(
        "two routers, %d losses, %d duplicates, %d suspensions, %d kills, transit %d ticks, "
            + "priorities %d and %d: %d states, longest overlap %d ticks%n",
        losses,
        duplicates,
        suspensions,
        kills,
        transitTicks,
        firstPriority,
        secondPriority,
        result.states(),
        result.longestOverlapTicks());
    assertThat(result.states()).isGreaterThan(100);
    assertThat(result.longestOverlapTicks())
        .isLessThanOrEqualTo(maxOverlapTicks(losses, transitTicks));
    assertThat(result.recovered()).isTrue();
  }

  @ParameterizedTest
  @CsvSource({
    // losses, suspensions, kills, longest transit in ticks, priorities
    "0, 1, 1, 1, 100, 150, 200",
    "0, 0, 2, 1, 100, 100, 200",
    "1, 1, 0, 1, 100, 100, 100"
  })
  void threeRoutersKeepTheOverlapBoundAndRecover(
      int losses,
      int suspensions,
      int kills,
      int transitTicks,
      int firstPriority,
      int secondPriority,
      int thirdPriority) {
    ModelCheck check =
        new ModelCheck(
            ModelCheck.WITHOUT_DEFECT,
            List.of(settings(1), settings(2), settings(3)),
            List.of(firstPriority, secondPriority, thirdPriority),
            MAX_OVERLAP_TICKS);
    ModelCheck.Result result =
        check.explore(new ModelCheck.Budget(losses, 0, suspensions, kills, transitTicks));
    System.out.printf(
        "three routers, %d losses, %d suspensions, %d kills, transit %d ticks, "
            + "priorities %d, %d and %d: %d states, longest overlap %d ticks%n",
        losses,
        suspensions,
        kills,
        transitTicks,
        firstPriority,
        secondPriority,
        thirdPriority,
        result.states(),
        result.longestOverlapTicks());
    // The bound holds for each pair. A third router may become active right after the first two
    // overlapped.
    assertThat(result.longestOverlapTicks())
        .isLessThanOrEqualTo(2 * maxOverlapTicks(losses, transitTicks));
    assertThat(result.recovered()).isTrue();
  }

  /** Ignores the sender's number, so that of two equal priorities neither router gives way. */
  private static final ModelCheck.StateMachine WITHOUT_TIE_BREAK =
      new ModelCheck.StateMachine() {
        @Override
        public Election.Step next(
            Election.State state, Election.Event event, Duration now, Election.Settings settings) {
          Election.Event changed =
              event instanceof Election.AdvertisementReceived received
                  ? new Election.AdvertisementReceived(
                      received.priority(), Long.MIN_VALUE, received.interval())
                  : event;
          return Election.next(state, changed, now, settings);
        }
      };

  private static final ModelCheck.StateMachine WITHOUT_LEASE =
      new ModelCheck.StateMachine() {
        @Override
        public boolean mayAct(Election.State state, Duration now) {
          return state.role() == Election.Role.ACTIVE;
        }
      };

  /** Guards against a model check that passes because it finds no defects at all. */
  @Test
  void missingTieBreakAndMissingLeaseAreDetected() {
    List<Election.Settings> two = List.of(settings(1), settings(2));
    int threeIntervals = 12;
    ModelCheck.Result withoutTieBreak =
        new ModelCheck(WITHOUT_TIE_BREAK, two, List.of(100, 100), threeIntervals)
            .explore(new ModelCheck.Budget(2, 0, 0, 1, 1));
    assertThat(
            withoutTieBreak.longestOverlapTicks() > threeIntervals || !withoutTieBreak.recovered())
        .as("the missing tie-break")
        .isTrue();
    ModelCheck.Budget oneSuspension = new ModelCheck.Budget(0, 0, 1, 0, 1);
    ModelCheck.Result withoutDefect =
        new ModelCheck(ModelCheck.WITHOUT_DEFECT, two, List.of(100, 200), MAX_OVERLAP_TICKS)
            .explore(oneSuspension);
    ModelCheck.Result withoutLease =
        new ModelCheck(WITHOUT_LEASE, two, List.of(100, 200), MAX_OVERLAP_TICKS)
            .explore(oneSuspension);
    assertThat(withoutLease.longestOverlapTicks())
        .as("the missing lease")
        .isGreaterThan(withoutDefect.longestOverlapTicks());
  }
}
