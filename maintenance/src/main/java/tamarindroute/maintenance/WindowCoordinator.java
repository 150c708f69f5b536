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
 * State machine of all maintenance windows: from state, event and time to state and actions.
 *
 * <p>Each step is one proposal that the agreed view accepts only while it has the number on which
 * the step was decided; of two members that decide at once, one is rejected and decides again. The
 * view holds all that is needed to go on, so a leader that is killed leaves no unfinished window.
 */
public final class WindowCoordinator {
  /** Most windows in the view, including ended ones that are retained. */
  public static final int MAX_WINDOWS = 256;

  /** Most caches of which observations are kept. */
  public static final int MAX_OBSERVATIONS = PlanningInput.MAX_CACHES;

  /**
   * The result of an event.
   *
   * @param state the new state
   * @param actions to be carried out in order
   */
  public record Transition(CoordinatorState state, List<WindowAction> actions) {}

  private WindowCoordinator() {}

  /** The state of a member that has just started. */
  public static CoordinatorState initial() {
    return CoordinatorState.initial();
  }

  /**
   * Takes in an event and decides the next step.
   *
   * @param state the result of the previous event
   * @param event what has happened
   * @param now agreed time
   * @param settings times
   * @param assessor decides when windows fit
   */
  public static Transition next(
      CoordinatorState state,
      WindowEvent event,
      Duration now,
      CoordinatorSettings settings,
      CoverageAssessor assessor) {
    List<WindowAction> actions = new ArrayList<>();
    CoordinatorState informed = apply(state, event, now, actions);
    return new WindowTransitions(informed, now, settings, assessor, actions).run();
  }

  private static CoordinatorState apply(
      CoordinatorState state, WindowEvent event, Duration now, List<WindowAction> actions) {
    if (event instanceof WindowEvent.ViewUpdated view) {
      return applyView(state, view, now, actions);
    }
    if (event instanceof WindowEvent.ProposalRejected rejected) {
      // What was decided on an old view is decided again on the next.
      boolean viewFollows = rejected.viewNumber() > state.viewNumber();
      return state.withProposedAt(viewFollows ? now : null);
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
