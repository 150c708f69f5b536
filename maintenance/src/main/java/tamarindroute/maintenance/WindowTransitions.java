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
 * Decides the next step of each window on one state. At most one step is proposed at a time, and
 * only by a leader whose view is valid.
 */
final class WindowTransitions {
  /** Windows that are under way come first: a return must not wait behind a start. */
  private static final List<Phase> DECISION_ORDER =
      List.of(Phase.RETURNING, Phase.OPEN, Phase.DRAINING, Phase.SCHEDULED, Phase.REQUESTED);

  private final CoordinatorState state;
  private final Duration now;
  private final CoordinatorSettings settings;
  private final CoverageAssessor assessor;
  private final List<WindowAction> actions;
  private final Set<NoticeKey> notified = new HashSet<>();
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
    boolean awaitsAnswer =
        state.proposedAt() != null
            && isBefore(now, state.proposedAt().plus(settings.proposalTimeout()));
    boolean viewValid = isBefore(now, state.leaseEnd());
    proposalBlocked = awaitsAnswer || !viewValid || !state.leader();
    for (Phase phase : DECISION_ORDER) {
      windowsWith(window -> window.phase() == phase).forEach(this::advance);
    }
    windowsWith(window -> window.phase().ended()).forEach(this::removeWhenExpired);
    addRequested();
    CoordinatorState next = state.withProposedAt(proposedAt(awaitsAnswer)).withNotified(notified);
    return new WindowCoordinator.Transition(next, actions);
  }

  private Duration proposedAt(boolean awaitsAnswer) {
    if (actions.stream().anyMatch(WindowAction.Propose.class::isInstance)) {
      return now;
    }
    return awaitsAnswer ? state.proposedAt() : null;
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
      case CLOSED, CANCELLED -> throw new IllegalStateException("window has ended: " + window);
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

  /** A window that is not assessed this time keeps the notices it had. */
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
    // A cache that is down can only be called back by operators: its window's end stands.
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

  private static boolean isBefore(Duration one, Duration other) {
    return one.compareTo(other) < 0;
  }

  /**
   * The caches that can't be counted on: those of windows under way, and those that are down or
   * cold.
   *
   * @param withUnobserved whether caches without a recent observation are included: before a step.
   *     They recall nothing, else a leader that has just started would recall every window
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

  private boolean isInService(String cache, boolean whenUnobserved) {
    return observation(cache)
        .map(observation -> observation.up() && observation.warm())
        .orElse(whenUnobserved);
  }

  /** The observation of a cache, unless it is too old. */
  private Optional<CacheObservation> observation(String cache) {
    return Optional.ofNullable(state.observations().get(cache))
        .filter(
            observation ->
                !isBefore(observation.observedAt().plus(settings.maxObservationAge()), now));
  }

  /** The observation of a cache, if it was made since this member saw the window in its phase. */
  private Optional<CacheObservation> observationInPhase(MaintenanceWindow window, String cache) {
    Duration since = state.phaseEntries().get(window.id()).since();
    return observation(cache).filter(observation -> !isBefore(observation.observedAt(), since));
  }

  private void propose(MaintenanceWindow window, MaintenanceWindow value) {
    boolean unchanged = Objects.equals(state.windows().get(window.id()), value);
    if (!proposalBlocked && !unchanged) {
      proposalBlocked = true;
      actions.add(new WindowAction.Propose(window.key(), state.viewNumber(), value));
    }
  }

  /** Notifies once while the reason lasts; only of uncovered ranges if this member doesn't lead. */
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
