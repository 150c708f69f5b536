package tamarindroute.windows;

import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What the planner plans over. Times are agreed time: monotonic, the same for all that hold the
 * agreed view.
 *
 * @param load each location's load in each bin from {@code start} on
 * @param rules what counts as cover
 */
public record PlanningInput(
    List<Cache> caches,
    List<KeyRange> ranges,
    Map<String, double[]> load,
    Duration start,
    Duration binLength,
    CoverageRules rules) {
  /**
   * Kinds of the further failure that must be borne: one edge or parent, one parent, all that stand
   * in one hub.
   */
  public enum Failure {
    CACHE,
    PARENT,
    HUB
  }

  /**
   * What counts as cover.
   *
   * @param toleratedFailures one further failure of any of these kinds leaves every range covered,
   *     with room
   * @param missRatio the part of views that needs a fill from a parent or the origin
   * @param coldShare the part of a range's views that a cold cache among its first takes and must
   *     fill: the fourth rule's bound as a share. It is load for the parents, and never counted as
   *     help to other edges
   * @param warmUp how long a returned cache is cold
   * @param siblingFill whether two edges that may hold a range are a fill source to each other
   */
  public record CoverageRules(
      Set<Failure> toleratedFailures,
      double missRatio,
      double coldShare,
      Duration warmUp,
      boolean siblingFill) {}

  /** A cache that another agreed window holds. */
  public record ScheduledOutage(String cache, Duration start, Duration end) {}

  /** Two weeks of quarter hours: longer plans would rest on a curve that nobody has seen. */
  public static final int MAX_BINS = 1344;

  /** Four times what a plan must do in a second. */
  public static final int MAX_CACHES = 4096;

  /** As above: 16,384 ranges are 4 a cache. */
  public static final int MAX_RANGES = 16_384;

  public PlanningInput {
    caches = List.copyOf(caches);
    ranges = List.copyOf(ranges);
    load = new HashMap<>(load);
    int bins = load.values().stream().mapToInt(l -> l.length).min().orElse(0);
    if (bins < 1
        || bins > MAX_BINS
        || caches.size() > MAX_CACHES
        || ranges.size() > MAX_RANGES
        || binLength.isNegative()
        || binLength.isZero()) {
      throw new IllegalArgumentException(
          "out of bounds: "
              + bins
              + " bins, "
              + caches.size()
              + " caches, "
              + ranges.size()
              + " ranges, bins of "
              + binLength);
    }
    if (load.values().stream().flatMapToDouble(Arrays::stream).anyMatch(l -> !(l >= 0))) {
      throw new IllegalArgumentException("a load that is no number or below zero");
    }
    for (KeyRange range : ranges) {
      if (range.edges().isEmpty()
          || !load.containsKey(range.location())
          || !refersTo(caches, range.edges(), Cache.Tier.EDGE)
          || !refersTo(caches, range.fills(), null)) {
        throw new IllegalArgumentException("a range of unknown caches or of no load: " + range);
      }
    }
  }

  private static boolean refersTo(List<Cache> caches, List<Integer> places, Cache.Tier tier) {
    return places.stream()
        .allMatch(
            p ->
                p >= 0
                    && p < caches.size()
                    && (caches.get(p).tier() == Cache.Tier.EDGE) == (tier == Cache.Tier.EDGE));
  }

  int binCount() {
    return load.values().stream().mapToInt(l -> l.length).min().orElse(0);
  }

  /** The bin that a time lies in, which may be out of bounds. */
  int binAt(Duration time) {
    return Math.toIntExact(Math.floorDiv(time.minus(start).toMillis(), binLength.toMillis()));
  }

  /** The first bin that starts at or after a time. */
  int firstBinFrom(Duration time) {
    return Math.toIntExact(-Math.floorDiv(-time.minus(start).toMillis(), binLength.toMillis()));
  }

  /** How many bins a span may touch when it starts with a bin. */
  int binsCovering(Duration length) {
    return Math.toIntExact(-Math.floorDiv(-length.toMillis(), binLength.toMillis()));
  }

  Duration timeOf(int place) {
    return start.plus(binLength.multipliedBy(place));
  }
}
