package tamarindroute.windows;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

class CoordinatorModelTest {
  private static final CoordinatorModel.Budget MANY =
      new CoordinatorModel.Budget(1, 1, 1, 1, 1, 1, 1, 2);

  private static CoordinatorModel.Found explore(
      CoordinatorModel.Machine machine, CoordinatorModel.Budget budget) {
    return new CoordinatorModel(machine, 14).explore(budget);
  }

  @Test
  void noRuleIsBrokenWhateverHappens() {
    CoordinatorModel.Found found = explore(CoordinatorModel.SOUND, MANY);
    assertThat(found.gone()).isNull();
    assertThat(found.states()).isGreaterThan(20_000);
  }

  @Test
  void whatUncoversIsToldAtOnce() {
    assertThat(
            explore(CoordinatorModel.SOUND, new CoordinatorModel.Budget(0, 0, 0, 0, 2, 0, 0, 2))
                .gone())
        .isNull();
    CoordinatorModel.Machine silent =
        new CoordinatorModel.Machine() {
          @Override
          public WindowCoordinator.Transition next(
              WindowCoordinator.State state,
              WindowCoordinator.Event event,
              Duration now,
              boolean first,
              WindowCoordinator.CoverageAssessor assessor) {
            WindowCoordinator.Transition transition =
                CoordinatorModel.SOUND.next(state, event, now, first, assessor);
            SortedSet<String> told = new TreeSet<>(transition.state().notified());
            told.removeIf(t -> t.startsWith("UNCOVERED"));
            return new WindowCoordinator.Transition(
                with(transition.state(), transition.state().leaseEnd(), told),
                transition.actions());
          }
        };
    assertThat(explore(silent, new CoordinatorModel.Budget(0, 0, 0, 0, 2, 0, 0, 2)).gone())
        .contains("nobody was told");
  }

  private static WindowCoordinator.State with(
      WindowCoordinator.State s, Duration until, SortedSet<String> told) {
    return new WindowCoordinator.State(
        s.viewNumber(),
        s.windows(),
        until,
        s.leader(),
        s.proposedAt(),
        s.phaseEntries(),
        s.observations(),
        s.requests(),
        s.draining(),
        told);
  }

  @Test
  void putsThatIgnoreTheNumberAreFound() {
    assertThat(
            explore(
                    new CoordinatorModel.Machine() {
                      @Override
                      public boolean takes(long number, long expected) {
                        return true;
                      }
                    },
                    MANY)
                .gone())
        .isNotNull();
  }

  @Test
  void aJudgeThatForgetsOtherWindowsIsFound() {
    assertThat(
            explore(
                    new CoordinatorModel.Machine() {
                      @Override
                      public SortedSet<String> counts(SortedSet<String> out) {
                        return out.isEmpty() ? out : out.headSet(out.last());
                      }
                    },
                    MANY)
                .gone())
        .contains("cover and reserve lost");
  }

  @Test
  void aViewHeldPastItsLeaseIsFound() {
    assertThat(
            explore(
                    new CoordinatorModel.Machine() {
                      @Override
                      public WindowCoordinator.Transition next(
                          WindowCoordinator.State state,
                          WindowCoordinator.Event event,
                          Duration now,
                          boolean first,
                          WindowCoordinator.CoverageAssessor assessor) {
                        return CoordinatorModel.SOUND.next(
                            with(state, Duration.ofDays(1), state.notified()),
                            event,
                            now,
                            first,
                            assessor);
                      }
                    },
                    MANY)
                .gone())
        .contains("too old");
  }

  @Test
  void wordsFromBeforeTheReturnAreFound() {
    assertThat(
            explore(
                    new CoordinatorModel.Machine() {
                      @Override
                      public WindowCoordinator.Transition next(
                          WindowCoordinator.State state,
                          WindowCoordinator.Event event,
                          Duration now,
                          boolean first,
                          WindowCoordinator.CoverageAssessor assessor) {
                        // The first words of caches are believed for ever.
                        boolean known =
                            event instanceof WindowCoordinator.CachesObserved
                                && !state.observations().isEmpty();
                        TreeMap<String, WindowCoordinator.CacheObservation> words = new TreeMap<>();
                        state
                            .observations()
                            .forEach(
                                (c, w) ->
                                    words.put(
                                        c,
                                        new WindowCoordinator.CacheObservation(
                                            w.incarnation(), w.up(), w.warm(), true, now)));
                        return CoordinatorModel.SOUND.next(
                            new WindowCoordinator.State(
                                state.viewNumber(),
                                state.windows(),
                                state.leaseEnd(),
                                state.leader(),
                                state.proposedAt(),
                                state.phaseEntries(),
                                words,
                                state.requests(),
                                state.draining(),
                                state.notified()),
                            known ? new WindowCoordinator.Tick() : event,
                            now,
                            first,
                            assessor);
                      }
                    },
                    MANY)
                .gone())
        .contains("closed though not warm");
  }

  @Test
  void aStepThatNeedsWhatOnlyTheKilledOneKnewIsFound() {
    assertThat(
            explore(
                    new CoordinatorModel.Machine() {
                      @Override
                      public WindowCoordinator.Transition next(
                          WindowCoordinator.State state,
                          WindowCoordinator.Event event,
                          Duration now,
                          boolean first,
                          WindowCoordinator.CoverageAssessor assessor) {
                        WindowCoordinator.Transition transition =
                            CoordinatorModel.SOUND.next(state, event, now, first, assessor);
                        List<WindowCoordinator.Action> actions =
                            new ArrayList<>(transition.actions());
                        actions.removeIf(
                            a ->
                                !first
                                    && a instanceof WindowCoordinator.Propose put
                                    && put.value() != null
                                    && put.value().phase() == MaintenanceWindow.Phase.RETURNING);
                        return new WindowCoordinator.Transition(transition.state(), actions);
                      }
                    },
                    new CoordinatorModel.Budget(2, 0, 0, 0, 0, 0, 0, 2))
                .gone())
        .contains("half a window");
  }
}
