package tamarindroute.windows;

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
 * Planning inputs by seed: weighted rendezvous hashing as in the routing policy, and a day's load
 * whose peak nearly fills the fullest cache.
 */
final class SampleInputs {
  static final Duration BIN = Duration.ofMinutes(15);

  private SampleInputs() {}

  record Shape(
      int locations,
      int edges,
      int parents,
      int hubs,
      int ranges,
      int rankingLength,
      int bins,
      double peak) {}

  static PlanningInput input(long seed, Shape shape, CoverageRules rules) {
    Random random = new Random(seed);
    List<Cache> caches = new ArrayList<>();
    for (int l = 0; l < shape.locations; l++) {
      for (int e = 0; e < shape.edges; e++) {
        caches.add(
            new Cache(
                "e" + l + "-" + e,
                "l" + l,
                Cache.Tier.EDGE,
                0.7 + random.nextDouble(),
                "",
                true,
                Duration.ZERO));
      }
    }
    for (int p = 0; p < shape.parents; p++) {
      caches.add(
          new Cache(
              "p" + p,
              "",
              Cache.Tier.PARENT,
              0.7 + random.nextDouble(),
              "h" + p % shape.hubs,
              true,
              Duration.ZERO));
    }
    caches.add(new Cache("origin", "", Cache.Tier.ORIGIN, 1e9, "", true, Duration.ZERO));
    List<KeyRange> ranges = new ArrayList<>();
    for (int r = 0; r < shape.ranges; r++) {
      String location = "l" + r % shape.locations;
      double share = (double) shape.locations / shape.ranges;
      List<Integer> fills =
          new ArrayList<>(
              ranked(caches, Cache.Tier.PARENT, "", r * 31L + seed, shape.rankingLength));
      fills.add(caches.size() - 1);
      ranges.add(
          new KeyRange(
              location,
              Math.min(1, share),
              ranked(caches, Cache.Tier.EDGE, location, r * 31L + seed, shape.rankingLength),
              fills));
    }
    Map<String, double[]> load = new HashMap<>();
    for (int l = 0; l < shape.locations; l++) {
      int shift = l;
      // Night at the start: 0.3 of the peak, which is in the middle of the day of 96 bins.
      load.put(
          "l" + l,
          IntStream.range(0, shape.bins)
              .mapToDouble(
                  b -> 0.65 - 0.35 * Math.cos(2 * Math.PI * (b - shift) / Math.min(96, shape.bins)))
              .toArray());
    }
    return scaled(new PlanningInput(caches, ranges, load, Duration.ZERO, BIN, rules), shape.peak);
  }

  /**
   * Capacities scaled by tier, so that each tier's fullest cache would be at the given part of its
   * own at the peak.
   */
  private static PlanningInput scaled(PlanningInput input, double peak) {
    Map<String, double[]> highest = new HashMap<>();
    input
        .load()
        .forEach(
            (l, load) -> highest.put(l, new double[] {Arrays.stream(load).max().orElseThrow()}));
    CoverageTimeline timeline =
        new CoverageTimeline(
            new PlanningInput(
                input.caches(),
                input.ranges(),
                highest,
                input.start(),
                input.binLength(),
                input.rules()),
            List.of());
    Map<Cache.Tier, Double> factor = new HashMap<>();
    for (int c = 0; c < input.caches().size(); c++) {
      Cache cache = input.caches().get(c);
      factor.merge(cache.tier(), timeline.maxLoad(c, 0) / cache.capacity(), Math::max);
    }
    return new PlanningInput(
        input.caches().stream()
            .map(
                c ->
                    c.tier() == Cache.Tier.ORIGIN
                        ? c
                        : new Cache(
                            c.name(),
                            c.location(),
                            c.tier(),
                            c.capacity() * factor.get(c.tier()) / peak,
                            c.hub(),
                            c.ready(),
                            c.warmAt()))
            .toList(),
        input.ranges(),
        input.load(),
        input.start(),
        input.binLength(),
        input.rules());
  }

  static List<Integer> ranked(
      List<Cache> caches, Cache.Tier tier, String location, long key, int rankingLength) {
    record Scored(int place, double score) {}
    return IntStream.range(0, caches.size())
        .filter(c -> caches.get(c).tier() == tier && caches.get(c).location().equals(location))
        .mapToObj(
            c -> new Scored(c, -Math.log(uniform(key * 1_000_003L + c)) / caches.get(c).capacity()))
        .sorted(Comparator.comparingDouble(Scored::score))
        .limit(rankingLength)
        .map(Scored::place)
        .toList();
  }

  private static double uniform(long key) {
    long z = key * 0x9E3779B97F4A7C15L;
    z = (z ^ z >>> 30) * 0xBF58476D1CE4E5B9L;
    z = (z ^ z >>> 27) * 0x94D049BB133111EBL;
    return ((z ^ z >>> 31) >>> 11) * 0x1.0p-53 + 0x1.0p-54;
  }

  /** One location of a few edges, small enough for all plans to be tried. */
  static PlanningInput small(long seed) {
    Random random = new Random(seed * 7919);
    int edges = 4 + random.nextInt(2);
    boolean reserve = random.nextInt(3) > 0;
    CoverageRules rules =
        new CoverageRules(
            reserve ? Set.of(CoverageRules.Failure.values()) : Set.of(),
            0.2,
            0.1,
            BIN.multipliedBy(random.nextInt(3)),
            random.nextBoolean());
    int rankingLength = reserve ? 3 + random.nextInt(2) : 2 + random.nextInt(2);
    return input(
        seed,
        new Shape(
            1,
            edges,
            3,
            2,
            4 + random.nextInt(8),
            rankingLength,
            12,
            0.4 + random.nextDouble() / 2),
        rules);
  }

  /** Some worlds of middle size, with two locations. */
  static PlanningInput middle(long seed, Set<CoverageRules.Failure> reserve) {
    return input(
        seed,
        new Shape(2, 7, 4, 2, 30, 3, 28, 0.9),
        new CoverageRules(reserve, 0.2, 0.1, BIN.multipliedBy(2), seed % 2 == 0));
  }

  static List<String> edges(PlanningInput input, String location) {
    return input.caches().stream()
        .filter(c -> c.tier() == Cache.Tier.EDGE && c.location().equals(location))
        .map(Cache::name)
        .toList();
  }

  static MaintenanceRequest request(PlanningInput input, List<String> caches, int bins) {
    return MaintenanceRequest.forCaches(
        "night", caches, BIN.multipliedBy(bins), Duration.ZERO, BIN.multipliedBy(input.binCount()));
  }
}
