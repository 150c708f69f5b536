package tamarindroute.maintenance;

import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.NavigableSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import tamarindroute.maintenance.CoordinatorState.NoticeKey;
import tamarindroute.maintenance.MaintenanceWindow.Phase;

/**
 * Decides the next phase of each maintenance window from one state of the coordinator. At most one
 * change is proposed at a time, and only by a leader whose view lease has not expired.
 */
final class WindowTransitions {
  /**
   * Order in which phases are decided. Windows in progress come first, so that the return of caches
   * is not delayed by the start of another window.
   */
  private static final List<Phase> DECISION_ORDER =
      List.of(Phase.RETURNING, Phase.OPEN, Phase.DRAINING, Phase.SCHEDULED, Phase.REQUESTED);

  private final CoordinatorState state;
  private final Duration now;
  private final CoordinatorSettings settings;
  private final CoverageAssessor assessor;
  private final List<WindowAction> actions;
  private final Set<NoticeKey> notified = new HashSet<>();

  /** True while a proposal is pending, without a valid view lease, or if not the leader. */
  private boolean proposalBlocked;

  WindowTransitions(
      CoordinatorState state,
      Duration now,
      CoordinatorSettings settings,
      CoverageAssessor assessor,
      List<WindowAction> actions) {
    this.state = state;
    this.now = now;
    this.settings = settings;
    this.assessor = assessor;
    this.actions = actions;
  }

  WindowCoordinator.Transition run() {
    boolean proposalPending =
        state.proposedAt() != null
            && isBefore(now, state.proposedAt().plus(settings.proposalTimeout()));
    boolean viewValid = isBefore(now, state.leaseEnd());
    proposalBlocked = proposalPending || !viewValid || !state.leader();
    for (Phase phase : DECISION_ORDER) {
      windowsWith(window -> window.phase() == phase).forEach(this::advance);
    }
    windowsWith(window -> window.phase().ended()).forEach(this::removeWhenExpired);
    addRequested();
    CoordinatorState next =
        state.withProposedAt(proposedAt(proposalPending)).withNotified(notified);
    return new WindowCoordinator.Transition(next, actions);
  }

  private Duration proposedAt(boolean proposalPending) {
    if (actions.stream().anyMatch(WindowAction.Propose.class::isInstance)) {
      return now;
    }
    return proposalPending ? state.proposedAt() : null;
  }

  private List<MaintenanceWindow> windowsWith(Predicate<MaintenanceWindow> condition) {
    return state.windows().values().stream().filter(condition).toList();
  }

  private void advance(MaintenanceWindow window) {
    switch (window.phase()) {
      case REQUESTED -> schedule(window);
      case SCHEDULED -> startDraining(window);
      case DRAINING -> open(window);
      case OPEN -> superviseOpen(window);
      case RETURNING -> close(window);
      case CLOSED, CANCELLED ->
          throw new IllegalStateException(
              "window " + window.id() + " is in final phase " + window.phase() + ", can't advance");
    }
  }

  private void schedule(MaintenanceWindow window) {
    if (isWithdrawn(window) || isTooLate(window)) {
      cancel(window);
    } else if (proposalBlocked) {
      keepNotices(Notice.NO_SLOT, window);
    } else {
      proposeSlot(window);
    }
  }

  private void proposeSlot(MaintenanceWindow window) {
    Collection<MaintenanceWindow> others =
        windowsWith(other -> other.phase() == Phase.SCHEDULED || other.phase().withholdsCaches());
    CoverageAssessor.Slot slot = assessor.findSlot(window, others, now);
    if (slot instanceof CoverageAssessor.Slot.Found found) {
      Duration end = found.start().plus(window.length());
      propose(window, window.withPhase(Phase.SCHEDULED, found.start(), end));
    } else if (slot instanceof CoverageAssessor.Slot.Unavailable unavailable) {
      notify(Notice.NO_SLOT, window, unavailable.shortage());
    }
  }

  /** Keeps the notices of a window that is not assessed now, so that they are not sent again. */
  private void keepNotices(Notice notice, MaintenanceWindow window) {
    state.notified().stream()
        .filter(key -> key.notice() == notice && key.window().equals(window.id()))
        .forEach(notified::add);
  }

  private void startDraining(MaintenanceWindow window) {
    if (isWithdrawn(window) || isTooLate(window)) {
      cancel(window);
      return;
    }
    if (isBefore(now, window.start())) {
      return;
    }
    NavigableSet<String> out = unavailable(true);
    out.addAll(window.caches());
    Optional<Shortage> shortage = assessor.shortage(out, true, now);
    if (shortage.isPresent()) {
      notify(Notice.START_DELAYED, window, shortage.get());
    } else {
      propose(window, window.withPhase(Phase.DRAINING, now, now.plus(window.length())));
    }
  }

  private void open(MaintenanceWindow window) {
    Optional<Shortage> shortage = assessor.shortage(unavailable(false), true, now);
    shortage.ifPresent(found -> notify(Notice.RECALLED, window, found));
    if (shortage.isPresent() || isWithdrawn(window) || !isBefore(now, window.end())) {
      notifyIfUncovered(window);
      proposeReturn(window);
    } else if (window.caches().stream().allMatch(cache -> isDrainedOrDown(window, cache))
        && assessor.shortage(unavailable(true), true, now).isEmpty()) {
      propose(window, window.withPhase(Phase.OPEN));
    }
  }

  private boolean isDrainedOrDown(MaintenanceWindow window, String cache) {
    return observationInPhase(window, cache)
        .filter(observation -> observation.drained() || !observation.up())
        .isPresent();
  }

  private void superviseOpen(MaintenanceWindow window) {
    Optional<Shortage> shortage = assessor.shortage(unavailable(false), true, now);
    if (shortage.isPresent()) {
      notifyIfUncovered(window);
      notify(Notice.RECALLED, window, shortage.get());
    }
    // Only operators can bring back a cache that is down, so its window keeps its end.
    boolean recallable =
        shortage.isPresent() && window.caches().stream().anyMatch(this::isObservedUp);
    if (recallable || isWithdrawn(window) || !isBefore(now, window.end())) {
      proposeReturn(window);
    }
  }

  private boolean isObservedUp(String cache) {
    return observation(cache).filter(CacheObservation::up).isPresent();
  }

  private void proposeReturn(MaintenanceWindow window) {
    Duration end = isBefore(window.end(), now) ? window.end() : now;
    propose(window, window.withPhase(Phase.RETURNING, window.start(), end));
  }

  private void close(MaintenanceWindow window) {
    notifyIfUncovered(window);
    if (window.caches().stream().allMatch(cache -> isBackAndWarm(window, cache))) {
      propose(window, window.withPhase(Phase.CLOSED));
    } else if (!isBefore(now, window.end().plus(settings.returnTimeout()))) {
      notify(Notice.RETURN_TIMED_OUT, window, null);
      propose(window, window.withPhase(Phase.CLOSED));
    } else if (!isBefore(now, window.end().plus(settings.warmUp()))) {
      notify(Notice.RETURN_LATE, window, null);
    }
  }

  private boolean isBackAndWarm(MaintenanceWindow window, String cache) {
    return observationInPhase(window, cache)
        .filter(observation -> observation.up() && observation.warm())
        .isPresent();
  }

  private void notifyIfUncovered(MaintenanceWindow window) {
    assessor
        .shortage(unavailable(false), false, now)
        .ifPresent(shortage -> notify(Notice.UNCOVERED, window, shortage));
  }

  private void cancel(MaintenanceWindow window) {
    if (!isWithdrawn(window)) {
      notify(Notice.CANCELLED, window, null);
    }
    propose(window, window.withPhase(Phase.CANCELLED));
  }

  private void removeWhenExpired(MaintenanceWindow window) {
    if (!isBefore(now, window.latest().plus(settings.retention()))) {
      propose(window, null);
    }
  }

  private void addRequested() {
    for (MaintenanceWindow requested : state.requests().windows().values()) {
      if (state.windows().containsKey(requested.id()) || isTooLate(requested)) {
        continue;
      }
      if (state.windows().size() >= WindowCoordinator.MAX_WINDOWS) {
        notify(Notice.TOO_MANY_WINDOWS, requested, null);
      } else {
        propose(requested, requested);
      }
    }
  }

  private boolean isWithdrawn(MaintenanceWindow window) {
    return state.requests().revision() > window.revision()
        && !state.requests().windows().containsKey(window.id());
  }

  private boolean isTooLate(MaintenanceWindow window) {
    return isBefore(window.latest(), now.plus(window.length()));
  }

  private static boolean isBefore(Duration first, Duration second) {
    return first.compareTo(second) < 0;
  }

  /**
   * Returns the caches that don't count towards coverage and capacity: caches of windows that are
   * draining, open or returning, and caches that were observed to be down or cold.
   *
   * @param withUnobserved whether to include caches without a recent observation. They are included
   *     before a window starts or opens, but don't cause the recall of a window: a leader that has
   *     just started would otherwise recall all windows
   */
  private NavigableSet<String> unavailable(boolean withUnobserved) {
    NavigableSet<String> out = new TreeSet<>();
    windowsWith(window -> window.phase().withholdsCaches())
        .forEach(window -> out.addAll(window.caches()));
    assessor.caches().stream()
        .filter(cache -> !isInService(cache, !withUnobserved))
        .forEach(out::add);
    return out;
  }

  private boolean isInService(String cache, boolean defaultIfUnobserved) {
    return observation(cache)
        .map(observation -> observation.up() && observation.warm())
        .orElse(defaultIfUnobserved);
  }

  /** Returns the latest observation of a cache, or empty if there is none or it is too old. */
  private Optional<CacheObservation> observation(String cache) {
    return Optional.ofNullable(state.observations().get(cache))
        .filter(
            observation ->
                !isBefore(observation.observedAt().plus(settings.maxObservationAge()), now));
  }

  /** Returns the latest observation if it was made since this member first saw the phase. */
  private Optional<CacheObservation> observationInPhase(MaintenanceWindow window, String cache) {
    Duration since = state.phaseEntries().get(window.id()).since();
    return observation(cache).filter(observation -> !isBefore(observation.observedAt(), since));
  }

  /** Proposes a new value for a window; null to remove the window. Skipped if it is unchanged. */
  private void propose(MaintenanceWindow window, MaintenanceWindow value) {
    boolean unchanged = Objects.equals(state.windows().get(window.id()), value);
    if (!proposalBlocked && !unchanged) {
      proposalBlocked = true;
      actions.add(new WindowAction.Propose(window.key(), state.viewNumber(), value));
    }
  }

  /** Notifies operators once while the cause exists. Followers send {@code UNCOVERED} only. */
  private void notify(Notice notice, MaintenanceWindow window, Shortage shortage) {
    if (!state.leader() && notice != Notice.UNCOVERED) {
      return;
    }
    NoticeKey key = NoticeKey.of(notice, window.id(), shortage);
    if (notified.add(key) && !state.notified().contains(key)) {
      actions.add(new WindowAction.Notify(notice, window.id(), shortage));
    }
  }
}
