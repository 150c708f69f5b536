package tamarindroute.maintenance;

import java.time.Duration;

/**
 * The reason why a cache can't be out of service at some time.
 *
 * @param kind what is short
 * @param range the index of the key range in the planning input, or {@link #NO_RANGE}
 * @param cache the name of the cache that lacks capacity, of the first edge of a key range without
 *     coverage, or of the cache that can't be taken out of service
 * @param required the required amount: caches for coverage, load for capacity, seconds for time; 1
 *     for a cache that is unknown or not in service
 * @param available the available amount in the same unit
 * @param at the agreed time of the shortage
 */
public record Shortage(
    Kind kind, int range, String cache, double required, double available, Duration at) {

  /** Value of {@link #range} for a shortage that concerns no key range. */
  public static final int NO_RANGE = -1;

  /** What is short. */
  public enum Kind {
    /** A key range has no edge in service. */
    NO_EDGE,
    /** A key range has no fill source in service. */
    NO_FILL_SOURCE,
    /** A cache would receive more load than its capacity. */
    CAPACITY,
    /**
     * The time between the bounds of the request is too short, or the cache is already out of
     * service or cold at that time.
     */
    TIME,
    /** The request names a cache that is not in the planning input. */
    UNKNOWN_CACHE
  }

  /**
   * Returns the ratio of the required to the available amount, or {@link Double#MAX_VALUE} if
   * nothing is available.
   */
  double severity() {
    return available > 0 ? required / available : Double.MAX_VALUE;
  }
}
