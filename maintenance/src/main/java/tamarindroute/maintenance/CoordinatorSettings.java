package tamarindroute.maintenance;

import java.time.Duration;

/**
 * Times of the window coordinator.
 *
 * @param warmUp how long a returned cache may be cold before it is reported as late
 * @param returnTimeout time after a window's end at which a cache that is not back is given up: the
 *     window closes and the cache counts as failed. Longer than {@code maxObservationAge}, so that
 *     no member holds an earlier favourable observation of it
 * @param maxObservationAge older observations of a cache are ignored
 * @param proposalTimeout time after which an unanswered proposal is made again; its view number
 *     makes a duplicate harmless
 * @param retention how long an ended window stays in the view after its latest time, so that
 *     outdated settings don't request it again
 */
public record CoordinatorSettings(
    Duration warmUp,
    Duration returnTimeout,
    Duration maxObservationAge,
    Duration proposalTimeout,
    Duration retention) {

  /** Refuses a return timeout that is not longer than the maximum age of observations. */
  public CoordinatorSettings {
    if (returnTimeout.compareTo(maxObservationAge) <= 0) {
      throw new IllegalArgumentException(
          "return timeout is "
              + returnTimeout
              + ", must be longer than the maximum age of observations, "
              + maxObservationAge);
    }
  }
}
