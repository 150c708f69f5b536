package tamarindroute.maintenance;

import java.time.Duration;

/**
 * A cache as the planner sees it.
 *
 * @param name identifies the cache in requests and windows
 * @param location the location whose clients an edge serves; empty for other tiers
 * @param tier what the cache is used for
 * @param capacity the load it can take when warm, in the unit of the load curve
 * @param hub the failure domain shared with other caches; empty for none
 * @param ready false while it is down, ejected or drained with no known return
 * @param warmAt the agreed time from which it is warm; in the past for a warm cache
 */
public record Cache(
    String name,
    String location,
    Tier tier,
    double capacity,
    String hub,
    boolean ready,
    Duration warmAt) {

  /** What a cache is used for. */
  public enum Tier {
    /** Serves clients' requests. */
    EDGE,
    /** Serves the fills of edges. */
    PARENT,
    /** The last fill source; it neither fails nor has windows. */
    ORIGIN
  }

  /** Refuses a capacity that is negative, infinite or not a number. */
  public Cache {
    if (!(capacity >= 0) || Double.isInfinite(capacity)) {
      throw new IllegalArgumentException(
          "capacity of cache " + name + " is " + capacity + ", must be finite and at least 0");
    }
  }
}
