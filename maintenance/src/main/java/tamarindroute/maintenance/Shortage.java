package tamarindroute.maintenance;

import java.time.Duration;

/**
 * What is missing when a cache goes out.
 *
 * @param kind what is missing
 * @param range the index of the key range in the planning input, or -1
 * @param cache the cache that lacks capacity, or the one that can't go out
 * @param required how much would be needed: caches for cover, load for capacity, seconds for time
 * @param available how much there is, in the same unit
 * @param at the agreed time of the shortage
 */
public record Shortage(
    Kind kind, int range, String cache, double required, double available, Duration at) {

  /** {@link #range} of a shortage that concerns no key range. */
  public static final int NO_RANGE = -1;

  /** What is missing. */
  public enum Kind {
    /** A key range has no edge left. */
    NO_EDGE,
    /** A key range has no fill source left. */
    NO_FILL_SOURCE,
    /** A cache would get more load than its capacity. */
    CAPACITY,
    /** The time between the bounds of the request is too short. */
    TIME,
    /** The request names a cache that the planning input lacks. */
    UNKNOWN_CACHE
  }

  /** Ratio of what is required to what is available; greater is worse. */
  double severity() {
    return available > 0 ? required / available : Double.MAX_VALUE;
  }
}
