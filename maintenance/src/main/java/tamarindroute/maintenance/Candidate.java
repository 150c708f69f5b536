package tamarindroute.maintenance;

import java.util.List;

/**
 * The result of placing the caches of a request in one order.
 *
 * @param placements the placed caches in the order of their starts, at most the required number
 * @param unplaced indexes of the caches for which no start was found
 * @param leastSevere the least severe shortage that the search has met so far; null for none
 */
record Candidate(List<Placement> placements, List<Integer> unplaced, Shortage leastSevere) {

  /**
   * A placed cache.
   *
   * @param cache the index of the cache
   * @param start the bin in which its window starts
   */
  record Placement(int cache, int start) {}

  /** Returns the last bin in which a window starts, or -1 without placements. */
  int lastStart() {
    return placements.stream().mapToInt(Placement::start).max().orElse(-1);
  }

  /**
   * Whether this candidate places more caches than another one, or as many with an earlier last
   * start, or as many with the same last start and a smaller sum of starts.
   */
  boolean isBetterThan(Candidate other) {
    int placedOrder = Integer.compare(placements.size(), other.placements.size());
    if (placedOrder != 0) {
      return placedOrder > 0;
    }
    int lastStartOrder = Integer.compare(other.lastStart(), lastStart());
    if (lastStartOrder != 0) {
      return lastStartOrder > 0;
    }
    return sumOfStarts() < other.sumOfStarts();
  }

  private long sumOfStarts() {
    return placements.stream().mapToLong(Placement::start).sum();
  }

  /** Returns the start of the window of a cache, or the given default if it was not placed. */
  int startOf(int cache, int unplacedStart) {
    return placements.stream()
        .filter(placement -> placement.cache() == cache)
        .mapToInt(Placement::start)
        .findFirst()
        .orElse(unplacedStart);
  }
}
