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

/**
 * Guards against maintenance windows that take away coverage or reserve, close too early, never end
 * or leave caches drained after a combination of faults: killed gateways, lost contact, delayed
 * proposals and failing caches. Deliberate defects show that the model finds such errors.
 */
class CoordinatorModelTest {
  private static final int HORIZON_SECONDS = 14;
  private static final FaultBudget ANY_TWO_FAULTS = new FaultBudget(1, 1, 1, 1, 1, 1, 1, 2);
  private static final FaultBudget TWO_CACHE_FAILURES = new FaultBudget(0, 0, 0, 0, 2, 0, 0, 2);
  private static final FaultBudget TWO_KILLS = new FaultBudget(2, 0, 0, 0, 0, 0, 0, 2);

  private static CoordinatorModel.Result explore(
      CoordinatorModel.Variant variant, FaultBudget budget) {
    return new CoordinatorModel(variant, HORIZON_SECONDS).explore(budget);
  }

  @Test
  void noRuleIsBrokenByAnyTwoFaults() {
    CoordinatorModel.Result result = explore(CoordinatorModel.CORRECT, ANY_TWO_FAULTS);
    assertThat(result.breach()).isNull();
    assertThat(result.states()).isGreaterThan(20_000);
  }

  @Test
  void operatorsAreNotifiedAtOnceOfAnUncoveredRange() {
    assertThat(explore(CoordinatorModel.CORRECT, TWO_CACHE_FAILURES).breach()).isNull();
    CoordinatorModel.Variant silent =
        new CoordinatorModel.Variant() {
          @Override
          public WindowCoordinator.Transition next(
              CoordinatorState state,
              WindowEvent event,
              Duration now,
              boolean original,
              CoverageAssessor assessor) {
            WindowCoordinator.Transition transition =
                CoordinatorModel.CORRECT.next(state, event, now, original, assessor);
            Set<NoticeKey> notified = new HashSet<>(transition.state().notified());
            notified.removeIf(key -> key.notice() == Notice.UNCOVERED);
            return new WindowCoordinator.Transition(
                transition.state().withNotified(notified), transition.actions());
          }
        };
    assertThat(explore(silent, TWO_CACHE_FAILURES).breach())
        .contains("key range uncovered without a notice");
  }

  @Test
  void findsAViewThatIgnoresTheExpectedNumber() {
    CoordinatorModel.Variant defect =
        new CoordinatorModel.Variant() {
          @Override
          public boolean accepts(long viewNumber, long expected) {
            return true;
          }
        };
    assertThat(explore(defect, ANY_TWO_FAULTS).breach()).isNotNull();
  }

  @Test
  void findsAnAssessorThatIgnoresAnUnavailableCache() {
    CoordinatorModel.Variant defect =
        new CoordinatorModel.Variant() {
          @Override
          public NavigableSet<String> unavailable(NavigableSet<String> out) {
            return out.isEmpty() ? out : out.headSet(out.last(), false);
          }
        };
    assertThat(explore(defect, ANY_TWO_FAULTS).breach()).contains("coverage or reserve lost");
  }

  @Test
  void findsAViewThatIsUsedPastItsLease() {
    CoordinatorModel.Variant defect =
        new CoordinatorModel.Variant() {
          @Override
          public WindowCoordinator.Transition next(
              CoordinatorState state,
              WindowEvent event,
              Duration now,
              boolean original,
              CoverageAssessor assessor) {
            return CoordinatorModel.CORRECT.next(
                state.withLeaseEnd(Duration.ofDays(1)), event, now, original, assessor);
          }
        };
    assertThat(explore(defect, ANY_TWO_FAULTS).breach())
        .contains("proposal after the end of the view lease");
  }

  @Test
  void findsTheUseOfObservationsFromBeforeTheReturn() {
    CoordinatorModel.Variant defect =
        new CoordinatorModel.Variant() {
          @Override
          public WindowCoordinator.Transition next(
              CoordinatorState state,
              WindowEvent event,
              Duration now,
              boolean original,
              CoverageAssessor assessor) {
            // The first observations of caches are treated as current for ever.
            boolean ignored =
                event instanceof WindowEvent.CachesObserved && !state.observations().isEmpty();
            TreeMap<String, CacheObservation> observations = new TreeMap<>();
            state
                .observations()
                .forEach((cache, first) -> observations.put(cache, renewed(first, now)));
            return CoordinatorModel.CORRECT.next(
                state.withObservations(observations),
                ignored ? new WindowEvent.Tick() : event,
                now,
                original,
                assessor);
          }
        };
    assertThat(explore(defect, ANY_TWO_FAULTS).breach())
        .contains("window closed while a cache is not warm");
  }

  private static CacheObservation renewed(CacheObservation first, Duration now) {
    return new CacheObservation(first.incarnation(), first.up(), first.warm(), true, now);
  }

  @Test
  void findsAStepThatNeedsTheStateOfAKilledLeader() {
    CoordinatorModel.Variant defect =
        new CoordinatorModel.Variant() {
          @Override
          public WindowCoordinator.Transition next(
              CoordinatorState state,
              WindowEvent event,
              Duration now,
              boolean original,
              CoverageAssessor assessor) {
            WindowCoordinator.Transition transition =
                CoordinatorModel.CORRECT.next(state, event, now, original, assessor);
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
