package tamarindroute.maintenance;

import java.util.List;

/**
 * A set of objects of one location whose requests prefer the same caches.
 *
 * @param location the location whose clients request these objects
 * @param share its part of the location's load, from 0 to 1
 * @param edges indexes into {@link PlanningInput#caches()} of the first edges in the routing
 *     policy's ranking, best first
 * @param fills the same for parents; the origin comes last where it may be a fill source
 */
public record KeyRange(String location, double share, List<Integer> edges, List<Integer> fills) {

  /** Refuses a share outside 0 to 1. */
  public KeyRange {
    edges = List.copyOf(edges);
    fills = List.copyOf(fills);
    if (!(share >= 0 && share <= 1)) {
      throw new IllegalArgumentException(
          "share of a key range of location " + location + " is " + share + ", must be 0 to 1");
    }
  }
}
