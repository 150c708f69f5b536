package tamarindroute.maintenance;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.NavigableSet;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import tamarindroute.maintenance.CoordinatorState.NoticeKey;

class CoordinatorModelTest {
  private static final int HORIZON = 14;
  private static final FaultBudget ANY_TWO_FAULTS = new FaultBudget(1, 1, 1, 1, 1, 1, 1, 2);
  private static final FaultBudget TWO_CACHE_FAILURES = new FaultBudget(0, 0, 0, 0, 2, 0, 0, 2);
  private static final FaultBudget TWO_KILLS = new FaultBudget(2, 0, 0, 0, 0, 0, 0, 2);

  private static CoordinatorModel.Result explore(
      CoordinatorModel.Machine machine, FaultBudget budget) {
    return new CoordinatorModel(machine, HORIZON).explore(budget);
  }

  @Test
  void noRuleIsBrokenByAnyTwoFaults() {
    CoordinatorModel.Result result = explore(CoordinatorModel.SOUND, ANY_TWO_FAULTS);
    assertThat(result.breach()).isNull();
    assertThat(result.states()).isGreaterThan(20_000);
  }

  @Test
  void operatorsAreNotifiedAtOnceOfAnUncoveredRange() {
    assertThat(explore(CoordinatorModel.SOUND, TWO_CACHE_FAILURES).breach()).isNull();
    CoordinatorModel.Machine silent =
        new CoordinatorModel.Machine() {
          @Override
          public WindowCoordinator.Transition next(
              CoordinatorState state,
              WindowEvent event,
              Duration now,
              boolean original,
              CoverageAssessor assessor) {
            WindowCoordinator.Transition transition =
                CoordinatorModel.SOUND.next(state, event, now, original, assessor);
            Set<NoticeKey> notified = new HashSet<>(transition.state().notified());
            notified.removeIf(key -> key.notice() == Notice.UNCOVERED);
            return new WindowCoordinator.Transition(
                transition.state().withNotified(notified), transition.actions());
          }
        };
    assertThat(explore(silent, TWO_CACHE_FAILURES).breach()).contains("nobody was notified");
  }

  @Test
  void findsAViewThatIgnoresTheExpectedNumber() {
    CoordinatorModel.Machine defect =
        new CoordinatorModel.Machine() {
          @Override
          public boolean accepts(long viewNumber, long expected) {
            return true;
          }
        };
    assertThat(explore(defect, ANY_TWO_FAULTS).breach()).isNotNull();
  }

  @Test
  void findsAnAssessorThatForgetsOtherWindows() {
    CoordinatorModel.Machine defect =
        new CoordinatorModel.Machine() {
          @Override
          public NavigableSet<String> counted(NavigableSet<String> out) {
            return out.isEmpty() ? out : out.headSet(out.last(), false);
          }
        };
    assertThat(explore(defect, ANY_TWO_FAULTS).breach()).contains("cover and reserve lost");
  }

  @Test
  void findsAViewThatIsUsedPastItsLease() {
    CoordinatorModel.Machine defect =
        new CoordinatorModel.Machine() {
          @Override
          public WindowCoordinator.Transition next(
              CoordinatorState state,
              WindowEvent event,
              Duration now,
              boolean original,
              CoverageAssessor assessor) {
            return CoordinatorModel.SOUND.next(
                state.withLeaseEnd(Duration.ofDays(1)), event, now, original, assessor);
          }
        };
    assertThat(explore(defect, ANY_TWO_FAULTS).breach()).contains("too old");
  }

  @Test
  void findsObservationsFromBeforeTheReturn() {
    CoordinatorModel.Machine defect =
        new CoordinatorModel.Machine() {
          @Override
          public WindowCoordinator.Transition next(
              CoordinatorState state,
              WindowEvent event,
              Duration now,
              boolean original,
              CoverageAssessor assessor) {
            // The first observations of caches are believed for ever.
            boolean ignored =
                event instanceof WindowEvent.CachesObserved && !state.observations().isEmpty();
            TreeMap<String, CacheObservation> observations = new TreeMap<>();
            state
                .observations()
                .forEach((cache, old) -> observations.put(cache, renewed(old, now)));
            return CoordinatorModel.SOUND.next(
                state.withObservations(observations),
                ignored ? new WindowEvent.Tick() : event,
                now,
                original,
                assessor);
          }
        };
    assertThat(explore(defect, ANY_TWO_FAULTS).breach()).contains("closed though not warm");
  }

  private static CacheObservation renewed(CacheObservation old, Duration now) {
    return new CacheObservation(old.incarnation(), old.up(), old.warm(), true, now);
  }

  @Test
  void findsAStepThatNeedsTheMemoryOfAKilledLeader() {
    CoordinatorModel.Machine defect =
        new CoordinatorModel.Machine() {
          @Override
          public WindowCoordinator.Transition next(
              CoordinatorState state,
              WindowEvent event,
              Duration now,
              boolean original,
              CoverageAssessor assessor) {
            WindowCoordinator.Transition transition =
                CoordinatorModel.SOUND.next(state, event, now, original, assessor);
            List<WindowAction> actions = new ArrayList<>(transition.actions());
            actions.removeIf(action -> !original && isReturn(action));
            return new WindowCoordinator.Transition(transition.state(), actions);
          }
        };
    assertThat(explore(defect, TWO_KILLS).breach()).contains("unfinished window");
  }

  private static boolean isReturn(WindowAction action) {
    return action instanceof WindowAction.Propose proposal
        && proposal.value() != null
        && proposal.value().phase() == MaintenanceWindow.Phase.RETURNING;
  }
}
