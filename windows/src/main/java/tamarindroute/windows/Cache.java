package tamarindroute.windows;

import java.time.Duration;

/**
 * A cache as the planner sees it.
 *
 * @param capacity the load that it bears when warm, in the unit of the load curve
 * @param hub what it stands in, lost together with it; empty for none
 * @param ready false for one that is down, barred or drained with no return known: never counted on
 * @param warmAt when it may be counted on, in agreed time; in the past for a warm one
 */
public record Cache(
    String name,
    String location,
    Tier tier,
    double capacity,
    String hub,
    boolean ready,
    Duration warmAt) {
  /**
   * Edges serve views, parents serve their fills, the origin is the last source: it can't be taken
   * out or fail.
   */
  public enum Tier {
    EDGE,
    PARENT,
    ORIGIN
  }

  public Cache {
    if (!(capacity >= 0) || Double.isInfinite(capacity)) {
      throw new IllegalArgumentException("capacity of " + name + ": " + capacity);
    }
  }
}
