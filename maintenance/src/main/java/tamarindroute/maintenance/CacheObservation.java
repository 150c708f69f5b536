package tamarindroute.maintenance;

import java.time.Duration;

/**
 * What was observed of a cache.
 *
 * @param incarnation identifies the cache's process; greater for each later one
 * @param up whether it answers
 * @param warm whether its slow start is over
 * @param drained whether no member sends it requests
 * @param observedAt the agreed time of the observation
 */
public record CacheObservation(
    long incarnation, boolean up, boolean warm, boolean drained, Duration observedAt) {

  /** Whether this concerns an earlier process than another, or an earlier time of the same. */
  boolean isOlderThan(CacheObservation other) {
    return incarnation < other.incarnation
        || (incarnation == other.incarnation && observedAt.compareTo(other.observedAt) < 0);
  }
}
