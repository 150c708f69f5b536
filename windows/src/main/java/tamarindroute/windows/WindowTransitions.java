package tamarindroute.windows;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.SortedSet;
import java.util.TreeSet;
import tamarindroute.windows.MaintenanceWindow.Phase;
import tamarindroute.windows.Plan.Shortage;
import tamarindroute.windows.WindowCoordinator.Action;
import tamarindroute.windows.WindowCoordinator.Notice;

/**
 * The next step of each window, judged on one state. At most one is put at a time, and only by a
 * leader in touch.
 */
final class WindowTransitions {
  private final WindowCoordinator.State state;
  private final Duration now;
  private final WindowCoordinator.Settings settings;
  private final WindowCoordinator.CoverageAssessor assessor;
  private final List<Action> actions;
  private final SortedSet<String> notified = new TreeSet<>();
  private boolean propose;

  WindowTransitions(
      WindowCoordinator.State state,
      Duration now,
      WindowCoordinator.Settings settings,
      WindowCoordinator.CoverageAssessor assessor,
      List<Action> actions) {
    this.state = state;
    this.now = now;
    this.settings = settings;
    this.assessor = assessor;
    this.actions = actions;
  }

  WindowCoordinator.Transition run() {
    boolean touch = now.compareTo(state.leaseEnd()) < 0;
    boolean waits =
        state.proposedAt() != null
            && now.compareTo(state.proposedAt().plus(settings.proposalTimeout())) < 0;
    propose = waits || !touch || !state.leader();
    // Those under way first: what must come back must not wait behind what wants to go.
    for (Phase phase :
        List.of(Phase.RETURNING, Phase.OPEN, Phase.DRAINING, Phase.SCHEDULED, Phase.REQUESTED)) {
      state.windows().values().stream().filter(e -> e.phase() == phase).forEach(this::advance);
    }
    state.windows().values().stream().filter(e -> e.phase().ended()).forEach(this::forget);
    addRequested();
    Duration sent =
        actions.stream().anyMatch(a -> a instanceof WindowCoordinator.Propose)
            ? now
            : waits ? state.proposedAt() : null;
    return new WindowCoordinator.Transition(
        new WindowCoordinator.State(
            state.viewNumber(),
            state.windows(),
            state.leaseEnd(),
            state.leader(),
            sent,
            state.phaseEntries(),
            state.observations(),
            state.requests(),
            state.draining(),
            notified),
        actions);
  }

  private void advance(MaintenanceWindow window) {
    switch (window.phase()) {
      case REQUESTED -> schedule(window);
      case SCHEDULED -> startDraining(window);
      case DRAINING -> open(window);
      case OPEN -> supervise(window);
      case RETURNING -> close(window);
      default -> throw new IllegalStateException(window.toString());
    }
  }

  private void schedule(MaintenanceWindow window) {
    if (withdrawn(window) || tooLate(window)) {
      cancel(window);
      return;
    }
    if (propose) {
      // Not judged this time: what was told of it stands.
      state.notified().stream()
          .filter(t -> t.startsWith(Notice.NO_SLOT + " " + window.id()))
          .forEach(notified::add);
      return;
    }
    WindowCoordinator.Slot slot =
        assessor.findSlot(
            window,
            state.windows().values().stream()
                .filter(e -> e.phase() == Phase.SCHEDULED || e.phase().withholdsCaches())
                .toList(),
            now);
    if (slot.start() == null) {
      notify(Notice.NO_SLOT, window, slot.shortage());
    } else {
      propose(
          window,
          window.scheduled(Phase.SCHEDULED, slot.start(), slot.start().plus(window.length())));
    }
  }

  private void startDraining(MaintenanceWindow window) {
    if (withdrawn(window) || tooLate(window)) {
      cancel(window);
    } else if (now.compareTo(window.start()) >= 0) {
      Shortage shortage = assessor.shortage(unavailable(window, true), true, now);
      if (shortage != null) {
        notify(Notice.START_DELAYED, window, shortage);
      } else {
        propose(window, window.scheduled(Phase.DRAINING, now, now.plus(window.length())));
      }
    }
  }

  private void open(MaintenanceWindow window) {
    Shortage shortage = assessor.shortage(unavailable(null, false), true, now);
    if (shortage != null) {
      notify(Notice.RECALLED, window, shortage);
    }
    if (shortage != null || withdrawn(window) || now.compareTo(window.end()) >= 0) {
      reportUncovered(window);
      propose(window, window.scheduled(Phase.RETURNING, window.start(), earlier(window.end())));
    } else if (window.caches().stream()
            .allMatch(
                c ->
                    observationInPhase(window, c) != null
                        && (observationInPhase(window, c).drained()
                            || !observationInPhase(window, c).up()))
        && assessor.shortage(unavailable(null, true), true, now) == null) {
      propose(window, window.withPhase(Phase.OPEN));
    }
  }

  private void supervise(MaintenanceWindow window) {
    Shortage shortage = assessor.shortage(unavailable(null, false), true, now);
    if (shortage != null) {
      reportUncovered(window);
      notify(Notice.RECALLED, window, shortage);
    }
    // One whose cache is down can't be called back by us: operators are told, its end stands.
    boolean back =
        shortage != null
            && window.caches().stream()
                .anyMatch(c -> observation(c) != null && observation(c).up());
    if (back || withdrawn(window) || now.compareTo(window.end()) >= 0) {
      propose(window, window.scheduled(Phase.RETURNING, window.start(), earlier(window.end())));
    }
  }

  private void close(MaintenanceWindow window) {
    reportUncovered(window);
    if (window.caches().stream()
        .allMatch(
            c ->
                observationInPhase(window, c) != null
                    && observationInPhase(window, c).up()
                    && observationInPhase(window, c).warm())) {
      propose(window, window.withPhase(Phase.CLOSED));
    } else if (now.compareTo(window.end().plus(settings.returnTimeout())) >= 0) {
      notify(Notice.RETURN_TIMED_OUT, window, null);
      propose(window, window.withPhase(Phase.CLOSED));
    } else if (now.compareTo(window.end().plus(settings.warmUp())) >= 0) {
      notify(Notice.RETURN_LATE, window, null);
    }
  }

  private void reportUncovered(MaintenanceWindow window) {
    Shortage shortage = assessor.shortage(unavailable(null, false), false, now);
    if (shortage != null) {
      notify(Notice.UNCOVERED, window, shortage);
    }
  }

  private void cancel(MaintenanceWindow window) {
    if (!withdrawn(window)) {
      notify(Notice.CANCELLED, window, null);
    }
    propose(window, window.withPhase(Phase.CANCELLED));
  }

  private void forget(MaintenanceWindow window) {
    if (now.compareTo(window.latest().plus(settings.retention())) >= 0) {
      propose(window, null);
    }
  }

  private void addRequested() {
    for (MaintenanceWindow wish : state.requests().windows().values()) {
      if (!state.windows().containsKey(wish.id()) && !tooLate(wish)) {
        if (state.windows().size() >= WindowCoordinator.MAX_WINDOWS) {
          notify(Notice.TOO_MANY_WINDOWS, wish, null);
        } else {
          propose(wish, wish);
        }
      }
    }
  }

  private boolean withdrawn(MaintenanceWindow window) {
    return state.requests().revision() > window.revision()
        && !state.requests().windows().containsKey(window.id());
  }

  private boolean tooLate(MaintenanceWindow window) {
    return now.plus(window.length()).compareTo(window.latest()) > 0;
  }

  private Duration earlier(Duration end) {
    return end.compareTo(now) < 0 ? end : now;
  }

  /**
   * What must not be counted on: caches of windows under way, of the one that wants to go, down or
   * cold. Before a step those not heard of too; they call nothing back, or a leader that has just
   * started would.
   */
  private SortedSet<String> unavailable(MaintenanceWindow more, boolean unheard) {
    SortedSet<String> out = new TreeSet<>();
    state.windows().values().stream()
        .filter(e -> e.phase().withholdsCaches())
        .forEach(e -> out.addAll(e.caches()));
    if (more != null) {
      out.addAll(more.caches());
    }
    assessor.caches().stream()
        .filter(
            c -> observation(c) == null ? unheard : !observation(c).up() || !observation(c).warm())
        .forEach(out::add);
    return out;
  }

  private WindowCoordinator.CacheObservation observation(String cache) {
    WindowCoordinator.CacheObservation observation = state.observations().get(cache);
    return observation == null
            || observation.observedAt().plus(settings.maxObservationAge()).compareTo(now) < 0
        ? null
        : observation;
  }

  /** A word of the cache that is from after this gateway saw the window in its phase. */
  private WindowCoordinator.CacheObservation observationInPhase(
      MaintenanceWindow window, String cache) {
    WindowCoordinator.CacheObservation observation = observation(cache);
    return observation == null
            || observation.observedAt().compareTo(state.phaseEntries().get(window.id()).since()) < 0
        ? null
        : observation;
  }

  private void propose(MaintenanceWindow window, MaintenanceWindow value) {
    if (!propose && !Objects.equals(state.windows().get(window.id()), value)) {
      propose = true;
      actions.add(new WindowCoordinator.Propose(window.key(), state.viewNumber(), value));
    }
  }

  private void notify(Notice matter, MaintenanceWindow window, Shortage shortage) {
    // A leader tells, once as long as it stays so; one out of touch tells too what it sees
    // uncovered.
    if (state.leader() || matter == Notice.UNCOVERED) {
      String what =
          matter
              + " "
              + window.id()
              + (shortage == null ? "" : " " + shortage.range() + " " + shortage.cache());
      if (notified.add(what) && !state.notified().contains(what)) {
        actions.add(new WindowCoordinator.Notify(matter, window.id(), shortage));
      }
    }
  }
}
