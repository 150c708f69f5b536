package tamarindroute.maintenance;

import java.time.Duration;

/**
 * The observed state of a cache.
 *
 * @param incarnation identifies the process of the cache; each restart has a greater number
 * @param up whether the cache answers
 * @param warm whether the slow start of the cache is over
 * @param drained whether all members have stopped sending requests to the cache
 * @param observedAt the agreed time of the observation
 */
public record CacheObservation(
    long incarnation, boolean up, boolean warm, boolean drained, Duration observedAt) {

  /**
   * Whether this observation is of an earlier incarnation than another one, or of an earlier time
   * in the same incarnation.
   */
  boolean isOlderThan(CacheObservation other) {
    return incarnation < other.incarnation
        || (incarnation == other.incarnation && observedAt.compareTo(other.observedAt) < 0);
  }
}
