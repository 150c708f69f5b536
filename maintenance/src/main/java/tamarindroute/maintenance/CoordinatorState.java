package tamarindroute.maintenance;

import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The state of the window coordinator on one member. Times are agreed time.
 *
 * @param viewNumber number of the latest agreed view; -1 before the first
 * @param windows the windows of that view, by id
 * @param leaseEnd the time until which the view may be used
 * @param leader whether this member believes that it is the leader
 * @param proposedAt when the unanswered proposal was made; null if there is none
 * @param phaseEntries when this member first saw each window in its phase, by window id
 * @param observations the newest observation of each cache, by cache name
 * @param requests the windows that the settings request
 * @param draining names of the caches to which this member sends no new requests
 * @param notified the notices whose causes still exist
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
   * The time at which this member first saw a window in its phase. Observations of its caches from
   * before that time are not used to decide whether the phase is complete.
   *
   * @param phase the phase of the window
   * @param since agreed time
   */
  public record PhaseEntry(MaintenanceWindow.Phase phase, Duration since) {}

  /**
   * Identifies a notice, so that it is not repeated while only the amounts of its shortage change.
   *
   * @param notice the kind of event
   * @param window the id of the window
   * @param range the index of the key range of the shortage, or {@link Shortage#NO_RANGE}
   * @param cache the name of the cache of the shortage; empty without a shortage
   */
  public record NoticeKey(Notice notice, String window, int range, String cache) {
    static NoticeKey of(Notice notice, String window, Shortage shortage) {
      return shortage == null
          ? new NoticeKey(notice, window, Shortage.NO_RANGE, "")
          : new NoticeKey(notice, window, shortage.range(), shortage.cache());
    }
  }

  /** Returns the state of a member that has just started. */
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

  /**
   * Returns the state with a new agreed view. If the view has a greater number, the unanswered
   * proposal is no longer awaited.
   */
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

  CoordinatorState withLeaseEnd(Duration newLeaseEnd) {
    return with(newLeaseEnd, leader, proposedAt, observations, requests, notified);
  }

  CoordinatorState withLeader(boolean newLeader) {
    return with(leaseEnd, newLeader, proposedAt, observations, requests, notified);
  }

  CoordinatorState withProposedAt(Duration newProposedAt) {
    return with(leaseEnd, leader, newProposedAt, observations, requests, notified);
  }

  CoordinatorState withObservations(SortedMap<String, CacheObservation> newObservations) {
    return with(leaseEnd, leader, proposedAt, newObservations, requests, notified);
  }

  CoordinatorState withRequests(RequestedWindows newRequests) {
    return with(leaseEnd, leader, proposedAt, observations, newRequests, notified);
  }

  CoordinatorState withNotified(Set<NoticeKey> newNotified) {
    return with(leaseEnd, leader, proposedAt, observations, requests, newNotified);
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
