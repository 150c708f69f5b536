package tamarindroute.maintenance;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import tamarindroute.maintenance.MaintenanceWindow.Phase;

/**
 * Guards against wrong single steps of the window coordinator: repeated or missing notices,
 * proposals that are not repeated, drains that don't match the view, observations that are used
 * although they are outdated, and windows that are recalled, closed or withdrawn for the wrong
 * reason.
 */
class WindowCoordinatorTest {
  private static final MaintenanceWindow REQUESTED =
      MaintenanceWindow.requested("w", 1, List.of("a"), seconds(10), seconds(0), seconds(100));
  private static final Shortage SHORTAGE =
      new Shortage(Shortage.Kind.CAPACITY, 7, "b", 3, 2, seconds(0));
  private static final int LONG_LEASE_SECONDS = 900;

  private Shortage shortage;

  /** The arguments of all calls of {@link CoverageAssessor#shortage}. */
  private final List<String> assessed = new ArrayList<>();

  private final CoverageAssessor assessor =
      new CoverageAssessor() {
        @Override
        public Slot findSlot(
            MaintenanceWindow requested, Collection<MaintenanceWindow> others, Duration now) {
          return shortage == null ? new Slot.Found(now) : new Slot.Unavailable(shortage);
        }

        @Override
        public Optional<Shortage> shortage(
            NavigableSet<String> out, boolean withReserve, Duration now) {
          assessed.add(out + " " + withReserve);
          return withReserve ? Optional.ofNullable(shortage) : Optional.empty();
        }

        @Override
        public Set<String> caches() {
          return Set.of("a", "b");
        }
      };

  private static Duration seconds(int seconds) {
    return Duration.ofSeconds(seconds);
  }

  private WindowCoordinator.Transition next(CoordinatorState state, WindowEvent event, int now) {
    return WindowCoordinator.next(state, event, seconds(now), CoordinatorModel.SETTINGS, assessor);
  }

  private WindowCoordinator.Transition tick(CoordinatorState state, int now) {
    return next(state, new WindowEvent.Tick(), now);
  }

  private CoordinatorState leader() {
    return next(WindowCoordinator.initial(), new WindowEvent.LeadershipChanged(true), 0).state();
  }

  private CoordinatorState observed(
      CoordinatorState state, String cache, CacheObservation observation, int now) {
    return next(state, new WindowEvent.CachesObserved(Map.of(cache, observation)), now).state();
  }

  private static WindowEvent.ViewUpdated view(
      long viewNumber, MaintenanceWindow window, int leaseEnd) {
    TreeMap<String, MaintenanceWindow> windows = new TreeMap<>();
    windows.put(window.id(), window);
    return new WindowEvent.ViewUpdated(viewNumber, windows, seconds(leaseEnd));
  }

  private static WindowAction.Propose proposal(long viewNumber, MaintenanceWindow value) {
    return new WindowAction.Propose("window/w", viewNumber, value);
  }

  private static WindowEvent.RequestsChanged noRequests(int revision) {
    return new WindowEvent.RequestsChanged(new RequestedWindows(revision, Map.of()));
  }

  @Test
  void notifiesOnceOfAMissingSlotWithItsShortage() {
    shortage = SHORTAGE;
    WindowCoordinator.Transition transition = next(leader(), view(3, REQUESTED, 9), 1);
    assertThat(transition.actions())
        .containsExactly(new WindowAction.Notify(Notice.NO_SLOT, "w", SHORTAGE));
    assertThat(tick(transition.state(), 2).actions()).isEmpty();
    shortage = null;
    assertThat(tick(transition.state(), 3).actions())
        .containsExactly(
            proposal(3, REQUESTED.withPhase(Phase.SCHEDULED, seconds(3), seconds(13))));
  }

  @Test
  void repeatsAnUnansweredProposalAndAwaitsTheViewAfterARejectedOne() {
    WindowCoordinator.Transition transition = next(leader(), view(3, REQUESTED, 90), 1);
    assertThat(transition.actions()).hasSize(1);
    assertThat(tick(transition.state(), 2).actions()).isEmpty();
    assertThat(tick(transition.state(), 3).actions()).hasSize(1);
    assertThat(next(transition.state(), new WindowEvent.ProposalRejected(4), 2).actions())
        .isEmpty();
    assertThat(next(transition.state(), new WindowEvent.ContactLost(), 2).actions()).isEmpty();
  }

  @Test
  void drainsFollowTheViewAlsoAfterARestart() {
    MaintenanceWindow open = REQUESTED.withPhase(Phase.OPEN, seconds(0), seconds(10));
    WindowCoordinator.Transition transition =
        next(WindowCoordinator.initial(), view(5, open, 9), 1);
    assertThat(transition.actions()).contains(new WindowAction.Drain("a"));
    assertThat(next(transition.state(), view(6, open.withPhase(Phase.RETURNING), 9), 2).actions())
        .contains(new WindowAction.Release("a"));
    assertThat(next(transition.state(), view(4, open.withPhase(Phase.CLOSED), 9), 2).actions())
        .as("an older view")
        .isEmpty();
  }

  @Test
  void cachesThatAreUnobservedColdOrInAWindowCountAsOut() {
    CoordinatorState state =
        observed(leader(), "a", new CacheObservation(1, true, true, true, seconds(1)), 1);
    MaintenanceWindow scheduled = REQUESTED.withPhase(Phase.SCHEDULED, seconds(0), seconds(10));
    MaintenanceWindow open = REQUESTED.withPhase(Phase.OPEN, seconds(0), seconds(10));
    next(state, view(5, scheduled, 9), 1);
    assertThat(assessed).as("before a step").last().isEqualTo("[a, b] true");
    next(state, view(5, open, 9), 1);
    assertThat(assessed)
        .as("a leader that has just started recalls nothing")
        .last()
        .isEqualTo("[a] true");
    state = observed(state, "b", new CacheObservation(2, true, true, false, seconds(1)), 1);
    state = observed(state, "b", new CacheObservation(1, false, false, false, seconds(2)), 2);
    next(state, view(5, open, 9), 2);
    assertThat(assessed)
        .as("an observation of an earlier incarnation")
        .last()
        .isEqualTo("[a] true");
  }

  @Test
  void recallsACacheThatIsUpAndOnlyNotifiesOfOneThatIsDown() {
    shortage = SHORTAGE;
    MaintenanceWindow open = REQUESTED.withPhase(Phase.OPEN, seconds(0), seconds(10));
    CoordinatorState up =
        observed(leader(), "a", new CacheObservation(1, true, true, true, seconds(1)), 1);
    assertThat(next(up, view(5, open, 9), 1).actions())
        .contains(
            new WindowAction.Notify(Notice.RECALLED, "w", SHORTAGE),
            proposal(5, open.withPhase(Phase.RETURNING, seconds(0), seconds(1))));
    CoordinatorState down =
        observed(up, "a", new CacheObservation(1, false, false, true, seconds(2)), 2);
    assertThat(next(down, view(5, open, 9), 2).actions())
        .contains(new WindowAction.Notify(Notice.RECALLED, "w", SHORTAGE))
        .noneMatch(action -> action instanceof WindowAction.Propose);
  }

  @Test
  void cacheThatNeverReturnsIsLateThenTimesOutAndAnEndedWindowIsRemoved() {
    MaintenanceWindow returning = REQUESTED.withPhase(Phase.RETURNING, seconds(0), seconds(10));
    MaintenanceWindow closed = returning.withPhase(Phase.CLOSED);
    CoordinatorState state = next(leader(), view(5, returning, LONG_LEASE_SECONDS), 10).state();
    WindowCoordinator.Transition late = tick(state, 12);
    assertThat(late.actions())
        .containsExactly(new WindowAction.Notify(Notice.RETURN_LATE, "w", null));
    assertThat(tick(late.state(), 14).actions())
        .containsExactly(
            new WindowAction.Notify(Notice.RETURN_TIMED_OUT, "w", null), proposal(5, closed));
    assertThat(next(leader(), view(6, closed, LONG_LEASE_SECONDS), 160).actions())
        .containsExactly(proposal(6, null));
  }

  @Test
  void onlyALaterRevisionWithdrawsARequest() {
    CoordinatorState state = next(leader(), view(5, REQUESTED, 9), 1).state();
    CoordinatorState rejected = next(state, new WindowEvent.ProposalRejected(5), 1).state();
    assertThat(next(rejected, noRequests(1), 1).actions())
        .noneMatch(
            action ->
                action instanceof WindowAction.Propose propose
                    && propose.value().phase() == Phase.CANCELLED);
    CoordinatorState withdrawn = next(state, noRequests(2), 1).state();
    assertThat(tick(withdrawn, 4).actions())
        .containsExactly(proposal(5, REQUESTED.withPhase(Phase.CANCELLED)));
  }
}
