package tamarindroute.maintenance;

import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * What a member knows of all windows.
 *
 * @param viewNumber number of the agreed view; -1 before the first
 * @param windows the windows of the view, by id
 * @param leaseEnd time until which the view may be used
 * @param leader whether this member believes that it leads
 * @param proposedAt when the unanswered proposal was made; null if there is none
 * @param phaseEntries by id of the window
 * @param observations the newest of each cache, by name
 * @param requests the windows that the settings request
 * @param draining names of the caches that this member sends no requests
 * @param notified what operators were notified of and still holds
 */
public record CoordinatorState(
    long viewNumber,
    SortedMap<String, MaintenanceWindow> windows,
    Duration leaseEnd,
    boolean leader,
    Duration proposedAt,
    SortedMap<String, PhaseEntry> phaseEntries,
    SortedMap<String, CacheObservation> observations,
    RequestedWindows requests,
    SortedSet<String> draining,
    Set<NoticeKey> notified) {

  /**
   * When this member first saw a window in its phase: earlier observations say nothing of it.
   *
   * @param phase the window's phase
   * @param since agreed time
   */
  public record PhaseEntry(MaintenanceWindow.Phase phase, Duration since) {}

  /**
   * What makes two notices the same: numbers in the shortage may vary.
   *
   * @param notice what has happened
   * @param window id of the window
   * @param range the key range of the shortage, or {@link Shortage#NO_RANGE}
   * @param cache the cache of the shortage; empty for none
   */
  public record NoticeKey(Notice notice, String window, int range, String cache) {
    static NoticeKey of(Notice notice, String window, Shortage shortage) {
      return shortage == null
          ? new NoticeKey(notice, window, Shortage.NO_RANGE, "")
          : new NoticeKey(notice, window, shortage.range(), shortage.cache());
    }
  }

  /** The state of a member that has just started. */
  static CoordinatorState initial() {
    return new CoordinatorState(
        -1,
        new TreeMap<>(),
        Duration.ZERO,
        false,
        null,
        new TreeMap<>(),
        new TreeMap<>(),
        new RequestedWindows(0, Map.of()),
        new TreeSet<>(),
        Set.of());
  }

  /** With an agreed view; an unanswered proposal is dropped if the view is a later one. */
  CoordinatorState withView(
      WindowEvent.ViewUpdated view,
      SortedMap<String, PhaseEntry> newPhaseEntries,
      SortedSet<String> newDraining) {
    return new CoordinatorState(
        view.viewNumber(),
        new TreeMap<>(view.windows()),
        view.leaseEnd(),
        leader,
        view.viewNumber() > viewNumber ? null : proposedAt,
        newPhaseEntries,
        observations,
        requests,
        newDraining,
        notified);
  }

  CoordinatorState withLeaseEnd(Duration end) {
    return with(end, leader, proposedAt, observations, requests, notified);
  }

  CoordinatorState withLeader(boolean leads) {
    return with(leaseEnd, leads, proposedAt, observations, requests, notified);
  }

  CoordinatorState withProposedAt(Duration at) {
    return with(leaseEnd, leader, at, observations, requests, notified);
  }

  CoordinatorState withObservations(SortedMap<String, CacheObservation> observed) {
    return with(leaseEnd, leader, proposedAt, observed, requests, notified);
  }

  CoordinatorState withRequests(RequestedWindows requested) {
    return with(leaseEnd, leader, proposedAt, observations, requested, notified);
  }

  CoordinatorState withNotified(Set<NoticeKey> notices) {
    return with(leaseEnd, leader, proposedAt, observations, requests, notices);
  }

  private CoordinatorState with(
      Duration newLeaseEnd,
      boolean newLeader,
      Duration newProposedAt,
      SortedMap<String, CacheObservation> newObservations,
      RequestedWindows newRequests,
      Set<NoticeKey> newNotified) {
    return new CoordinatorState(
        viewNumber,
        windows,
        newLeaseEnd,
        newLeader,
        newProposedAt,
        phaseEntries,
        newObservations,
        newRequests,
        draining,
        newNotified);
  }
}
