package tamarindroute.maintenance;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The caches, key ranges and expected load for which the planner plans. Times are agreed time,
 * which is monotonic and the same for all members that have the agreed view. Time is divided into
 * bins of equal length.
 *
 * @param caches all caches, at most {@link #MAX_CACHES}; key ranges refer to them by index
 * @param ranges all key ranges, at most {@link #MAX_RANGES}
 * @param load the expected load in each bin, at least 0, by location
 * @param start the agreed time at which the first bin starts
 * @param binLength the length of a bin; positive
 * @param rules the rules for coverage and load
 */
public record PlanningInput(
    List<Cache> caches,
    List<KeyRange> ranges,
    Map<String, double[]> load,
    Duration start,
    Duration binLength,
    CoverageRules rules) {

  /**
   * Maximum number of bins: two weeks of quarter hours. A longer plan would rely on a load curve
   * that has not been measured.
   */
  public static final int MAX_BINS = 1344;

  /**
   * Maximum number of caches: four times the 1,000 caches that must be planned within about a
   * second.
   */
  public static final int MAX_CACHES = 4096;

  /** Maximum number of key ranges: four for each of {@link #MAX_CACHES} caches. */
  public static final int MAX_RANGES = 16_384;

  /**
   * Validates the input.
   *
   * @throws IllegalArgumentException if a size is out of bounds, the length of a bin is not
   *     positive, a load is negative or NaN, or a key range has no edges or names an unknown cache
   *     or location
   */
  public PlanningInput {
    caches = List.copyOf(caches);
    ranges = List.copyOf(ranges);
    load = new HashMap<>(load);
    requireWithin("bins", shortestLength(load), 1, MAX_BINS);
    requireWithin("caches", caches.size(), 0, MAX_CACHES);
    requireWithin("key ranges", ranges.size(), 0, MAX_RANGES);
    if (binLength.isNegative() || binLength.isZero()) {
      throw new IllegalArgumentException("length of a bin is " + binLength + ", must be positive");
    }
    load.forEach(PlanningInput::requireValidLoad);
    for (KeyRange range : ranges) {
      requireKnownReferences(range, caches, load);
    }
  }

  private static void requireWithin(String counted, int count, int min, int max) {
    if (count < min || count > max) {
      throw new IllegalArgumentException(
          "number of " + counted + " is " + count + ", must be from " + min + " to " + max);
    }
  }

  private static void requireValidLoad(String location, double[] load) {
    for (int bin = 0; bin < load.length; bin++) {
      if (!(load[bin] >= 0)) {
        throw new IllegalArgumentException(
            "load of location "
                + location
                + " is "
                + load[bin]
                + " in bin "
                + bin
                + ", must be at least 0");
      }
    }
  }

  private static void requireKnownReferences(
      KeyRange range, List<Cache> caches, Map<String, double[]> load) {
    if (range.edges().isEmpty()) {
      throw new IllegalArgumentException(
          "edges of " + range + " are empty, must have at least one");
    }
    if (!load.containsKey(range.location())) {
      throw new IllegalArgumentException(
          "location of " + range + " has no load, must be one of " + load.keySet());
    }
    if (!range.edges().stream().allMatch(index -> isKnown(caches, index, true))) {
      throw new IllegalArgumentException(
          "edges of "
              + range
              + " contain an index that is not the index of an edge among "
              + caches.size()
              + " caches");
    }
    if (!range.fills().stream().allMatch(index -> isKnown(caches, index, false))) {
      throw new IllegalArgumentException(
          "fills of "
              + range
              + " contain an index that is not the index of a parent or origin among "
              + caches.size()
              + " caches");
    }
  }

  private static boolean isKnown(List<Cache> caches, int index, boolean edge) {
    return index >= 0
        && index < caches.size()
        && (caches.get(index).tier() == Cache.Tier.EDGE) == edge;
  }

  private static int shortestLength(Map<String, double[]> load) {
    return load.values().stream().mapToInt(values -> values.length).min().orElse(0);
  }

  /** Returns the number of bins for which the load of every location is given. */
  int binCount() {
    return shortestLength(load);
  }

  /** Returns the bin that contains a time. The result may be out of bounds. */
  int binAt(Duration time) {
    return Math.toIntExact(Math.floorDiv(time.minus(start).toMillis(), binLength.toMillis()));
  }

  /** Returns the first bin that starts at or after a time. The result may be out of bounds. */
  int firstBinFrom(Duration time) {
    return Math.toIntExact(-Math.floorDiv(-time.minus(start).toMillis(), binLength.toMillis()));
  }

  /**
   * Returns the number of bins that a duration covers, in part or whole, from the start of a bin.
   */
  int binsCovering(Duration length) {
    return Math.toIntExact(-Math.floorDiv(-length.toMillis(), binLength.toMillis()));
  }

  /** Returns the agreed time at which a bin starts. */
  Duration timeOf(int bin) {
    return start.plus(binLength.multipliedBy(bin));
  }
}
