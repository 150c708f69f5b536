package tamarindroute.maintenance;

import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What the planner plans over. Times are agreed time: monotonic, the same for all members that hold
 * the agreed view. Time is divided into bins of equal length.
 *
 * @param caches all caches; key ranges refer to them by index
 * @param ranges all key ranges
 * @param load each location's load in each bin
 * @param start the agreed time at which the first bin starts
 * @param binLength the length of a bin
 * @param rules what counts as cover
 */
public record PlanningInput(
    List<Cache> caches,
    List<KeyRange> ranges,
    Map<String, double[]> load,
    Duration start,
    Duration binLength,
    CoverageRules rules) {

  /** Two weeks of quarter hours. */
  public static final int MAX_BINS = 1344;

  /** Upper bound of the number of caches. */
  public static final int MAX_CACHES = 4096;

  /** Upper bound of the number of key ranges. */
  public static final int MAX_RANGES = 16_384;

  /** Refuses sizes out of bounds, loads below zero, and ranges of unknown caches or locations. */
  public PlanningInput {
    caches = List.copyOf(caches);
    ranges = List.copyOf(ranges);
    load = new HashMap<>(load);
    requireWithin("bins", shortest(load), 1, MAX_BINS);
    requireWithin("caches", caches.size(), 0, MAX_CACHES);
    requireWithin("key ranges", ranges.size(), 0, MAX_RANGES);
    if (binLength.isNegative() || binLength.isZero()) {
      throw new IllegalArgumentException("length of a bin is " + binLength + ", must be positive");
    }
    load.forEach(PlanningInput::requireLoad);
    for (KeyRange range : ranges) {
      requireKnown(range, caches, load);
    }
  }

  private static void requireWithin(String what, int count, int least, int most) {
    if (count < least || count > most) {
      throw new IllegalArgumentException(
          "number of " + what + " is " + count + ", must be " + least + " to " + most);
    }
  }

  private static void requireLoad(String location, double[] load) {
    if (Arrays.stream(load).anyMatch(value -> !(value >= 0))) {
      throw new IllegalArgumentException(
          "load of location " + location + " has a value that is not a number of at least 0");
    }
  }

  private static void requireKnown(KeyRange range, List<Cache> caches, Map<String, double[]> load) {
    if (range.edges().isEmpty()) {
      throw new IllegalArgumentException("key range has no edges: " + range);
    }
    if (!load.containsKey(range.location())) {
      throw new IllegalArgumentException("key range of a location without load: " + range);
    }
    if (!range.edges().stream().allMatch(index -> isKnown(caches, index, true))) {
      throw new IllegalArgumentException("key range names an edge that is unknown: " + range);
    }
    if (!range.fills().stream().allMatch(index -> isKnown(caches, index, false))) {
      throw new IllegalArgumentException("key range names a fill source that is unknown: " + range);
    }
  }

  private static boolean isKnown(List<Cache> caches, int index, boolean edge) {
    return index >= 0
        && index < caches.size()
        && (caches.get(index).tier() == Cache.Tier.EDGE) == edge;
  }

  private static int shortest(Map<String, double[]> load) {
    return load.values().stream().mapToInt(values -> values.length).min().orElse(0);
  }

  /** The number of bins for which every location's load is known. */
  int binCount() {
    return shortest(load);
  }

  /** The bin that contains a time; it may be out of bounds. */
  int binAt(Duration time) {
    return Math.toIntExact(Math.floorDiv(time.minus(start).toMillis(), binLength.toMillis()));
  }

  /** The first bin that starts at or after a time; it may be out of bounds. */
  int firstBinFrom(Duration time) {
    return Math.toIntExact(-Math.floorDiv(-time.minus(start).toMillis(), binLength.toMillis()));
  }

  /** The number of bins touched by a span that starts with a bin. */
  int binsCovering(Duration length) {
    return Math.toIntExact(-Math.floorDiv(-length.toMillis(), binLength.toMillis()));
  }

  /** The time at which a bin starts. */
  Duration timeOf(int bin) {
    return start.plus(binLength.multipliedBy(bin));
  }
}
