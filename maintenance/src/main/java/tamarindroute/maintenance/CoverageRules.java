package tamarindroute.maintenance;

import java.time.Duration;
import java.util.Set;

/**
 * What counts as cover and as load.
 *
 * @param toleratedFailures one further failure of any of these kinds must leave every key range
 *     covered, with enough capacity
 * @param missRatio the part of requests that need a fill from a parent or the origin
 * @param coldShare the part of a range's requests that a cold cache among its first takes and must
 *     fill; it loads the parents, and is never counted as relief for other edges
 * @param warmUp how long a returned cache is cold
 * @param siblingFill whether two edges of a range are fill sources for each other
 */
public record CoverageRules(
    Set<Failure> toleratedFailures,
    double missRatio,
    double coldShare,
    Duration warmUp,
    boolean siblingFill) {

  /** A kind of failure on top of all planned outages. */
  public enum Failure {
    /** Any one edge or parent. */
    CACHE,
    /** Any one parent. */
    PARENT,
    /** All caches of any one hub. */
    HUB
  }
}
