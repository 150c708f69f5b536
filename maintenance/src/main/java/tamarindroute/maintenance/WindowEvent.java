package tamarindroute.maintenance;

import java.time.Duration;
import java.util.Map;
import java.util.SortedMap;

/** An event that the caller reports to {@link WindowCoordinator}. */
public sealed interface WindowEvent {

  /**
   * The agreed view was received or its lease was renewed.
   *
   * @param viewNumber the number of the view, which increases with each change of the view
   * @param windows all windows of the view, by id
   * @param leaseEnd the time on this member's monotonic clock until which the view may be used
   */
  record ViewUpdated(
      long viewNumber, SortedMap<String, MaintenanceWindow> windows, Duration leaseEnd)
      implements WindowEvent {}

  /**
   * A proposal was rejected because the view has another number than the proposal expected. The
   * newer view is reported separately.
   *
   * @param viewNumber the current number of the view
   */
  record ProposalRejected(long viewNumber) implements WindowEvent {}

  /** This member has lost contact with the agreed view. */
  record ContactLost() implements WindowEvent {}

  /**
   * This member gained or lost the leadership.
   *
   * @param leader whether this member is the leader now
   */
  record LeadershipChanged(boolean leader) implements WindowEvent {}

  /**
   * The settings were read.
   *
   * @param requests all windows that the settings request
   */
  record RequestsChanged(RequestedWindows requests) implements WindowEvent {}

  /**
   * Some caches were observed. Observations that arrive together are reported in one event, so that
   * windows are assessed once for all of them.
   *
   * @param observations the observations, by name of the cache
   */
  record CachesObserved(Map<String, CacheObservation> observations) implements WindowEvent {}

  /** Time has passed without another event. */
  record Tick() implements WindowEvent {}
}
