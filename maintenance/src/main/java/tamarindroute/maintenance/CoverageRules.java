package tamarindroute.maintenance;

import java.time.Duration;
import java.util.Set;

/**
 * The rules by which the planner computes coverage and load.
 *
 * @param toleratedFailures kinds of failures: after any single failure of one of these kinds, every
 *     key range must still be covered and every cache must have enough capacity
 * @param missRatio the fraction of requests that need a fill from a parent or the origin, from 0 to
 *     1
 * @param coldShare the fraction of a key range's requests that a cold edge of the range serves and
 *     has to fill, from 0 to 1: the bound of the slow start as a share. It adds load to the parents
 *     and is never subtracted from the load of other edges
 * @param warmUp how long a cache is cold after its return
 * @param siblingFill whether two edges of a key range are fill sources for each other
 */
public record CoverageRules(
    Set<Failure> toleratedFailures,
    double missRatio,
    double coldShare,
    Duration warmUp,
    boolean siblingFill) {

  /** A kind of failure that may happen in addition to all planned outages. */
  public enum Failure {
    /** The failure of any one edge or parent. */
    CACHE,
    /** The failure of any one parent. */
    PARENT,
    /** The failure of all caches of any one hub. */
    HUB
  }
}
