package tamarindroute.windows;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

class WindowCoordinatorTest {
  private static final MaintenanceWindow ASKED =
      MaintenanceWindow.requested("w", 1, List.of("a"), s(10), s(0), s(100));
  private static final Plan.Shortage LACK =
      new Plan.Shortage(Plan.ShortageKind.CAPACITY, 7, "b", 3, 2, s(0));

  private Plan.Shortage shortage;
  private final List<String> judged = new ArrayList<>();
  private final WindowCoordinator.CoverageAssessor assessor =
      new WindowCoordinator.CoverageAssessor() {
        @Override
        public WindowCoordinator.Slot findSlot(
            MaintenanceWindow asked, Collection<MaintenanceWindow> others, Duration now) {
          return shortage == null
              ? new WindowCoordinator.Slot(now, null)
              : new WindowCoordinator.Slot(null, shortage);
        }

        @Override
        public Plan.Shortage shortage(SortedSet<String> out, boolean reserve, Duration now) {
          judged.add(out + " " + reserve);
          return reserve ? shortage : null;
        }

        @Override
        public Set<String> caches() {
          return Set.of("a", "b");
        }
      };

  private static Duration s(int seconds) {
    return Duration.ofSeconds(seconds);
  }

  private WindowCoordinator.Transition next(
      WindowCoordinator.State state, WindowCoordinator.Event event, int now) {
    return WindowCoordinator.next(state, event, s(now), CoordinatorModel.SETTINGS, assessor);
  }

  private WindowCoordinator.State leads() {
    return next(WindowCoordinator.initial(), new WindowCoordinator.LeadershipChanged(true), 0)
        .state();
  }

  private static WindowCoordinator.ViewUpdated agreed(
      long number, MaintenanceWindow window, int until) {
    TreeMap<String, MaintenanceWindow> entries = new TreeMap<>();
    entries.put(window.id(), window);
    return new WindowCoordinator.ViewUpdated(number, entries, s(until));
  }

  @Test
  void aRefusalIsToldOnceWithRangeCacheAndNumber() {
    shortage = LACK;
    WindowCoordinator.Transition transition = next(leads(), agreed(3, ASKED, 9), 1);
    assertThat(transition.actions())
        .containsExactly(new WindowCoordinator.Notify(WindowCoordinator.Notice.NO_SLOT, "w", LACK));
    assertThat(next(transition.state(), new WindowCoordinator.Tick(), 2).actions()).isEmpty();
    shortage = null;
    assertThat(next(transition.state(), new WindowCoordinator.Tick(), 3).actions())
        .containsExactly(
            new WindowCoordinator.Propose(
                "window/w", 3, ASKED.scheduled(MaintenanceWindow.Phase.SCHEDULED, s(3), s(13))));
  }

  @Test
  void anUnansweredPutIsSentAnewWithItsNumberAndARefusedOneWaitsForTheView() {
    WindowCoordinator.Transition transition = next(leads(), agreed(3, ASKED, 90), 1);
    assertThat(transition.actions()).hasSize(1);
    assertThat(next(transition.state(), new WindowCoordinator.Tick(), 2).actions()).isEmpty();
    assertThat(next(transition.state(), new WindowCoordinator.Tick(), 3).actions()).hasSize(1);
    assertThat(next(transition.state(), new WindowCoordinator.ProposalRejected(4), 2).actions())
        .isEmpty();
    assertThat(next(transition.state(), new WindowCoordinator.ContactLost(), 2).actions())
        .isEmpty();
  }

  @Test
  void whatDrainsFollowsTheViewAlsoAfterARestart() {
    MaintenanceWindow open = ASKED.scheduled(MaintenanceWindow.Phase.OPEN, s(0), s(10));
    WindowCoordinator.Transition transition =
        next(WindowCoordinator.initial(), agreed(5, open, 9), 1);
    assertThat(transition.actions()).contains(new WindowCoordinator.Drain("a"));
    assertThat(
            next(
                    transition.state(),
                    agreed(6, open.withPhase(MaintenanceWindow.Phase.RETURNING), 9),
                    2)
                .actions())
        .contains(new WindowCoordinator.Release("a"));
    assertThat(
            next(
                    transition.state(),
                    agreed(4, open.withPhase(MaintenanceWindow.Phase.CLOSED), 9),
                    2)
                .actions())
        .as("an older view")
        .isEmpty();
  }

  @Test
  void cachesNotHeardOfColdOrInAWindowCountAsOut() {
    WindowCoordinator.State state =
        next(
                leads(),
                new WindowCoordinator.CachesObserved(
                    Map.of("a", new WindowCoordinator.CacheObservation(1, true, true, true, s(1)))),
                1)
            .state();
    next(state, agreed(5, ASKED.scheduled(MaintenanceWindow.Phase.SCHEDULED, s(0), s(10)), 9), 1);
    assertThat(judged).as("before a step").last().isEqualTo("[a, b] true");
    next(state, agreed(5, ASKED.scheduled(MaintenanceWindow.Phase.OPEN, s(0), s(10)), 9), 1);
    assertThat(judged)
        .as("a leader that has just started calls nothing back")
        .last()
        .isEqualTo("[a] true");
    state =
        next(
                state,
                new WindowCoordinator.CachesObserved(
                    Map.of(
                        "b", new WindowCoordinator.CacheObservation(2, true, true, false, s(1)))),
                1)
            .state();
    state =
        next(
                state,
                new WindowCoordinator.CachesObserved(
                    Map.of(
                        "b", new WindowCoordinator.CacheObservation(1, false, false, false, s(2)))),
                2)
            .state();
    next(state, agreed(5, ASKED.scheduled(MaintenanceWindow.Phase.OPEN, s(0), s(10)), 9), 2);
    assertThat(judged).as("a former self's word").last().isEqualTo("[a] true");
  }

  @Test
  void calledBackWhileTheCacheIsUpElseOnlyTold() {
    shortage = LACK;
    MaintenanceWindow open = ASKED.scheduled(MaintenanceWindow.Phase.OPEN, s(0), s(10));
    WindowCoordinator.State up =
        next(
                leads(),
                new WindowCoordinator.CachesObserved(
                    Map.of("a", new WindowCoordinator.CacheObservation(1, true, true, true, s(1)))),
                1)
            .state();
    assertThat(next(up, agreed(5, open, 9), 1).actions())
        .contains(
            new WindowCoordinator.Notify(WindowCoordinator.Notice.RECALLED, "w", LACK),
            new WindowCoordinator.Propose(
                "window/w", 5, open.scheduled(MaintenanceWindow.Phase.RETURNING, s(0), s(1))));
    WindowCoordinator.State down =
        next(
                up,
                new WindowCoordinator.CachesObserved(
                    Map.of(
                        "a", new WindowCoordinator.CacheObservation(1, false, false, true, s(2)))),
                2)
            .state();
    assertThat(next(down, agreed(5, open, 9), 2).actions())
        .contains(new WindowCoordinator.Notify(WindowCoordinator.Notice.RECALLED, "w", LACK))
        .noneMatch(a -> a instanceof WindowCoordinator.Propose);
  }

  @Test
  void aCacheThatNeverComesBackIsLateThenLostAndAnEndedWindowIsForgotten() {
    MaintenanceWindow returning = ASKED.scheduled(MaintenanceWindow.Phase.RETURNING, s(0), s(10));
    WindowCoordinator.State state = next(leads(), agreed(5, returning, 900), 10).state();
    WindowCoordinator.Transition late = next(state, new WindowCoordinator.Tick(), 12);
    assertThat(late.actions())
        .containsExactly(
            new WindowCoordinator.Notify(WindowCoordinator.Notice.RETURN_LATE, "w", null));
    assertThat(next(late.state(), new WindowCoordinator.Tick(), 14).actions())
        .containsExactly(
            new WindowCoordinator.Notify(WindowCoordinator.Notice.RETURN_TIMED_OUT, "w", null),
            new WindowCoordinator.Propose(
                "window/w", 5, returning.withPhase(MaintenanceWindow.Phase.CLOSED)));
    assertThat(
            next(leads(), agreed(6, returning.withPhase(MaintenanceWindow.Phase.CLOSED), 900), 160)
                .actions())
        .containsExactly(new WindowCoordinator.Propose("window/w", 6, null));
  }

  @Test
  void onlyALaterRevisionWithdraws() {
    WindowCoordinator.State state = next(leads(), agreed(5, ASKED, 9), 1).state();
    WindowCoordinator.Transition same =
        next(
            next(state, new WindowCoordinator.ProposalRejected(5), 1).state(),
            new WindowCoordinator.RequestsChanged(
                new WindowCoordinator.RequestedWindows(1, Map.of())),
            1);
    assertThat(same.actions())
        .noneMatch(
            a ->
                a instanceof WindowCoordinator.Propose put
                    && put.value().phase() == MaintenanceWindow.Phase.CANCELLED);
    WindowCoordinator.Transition later =
        next(
            next(
                    state,
                    new WindowCoordinator.RequestsChanged(
                        new WindowCoordinator.RequestedWindows(2, Map.of())),
                    1)
                .state(),
            new WindowCoordinator.Tick(),
            4);
    assertThat(later.actions())
        .containsExactly(
            new WindowCoordinator.Propose(
                "window/w", 5, ASKED.withPhase(MaintenanceWindow.Phase.CANCELLED)));
  }
}
