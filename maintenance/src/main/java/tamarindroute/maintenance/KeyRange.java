package tamarindroute.maintenance;

import java.util.List;

/**
 * A part of a location's objects, by hash of the object key, whose requests prefer the same caches.
 *
 * @param location the location whose clients request these objects
 * @param share the fraction of the location's load that these objects cause, from 0 to 1
 * @param edges indexes into {@link PlanningInput#caches()} of the first few edges in the ranking of
 *     the routing policy, best first
 * @param fills indexes of the first few parents in the ranking of the routing policy, best first;
 *     the origin comes last if it may be a fill source
 */
public record KeyRange(String location, double share, List<Integer> edges, List<Integer> fills) {

  /**
   * Validates the key range.
   *
   * @throws IllegalArgumentException if the share is not from 0 to 1
   */
  public KeyRange {
    edges = List.copyOf(edges);
    fills = List.copyOf(fills);
    if (!(share >= 0 && share <= 1)) {
      throw new IllegalArgumentException(
          "share of a key range of location "
              + location
              + " is "
              + share
              + ", must be from 0 to 1");
    }
  }
}
