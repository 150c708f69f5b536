package tamarindroute.maintenance;

import java.util.List;

/**
 * The result of placing a request's caches in one order.
 *
 * @param placements the placed caches by start, no more than required
 * @param unplaced indexes of the caches for which no start was found
 * @param leastSevere the least severe shortage met so far in the search; null for none
 */
record Candidate(List<Placement> placements, List<Integer> unplaced, Shortage leastSevere) {

  /** A cache and the bin in which its window starts. */
  record Placement(int cache, int start) {}

  /** The last bin in which a window starts; -1 for none. */
  int lastStart() {
    return placements.stream().mapToInt(Placement::start).max().orElse(-1);
  }

  /** Whether this places more caches, or the same number with an earlier end or earlier starts. */
  boolean isBetterThan(Candidate other) {
    int byPlaced = Integer.compare(placements.size(), other.placements.size());
    if (byPlaced != 0) {
      return byPlaced > 0;
    }
    int byEnd = Integer.compare(other.lastStart(), lastStart());
    if (byEnd != 0) {
      return byEnd > 0;
    }
    return sumOfStarts() < other.sumOfStarts();
  }

  private long sumOfStarts() {
    return placements.stream().mapToLong(Placement::start).sum();
  }

  /** The start of a cache's window, or a default if it was not placed. */
  int startOf(int cache, int unplacedStart) {
    return placements.stream()
        .filter(placement -> placement.cache() == cache)
        .mapToInt(Placement::start)
        .findFirst()
        .orElse(unplacedStart);
  }
}
