package tamarindroute.maintenance;

import java.time.Duration;

/**
 * A cache in a planning input.
 *
 * @param name identifies the cache in requests and windows
 * @param location the location whose clients an edge serves; empty for other tiers
 * @param tier the role of the cache
 * @param capacity the load that the cache can serve when warm, in the unit of the load curve;
 *     finite and at least 0
 * @param hub the failure domain that the cache shares with others; empty for none
 * @param ready false if the cache is down, ejected or drained and no return time is known. Such a
 *     cache counts as out of service in all bins
 * @param warmAt the agreed time from which the cache is warm; in the past for a warm cache
 */
public record Cache(
    String name,
    String location,
    Tier tier,
    double capacity,
    String hub,
    boolean ready,
    Duration warmAt) {

  /** The role of a cache. */
  public enum Tier {
    /** Serves requests of clients. */
    EDGE,
    /** Serves the fills of edges. */
    PARENT,
    /** The last fill source. It is assumed not to fail and has no maintenance windows. */
    ORIGIN
  }

  /**
   * Validates the cache.
   *
   * @throws IllegalArgumentException if the capacity is negative, infinite or NaN
   */
  public Cache {
    if (!(capacity >= 0) || Double.isInfinite(capacity)) {
      throw new IllegalArgumentException(
          "capacity of cache " + name + " is " + capacity + ", must be finite and at least 0");
    }
  }
}
