package tamarindroute.maintenance;

import java.time.Duration;
import java.util.Map;
import java.util.SortedMap;

/** What the caller reports to the window coordinator. */
public sealed interface WindowEvent {

  /**
   * The agreed view.
   *
   * @param viewNumber increases with each change of the view
   * @param windows all windows of the view, by id
   * @param leaseEnd the time on this member's monotonic clock until which the view may be used
   */
  record ViewUpdated(
      long viewNumber, SortedMap<String, MaintenanceWindow> windows, Duration leaseEnd)
      implements WindowEvent {}

  /** A proposal was rejected because the view has this number; the view follows by itself. */
  record ProposalRejected(long viewNumber) implements WindowEvent {}

  /** The agreed view can't be reached. */
  record ContactLost() implements WindowEvent {}

  /** This member became the leader, or no longer is. */
  record LeadershipChanged(boolean leader) implements WindowEvent {}

  /** The settings were read. */
  record RequestsChanged(RequestedWindows requests) implements WindowEvent {}

  /** Some caches were observed; those that came together are assessed once. */
  record CachesObserved(Map<String, CacheObservation> observations) implements WindowEvent {}

  /** Time has passed. */
  record Tick() implements WindowEvent {}
}
