package tamarindroute.windows;

import java.util.List;

/**
 * A key range: a part of a location's hashed objects.
 *
 * @param share its part of the location's load
 * @param edges places in the world's caches of the first few edges by the policy's ranking, best
 *     first
 * @param fills the same of parents; the origin comes last where fills may go there
 */
public record KeyRange(String location, double share, List<Integer> edges, List<Integer> fills) {
  public KeyRange {
    edges = List.copyOf(edges);
    fills = List.copyOf(fills);
    if (!(share >= 0 && share <= 1)) {
      throw new IllegalArgumentException("share of a range: " + share);
    }
  }
}
