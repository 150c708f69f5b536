package tamarindroute.windows;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Tells, bin by bin and failure by failure, from the world's words alone, what lacks. Nothing of
 * the planner is used.
 */
final class NaiveChecker {
  private NaiveChecker() {}

  /** What a plan does harm to: what lacks with it and did not lack, or lacked less, without it. */
  static List<String> harm(World world, List<World.Held> before, List<World.Held> planned) {
    List<World.Held> all = new ArrayList<>(before);
    all.addAll(planned);
    Map<String, Double> old = breaches(world, before);
    return breaches(world, all).entrySet().stream()
        .filter(b -> b.getValue() > old.getOrDefault(b.getKey(), 0.0) + 1e-9)
        .map(Map.Entry::toString)
        .toList();
  }

  static List<World.Held> held(Plan plan) {
    return plan.batches().stream()
        .flatMap(b -> b.caches().stream().map(c -> new World.Held(c, b.start(), b.end())))
        .toList();
  }

  static Map<String, Double> breaches(World world, List<World.Held> windows) {
    Map<String, Double> found = new TreeMap<>();
    for (int bin = 0; bin < world.bins(); bin++) {
      found.putAll(breaches(world, windows, bin));
    }
    return found;
  }

  static Map<String, Double> breaches(World world, List<World.Held> windows, int bin) {
    Map<String, Double> found = new TreeMap<>();
    String[] standing = standing(world, windows, bin);
    for (Set<String> failed : failures(world)) {
      Map<String, Double> load = loads(world, standing, bin, failed, found);
      for (Cache cache : world.caches()) {
        double need = load.getOrDefault(cache.name(), 0.0);
        if (need > cache.capacity() * 1.000001) {
          found.put("room " + cache.name() + " at " + bin + " without " + failed, need);
        }
      }
    }
    return found;
  }

  /** The most that each cache must ever bear. */
  static Map<String, Double> loads(World world, List<World.Held> windows) {
    Map<String, Double> most = new HashMap<>();
    for (int bin = 0; bin < world.bins(); bin++) {
      String[] standing = standing(world, windows, bin);
      for (Set<String> failed : failures(world)) {
        loads(world, standing, bin, failed, new HashMap<>())
            .forEach((c, l) -> most.merge(c, l, Math::max));
      }
    }
    return most;
  }

  private static List<Set<String>> failures(World world) {
    List<Set<String>> all = new ArrayList<>(List.of(Set.of()));
    List<Cache> fallible =
        world.caches().stream().filter(c -> c.tier() != Cache.Tier.ORIGIN).toList();
    if (world.rules().reserve().contains(World.Failure.CACHE)) {
      fallible.forEach(c -> all.add(Set.of(c.name())));
    }
    if (world.rules().reserve().contains(World.Failure.PARENT)) {
      fallible.stream()
          .filter(c -> c.tier() == Cache.Tier.PARENT)
          .forEach(c -> all.add(Set.of(c.name())));
    }
    if (world.rules().reserve().contains(World.Failure.HUB)) {
      fallible.stream()
          .map(Cache::hub)
          .filter(h -> !h.isEmpty())
          .distinct()
          .forEach(
              h ->
                  all.add(
                      fallible.stream()
                          .filter(c -> c.hub().equals(h))
                          .map(Cache::name)
                          .collect(Collectors.toSet())));
    }
    return all;
  }

  private static Map<String, Double> loads(
      World world, String[] standing, int bin, Set<String> failed, Map<String, Double> breaches) {
    Map<String, Double> loads = new HashMap<>();
    for (int r = 0; r < world.ranges().size(); r++) {
      Range range = world.ranges().get(r);
      List<String> edges = left(world, range.edges(), standing, failed);
      List<String> fills = left(world, range.fills(), standing, failed);
      String where = " of range " + r + " at " + bin + " without " + failed;
      if (edges.isEmpty()) {
        breaches.put("cover" + where, 1.0);
      } else if (fills.isEmpty() && (!world.rules().siblings() || edges.size() < 2)) {
        breaches.put("fill" + where, 1.0);
      }
      double views = range.share() * world.load().get(range.location())[bin];
      boolean cold = range.edges().stream().anyMatch(e -> standing[e].equals("cold"));
      double filled = views * Math.min(1, world.rules().miss() + (cold ? world.rules().cold() : 0));
      edges.stream().limit(1).forEach(e -> loads.merge(e, views, Double::sum));
      fills.stream().limit(1).forEach(f -> loads.merge(f, filled, Double::sum));
    }
    return loads;
  }

  private static List<String> left(
      World world, List<Integer> ranked, String[] standing, Set<String> failed) {
    return ranked.stream()
        .filter(c -> standing[c].equals("in"))
        .map(c -> world.caches().get(c).name())
        .filter(c -> !failed.contains(c))
        .toList();
  }

  private static String[] standing(World world, List<World.Held> windows, int bin) {
    return world.caches().stream()
        .map(c -> standing(world, windows, c, bin))
        .toArray(String[]::new);
  }

  private static String standing(World world, List<World.Held> windows, Cache cache, int bin) {
    Duration from = world.from().plus(world.bin().multipliedBy(bin));
    Duration to = from.plus(world.bin());
    List<World.Held> own =
        windows.stream().filter(w -> Objects.equals(w.cache(), cache.name())).toList();
    if (own.stream().anyMatch(w -> w.start().compareTo(to) < 0 && w.end().compareTo(from) > 0)) {
      return "out";
    }
    boolean cold =
        own.stream()
            .anyMatch(
                w ->
                    w.end().compareTo(from) <= 0
                        && w.end().plus(world.rules().warmUp()).compareTo(from) > 0);
    return cold
        ? "cold"
        : !cache.ready() ? "out" : cache.warmAt().compareTo(from) > 0 ? "cold" : "in";
  }
}
