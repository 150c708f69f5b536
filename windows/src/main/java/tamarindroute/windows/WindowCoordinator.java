package tamarindroute.windows;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import tamarindroute.windows.Plan.Shortage;

/**
 * What a gateway knows of all windows and does about them: (state, event, now) to (state, actions).
 * A step is a put that the agreed view takes only while it still has the number that the step was
 * judged on; so of two gateways that judge at once one is refused and judges anew. Nothing but the
 * view is needed to go on: a killed leader leaves no half window.
 */
public final class WindowCoordinator {
  private WindowCoordinator() {}

  /** What plans and judges; pure. */
  public interface CoverageAssessor {
    /** When the window may start beside the others, or what lacks. */
    Slot findSlot(MaintenanceWindow asked, Collection<MaintenanceWindow> others, Duration now);

    /**
     * What lacks now while these caches are out, with one further failure borne or without; null if
     * nothing.
     */
    Shortage shortage(SortedSet<String> out, boolean reserve, Duration now);

    /** All caches that may be cover: those nothing is heard of count as out. */
    Set<String> caches();
  }

  public record Slot(Duration start, Shortage shortage) {}

  /**
   * @param warmUp how long a returned cache may be cold before it is called late
   * @param returnTimeout from a window's end, when a cache that is not back is given up: the window
   *     closes, and the cache counts as failed. Longer than {@code maxObservationAge}, so that
   *     nobody holds an older good word of it
   * @param maxObservationAge older words of a cache count as none
   * @param proposalTimeout after which an unanswered put is judged and sent anew; its number makes
   *     a double harmless
   * @param retention how long an ended window is kept after its latest time, so that slow settings
   *     don't ask it again
   */
  public record Settings(
      Duration warmUp,
      Duration returnTimeout,
      Duration maxObservationAge,
      Duration proposalTimeout,
      Duration retention) {
    public Settings {
      if (returnTimeout.compareTo(maxObservationAge) <= 0) {
        throw new IllegalArgumentException(
            "giving up after " + returnTimeout + " is not after " + maxObservationAge);
      }
    }
  }

  /**
   * A word of a cache: its birth orders words of one process and its successors; {@code observedAt}
   * is when it was true.
   */
  public record CacheObservation(
      long incarnation, boolean up, boolean warm, boolean drained, Duration observedAt) {}

  /**
   * The wishes of the settings, whole: a window that a later revision no longer has is withdrawn.
   */
  public record RequestedWindows(int revision, Map<String, MaintenanceWindow> windows) {}

  /**
   * The phase of an entry, and when this gateway first saw it in it: earlier words tell nothing of
   * it.
   */
  public record PhaseEntry(MaintenanceWindow.Phase phase, Duration since) {}

  /** {@code proposedAt} is when a put went out that is not yet answered, or null. */
  public record State(
      long viewNumber,
      SortedMap<String, MaintenanceWindow> windows,
      Duration leaseEnd,
      boolean leader,
      Duration proposedAt,
      SortedMap<String, PhaseEntry> phaseEntries,
      SortedMap<String, CacheObservation> observations,
      RequestedWindows requests,
      SortedSet<String> draining,
      SortedSet<String> notified) {}

  public sealed interface Event {}

  /** The agreed view, whole, held until a time on this gateway's monotonic clock. */
  public record ViewUpdated(
      long viewNumber, SortedMap<String, MaintenanceWindow> windows, Duration leaseEnd)
      implements Event {}

  /** A put was refused: the view has this number now, and comes on its own. */
  public record ProposalRejected(long viewNumber) implements Event {}

  public record ContactLost() implements Event {}

  public record LeadershipChanged(boolean leader) implements Event {}

  public record RequestsChanged(RequestedWindows requests) implements Event {}

  /** Words of some caches, as many as came together: each event is judged once. */
  public record CachesObserved(Map<String, CacheObservation> observations) implements Event {}

  public record Tick() implements Event {}

  public sealed interface Action {}

  /** Put if the view still has this number; no value takes the key away. */
  public record Propose(String key, long expectedViewNumber, MaintenanceWindow value)
      implements Action {}

  public record Drain(String cache) implements Action {}

  public record Release(String cache) implements Action {}

  /** Told to operators once, until it has changed. */
  public record Notify(Notice notice, String window, Shortage shortage) implements Action {}

  public enum Notice {
    NO_SLOT,
    START_DELAYED,
    RECALLED,
    UNCOVERED,
    RETURN_LATE,
    RETURN_TIMED_OUT,
    CANCELLED,
    TOO_MANY_WINDOWS
  }

  public record Transition(State state, List<Action> actions) {}

  /**
   * Windows agreed at once, ended ones kept for a while included: a location's night has some tens
   * of batches.
   */
  public static final int MAX_WINDOWS = 256;

  /** As many caches as the planner takes. */
  public static final int MAX_OBSERVATIONS = PlanningInput.MAX_CACHES;

  public static State initial() {
    return new State(
        -1,
        new TreeMap<>(),
        Duration.ZERO,
        false,
        null,
        new TreeMap<>(),
        new TreeMap<>(),
        new RequestedWindows(0, Map.of()),
        new TreeSet<>(),
        new TreeSet<>());
  }

  public static Transition next(
      State state, Event event, Duration now, Settings settings, CoverageAssessor assessor) {
    List<Action> actions = new ArrayList<>();
    State told = apply(state, event, now, actions);
    return new WindowTransitions(told, now, settings, assessor, actions).run();
  }

  private static State apply(State s, Event event, Duration now, List<Action> actions) {
    if (event instanceof ViewUpdated agreed) {
      return withView(s, agreed, now, actions);
    } else if (event instanceof ProposalRejected refused) {
      // What was judged on an old view is judged anew on the next.
      return with(
          s,
          s.leaseEnd,
          s.leader,
          refused.viewNumber > s.viewNumber ? now : null,
          s.observations,
          s.requests);
    } else if (event instanceof ContactLost) {
      return with(s, now, s.leader, null, s.observations, s.requests);
    } else if (event instanceof LeadershipChanged leads) {
      return with(s, s.leaseEnd, leads.leader, s.proposedAt, s.observations, s.requests);
    } else if (event instanceof RequestsChanged wished) {
      return wished.requests.revision < s.requests.revision
          ? s
          : with(s, s.leaseEnd, s.leader, s.proposedAt, s.observations, wished.requests);
    } else if (event instanceof CachesObserved heard) {
      return withObservations(s, heard);
    }
    return s;
  }

  private static State withObservations(State s, CachesObserved heard) {
    SortedMap<String, CacheObservation> words = new TreeMap<>(s.observations);
    heard.observations.forEach(
        (cache, observation) -> {
          CacheObservation old = words.get(cache);
          boolean older =
              old != null
                  && (observation.incarnation < old.incarnation
                      || observation.incarnation == old.incarnation
                          && observation.observedAt.compareTo(old.observedAt) < 0);
          if (!older && (old != null || words.size() < MAX_OBSERVATIONS)) {
            words.put(cache, observation);
          }
        });
    return with(s, s.leaseEnd, s.leader, s.proposedAt, words, s.requests);
  }

  private static State withView(State s, ViewUpdated agreed, Duration now, List<Action> actions) {
    if (agreed.viewNumber < s.viewNumber || agreed.windows.size() > MAX_WINDOWS) {
      return s;
    }
    SortedMap<String, PhaseEntry> seen = new TreeMap<>();
    SortedSet<String> drains = new TreeSet<>();
    agreed.windows.forEach(
        (id, window) -> {
          PhaseEntry before = s.phaseEntries.get(id);
          seen.put(
              id,
              before != null && before.phase == window.phase()
                  ? before
                  : new PhaseEntry(window.phase(), now));
          if (window.phase() == MaintenanceWindow.Phase.DRAINING
              || window.phase() == MaintenanceWindow.Phase.OPEN) {
            drains.addAll(window.caches());
          }
        });
    drains.stream().filter(c -> !s.draining.contains(c)).forEach(c -> actions.add(new Drain(c)));
    s.draining.stream().filter(c -> !drains.contains(c)).forEach(c -> actions.add(new Release(c)));
    return new State(
        agreed.viewNumber,
        new TreeMap<>(agreed.windows),
        agreed.leaseEnd,
        s.leader,
        agreed.viewNumber > s.viewNumber ? null : s.proposedAt,
        seen,
        s.observations,
        s.requests,
        drains,
        s.notified);
  }

  private static State with(
      State s,
      Duration until,
      boolean leads,
      Duration sent,
      SortedMap<String, CacheObservation> words,
      RequestedWindows wishes) {
    return new State(
        s.viewNumber,
        s.windows,
        until,
        leads,
        sent,
        s.phaseEntries,
        words,
        wishes,
        s.draining,
        s.notified);
  }
}
