package tamarindroute.maintenance;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import tamarindroute.maintenance.CoordinatorState.PhaseEntry;

/**
 * State machine for all maintenance windows: a pure function from state, event and time to the next
 * state and actions.
 *
 * <p>Each step of a window is one proposal. The agreed view accepts it only if the view still has
 * the number on which the step was decided. If two members decide concurrently, one proposal is
 * rejected and its member decides again on the next view. The view contains everything that is
 * needed to continue, so a leader that is killed leaves no unfinished window.
 */
public final class WindowCoordinator {
  /**
   * Maximum number of windows in the view, including ended ones that are retained. The maintenance
   * of one location in one night needs some tens of windows.
   */
  public static final int MAX_WINDOWS = 256;

  /** Maximum number of caches whose observations are kept: as many as the planner supports. */
  public static final int MAX_OBSERVATIONS = PlanningInput.MAX_CACHES;

  /**
   * The result of handling an event.
   *
   * @param state the new state
   * @param actions the actions that the caller carries out, in order
   */
  public record Transition(CoordinatorState state, List<WindowAction> actions) {}

  private WindowCoordinator() {}

  /** Returns the state of a member that has just started. */
  public static CoordinatorState initial() {
    return CoordinatorState.initial();
  }

  /**
   * Handles an event and decides the next step.
   *
   * @param state the state after the previous event
   * @param event the event
   * @param now current agreed time
   * @param settings the durations that control windows
   * @param assessor finds start times and shortages
   */
  public static Transition next(
      CoordinatorState state,
      WindowEvent event,
      Duration now,
      CoordinatorSettings settings,
      CoverageAssessor assessor) {
    List<WindowAction> actions = new ArrayList<>();
    CoordinatorState updated = apply(state, event, now, actions);
    return new WindowTransitions(updated, now, settings, assessor, actions).run();
  }

  private static CoordinatorState apply(
      CoordinatorState state, WindowEvent event, Duration now, List<WindowAction> actions) {
    if (event instanceof WindowEvent.ViewUpdated view) {
      return applyView(state, view, now, actions);
    }
    if (event instanceof WindowEvent.ProposalRejected rejected) {
      // A step that was decided on an outdated view is decided again on the next view. Until that
      // view arrives, the proposal stays recorded as unanswered, which blocks further proposals.
      boolean newerViewExpected = rejected.viewNumber() > state.viewNumber();
      return state.withProposedAt(newerViewExpected ? now : null);
    }
    if (event instanceof WindowEvent.ContactLost) {
      return state.withLeaseEnd(now).withProposedAt(null);
    }
    if (event instanceof WindowEvent.LeadershipChanged change) {
      return state.withLeader(change.leader());
    }
    if (event instanceof WindowEvent.RequestsChanged change) {
      boolean outdated = change.requests().revision() < state.requests().revision();
      return outdated ? state : state.withRequests(change.requests());
    }
    if (event instanceof WindowEvent.CachesObserved observed) {
      return applyObservations(state, observed);
    }
    return state;
  }

  private static CoordinatorState applyObservations(
      CoordinatorState state, WindowEvent.CachesObserved observed) {
    SortedMap<String, CacheObservation> observations = new TreeMap<>(state.observations());
    observed
        .observations()
        .forEach(
            (cache, observation) -> {
              CacheObservation known = observations.get(cache);
              boolean accepted =
                  known == null
                      ? observations.size() < MAX_OBSERVATIONS
                      : !observation.isOlderThan(known);
              if (accepted) {
                observations.put(cache, observation);
              }
            });
    return state.withObservations(observations);
  }

  private static CoordinatorState applyView(
      CoordinatorState state,
      WindowEvent.ViewUpdated view,
      Duration now,
      List<WindowAction> actions) {
    if (view.viewNumber() < state.viewNumber() || view.windows().size() > MAX_WINDOWS) {
      return state;
    }
    SortedMap<String, PhaseEntry> phaseEntries = new TreeMap<>();
    SortedSet<String> draining = new TreeSet<>();
    view.windows()
        .forEach(
            (id, window) -> {
              phaseEntries.put(id, phaseEntry(state.phaseEntries().get(id), window, now));
              if (window.phase().drains()) {
                draining.addAll(window.caches());
              }
            });
    draining.stream()
        .filter(cache -> !state.draining().contains(cache))
        .forEach(cache -> actions.add(new WindowAction.Drain(cache)));
    state.draining().stream()
        .filter(cache -> !draining.contains(cache))
        .forEach(cache -> actions.add(new WindowAction.Release(cache)));
    return state.withView(view, phaseEntries, draining);
  }

  private static PhaseEntry phaseEntry(PhaseEntry known, MaintenanceWindow window, Duration now) {
    boolean samePhase = known != null && known.phase() == window.phase();
    return samePhase ? known : new PhaseEntry(window.phase(), now);
  }
}
