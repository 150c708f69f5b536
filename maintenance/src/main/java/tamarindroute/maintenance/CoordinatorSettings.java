package tamarindroute.maintenance;

import java.time.Duration;

/**
 * Durations that control maintenance windows.
 *
 * @param warmUp how long after the end of its window a cache may be cold before it is reported as
 *     late
 * @param returnTimeout how long after the end of its window a cache may be missing. Then the window
 *     is closed and the cache counts as failed. Longer than {@code maxObservationAge}, so that no
 *     member still has an earlier observation of the cache as up and warm
 * @param maxObservationAge the age beyond which observations of a cache are ignored
 * @param proposalTimeout the time after which an unanswered proposal is made again; the view number
 *     in the proposal makes a duplicate harmless
 * @param retention how long an ended window stays in the view after its latest time, so that a
 *     member with outdated settings does not request it again
 */
public record CoordinatorSettings(
    Duration warmUp,
    Duration returnTimeout,
    Duration maxObservationAge,
    Duration proposalTimeout,
    Duration retention) {

  /**
   * Validates the settings.
   *
   * @throws IllegalArgumentException if the return timeout is not longer than the maximum age of
   *     observations
   */
  public CoordinatorSettings {
    if (returnTimeout.compareTo(maxObservationAge) <= 0) {
      throw new IllegalArgumentException(
          "return timeout is "
              + returnTimeout
              + ", must be longer than the maximum observation age of "
              + maxObservationAge);
    }
  }
}
