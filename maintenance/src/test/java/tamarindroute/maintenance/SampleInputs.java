package tamarindroute.maintenance;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

/**
 * Generates planning inputs from seeds. Caches are ranked by weighted rendezvous hashing, as in the
 * routing policy, and the daily peak of the load nearly fills the most loaded cache.
 */
final class SampleInputs {
  static final Duration BIN_LENGTH = Duration.ofMinutes(15);

  private static final int BINS_PER_DAY = 96;

  private SampleInputs() {}

  /**
   * The size of an input.
   *
   * @param locations number of locations
   * @param edges number of edges of each location
   * @param parents number of parents, which all locations share
   * @param hubs number of hubs over which the parents are distributed
   * @param ranges number of key ranges of all locations
   * @param rankingLength number of edges and of parents of each key range
   * @param bins number of bins
   * @param peak ratio of load to capacity at the peak for the most loaded cache of each tier
   */
  record Shape(
      int locations,
      int edges,
      int parents,
      int hubs,
      int ranges,
      int rankingLength,
      int bins,
      double peak) {}

  /** Returns the duration of a number of bins. */
  static Duration bins(long count) {
    return BIN_LENGTH.multipliedBy(count);
  }

  static PlanningInput input(long seed, Shape shape, CoverageRules rules) {
    List<Cache> caches = caches(shape, new Random(seed));
    List<KeyRange> ranges = new ArrayList<>();
    for (int range = 0; range < shape.ranges; range++) {
      ranges.add(range(range, seed, shape, caches));
    }
    Map<String, double[]> load = new HashMap<>();
    for (int location = 0; location < shape.locations; location++) {
      load.put("l" + location, load(location, shape.bins));
    }
    return scaled(
        new PlanningInput(caches, ranges, load, Duration.ZERO, BIN_LENGTH, rules), shape.peak);
  }

  private static List<Cache> caches(Shape shape, Random random) {
    List<Cache> caches = new ArrayList<>();
    for (int location = 0; location < shape.locations; location++) {
      for (int edge = 0; edge < shape.edges; edge++) {
        String name = "e" + location + "-" + edge;
        double capacity = 0.7 + random.nextDouble();
        caches.add(cache(name, "l" + location, Cache.Tier.EDGE, capacity, ""));
      }
    }
    for (int parent = 0; parent < shape.parents; parent++) {
      double capacity = 0.7 + random.nextDouble();
      caches.add(cache("p" + parent, "", Cache.Tier.PARENT, capacity, "h" + parent % shape.hubs));
    }
    caches.add(cache("origin", "", Cache.Tier.ORIGIN, 1e9, ""));
    return caches;
  }

  private static Cache cache(
      String name, String location, Cache.Tier tier, double capacity, String hub) {
    return new Cache(name, location, tier, capacity, hub, true, Duration.ZERO);
  }

  private static KeyRange range(int range, long seed, Shape shape, List<Cache> caches) {
    String location = "l" + range % shape.locations;
    double share = (double) shape.locations / shape.ranges;
    long key = range * 31L + seed;
    List<Integer> fills =
        new ArrayList<>(ranked(caches, Cache.Tier.PARENT, "", key, shape.rankingLength));
    fills.add(caches.size() - 1);
    List<Integer> edges = ranked(caches, Cache.Tier.EDGE, location, key, shape.rankingLength);
    return new KeyRange(location, Math.min(1, share), edges, fills);
  }

  /**
   * Returns the load in each bin: 0.3 of the peak at the start, which is at night, and the peak in
   * the middle of the day. Each location is shifted by one bin.
   */
  private static double[] load(int location, int bins) {
    int period = Math.min(BINS_PER_DAY, bins);
    return IntStream.range(0, bins)
        .mapToDouble(bin -> 0.65 - 0.35 * Math.cos(2 * Math.PI * (bin - location) / period))
        .toArray();
  }

  /**
   * Scales the capacities of each tier, so that its most loaded cache has the given ratio of load
   * to capacity at the peak.
   */
  private static PlanningInput scaled(PlanningInput input, double peak) {
    Map<Cache.Tier, Double> loads = peakLoads(input);
    List<Cache> caches =
        input.caches().stream().map(cache -> scaled(cache, loads.get(cache.tier()), peak)).toList();
    return new PlanningInput(
        caches, input.ranges(), input.load(), input.start(), input.binLength(), input.rules());
  }

  private static Cache scaled(Cache cache, double load, double peak) {
    return cache.tier() == Cache.Tier.ORIGIN
        ? cache
        : cache(
            cache.name(),
            cache.location(),
            cache.tier(),
            cache.capacity() * load / peak,
            cache.hub());
  }

  /**
   * Returns the ratio of load to capacity of the most loaded cache of each tier, with all locations
   * at their peaks.
   */
  private static Map<Cache.Tier, Double> peakLoads(PlanningInput input) {
    Map<String, double[]> highest = new HashMap<>();
    input
        .load()
        .forEach(
            (location, load) ->
                highest.put(location, new double[] {Arrays.stream(load).max().orElseThrow()}));
    PlanningInput peakInput =
        new PlanningInput(
            input.caches(),
            input.ranges(),
            highest,
            input.start(),
            input.binLength(),
            input.rules());
    CoverageTimeline timeline = new CoverageTimeline(peakInput, List.of());
    Map<Cache.Tier, Double> loads = new HashMap<>();
    for (int index = 0; index < input.caches().size(); index++) {
      Cache cache = input.caches().get(index);
      loads.merge(cache.tier(), timeline.maxLoad(index, 0) / cache.capacity(), Math::max);
    }
    return loads;
  }

  /**
   * Returns the first caches of a tier and location for a key, ranked by weighted rendezvous
   * hashing.
   */
  private static List<Integer> ranked(
      List<Cache> caches, Cache.Tier tier, String location, long key, int length) {
    record Scored(int index, double score) {}
    return IntStream.range(0, caches.size())
        .filter(index -> caches.get(index).tier() == tier)
        .filter(index -> caches.get(index).location().equals(location))
        .mapToObj(index -> new Scored(index, score(key, index, caches.get(index).capacity())))
        .sorted(Comparator.comparingDouble(Scored::score))
        .limit(length)
        .map(Scored::index)
        .toList();
  }

  private static double score(long key, int index, double weight) {
    return -Math.log(uniform(key * 1_000_003L + index)) / weight;
  }

  /** Hashes a key to a uniform number between 0 and 1 with the finalizer of SplitMix64. */
  private static double uniform(long key) {
    long mixed = key * 0x9E3779B97F4A7C15L;
    mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
    return ((mixed ^ (mixed >>> 31)) >>> 11) * 0x1.0p-53 + 0x1.0p-54;
  }

  /** Returns an input of one location with a few edges, so that all plans can be tried. */
  static PlanningInput small(long seed) {
    Random random = new Random(seed * 7919);
    int edges = 4 + random.nextInt(2);
    boolean reserve = random.nextInt(3) > 0;
    Duration warmUp = bins(random.nextInt(3));
    boolean siblingFill = random.nextBoolean();
    CoverageRules rules = new CoverageRules(failures(reserve), 0.2, 0.1, warmUp, siblingFill);
    int rankingLength = reserve ? 3 + random.nextInt(2) : 2 + random.nextInt(2);
    int ranges = 4 + random.nextInt(8);
    double peak = 0.4 + random.nextDouble() / 2;
    return input(seed, new Shape(1, edges, 3, 2, ranges, rankingLength, 12, peak), rules);
  }

  private static Set<CoverageRules.Failure> failures(boolean reserve) {
    return reserve ? Set.of(CoverageRules.Failure.values()) : Set.of();
  }

  /** Returns an input of two locations. */
  static PlanningInput twoLocations(long seed, Set<CoverageRules.Failure> toleratedFailures) {
    return input(
        seed,
        new Shape(2, 7, 4, 2, 30, 3, 28, 0.9),
        new CoverageRules(toleratedFailures, 0.2, 0.1, bins(2), seed % 2 == 0));
  }

  /** Returns the names of the edges of a location. */
  static List<String> edges(PlanningInput input, String location) {
    return input.caches().stream()
        .filter(cache -> cache.tier() == Cache.Tier.EDGE && cache.location().equals(location))
        .map(Cache::name)
        .toList();
  }

  /** Returns a request for caches within all bins of the input. */
  static MaintenanceRequest request(PlanningInput input, List<String> caches, int length) {
    return MaintenanceRequest.forCaches(
        "night", caches, bins(length), Duration.ZERO, bins(input.binCount()));
  }
}
