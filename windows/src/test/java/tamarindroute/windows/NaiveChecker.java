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
  static List<String> harm(
      PlanningInput input, List<ScheduledOutage> before, List<ScheduledOutage> planned) {
    List<ScheduledOutage> all = new ArrayList<>(before);
    all.addAll(planned);
    Map<String, Double> old = breaches(input, before);
    return breaches(input, all).entrySet().stream()
        .filter(b -> b.getValue() > old.getOrDefault(b.getKey(), 0.0) + 1e-9)
        .map(Map.Entry::toString)
        .toList();
  }

  static List<ScheduledOutage> held(Plan plan) {
    return plan.batches().stream()
        .flatMap(b -> b.caches().stream().map(c -> new ScheduledOutage(c, b.start(), b.end())))
        .toList();
  }

  static Map<String, Double> breaches(PlanningInput input, List<ScheduledOutage> windows) {
    Map<String, Double> found = new TreeMap<>();
    for (int bin = 0; bin < input.binCount(); bin++) {
      found.putAll(breaches(input, windows, bin));
    }
    return found;
  }

  static Map<String, Double> breaches(PlanningInput input, List<ScheduledOutage> windows, int bin) {
    Map<String, Double> found = new TreeMap<>();
    String[] standing = standing(input, windows, bin);
    for (Set<String> failed : failures(input)) {
      Map<String, Double> load = loads(input, standing, bin, failed, found);
      for (Cache cache : input.caches()) {
        double need = load.getOrDefault(cache.name(), 0.0);
        if (need > cache.capacity() * 1.000001) {
          found.put("room " + cache.name() + " at " + bin + " without " + failed, need);
        }
      }
    }
    return found;
  }

  /** The most that each cache must ever bear. */
  static Map<String, Double> loads(PlanningInput input, List<ScheduledOutage> windows) {
    Map<String, Double> most = new HashMap<>();
    for (int bin = 0; bin < input.binCount(); bin++) {
      String[] standing = standing(input, windows, bin);
      for (Set<String> failed : failures(input)) {
        loads(input, standing, bin, failed, new HashMap<>())
            .forEach((c, l) -> most.merge(c, l, Math::max));
      }
    }
    return most;
  }

  private static List<Set<String>> failures(PlanningInput input) {
    List<Set<String>> all = new ArrayList<>(List.of(Set.of()));
    List<Cache> fallible =
        input.caches().stream().filter(c -> c.tier() != Cache.Tier.ORIGIN).toList();
    if (input.rules().toleratedFailures().contains(CoverageRules.Failure.CACHE)) {
      fallible.forEach(c -> all.add(Set.of(c.name())));
    }
    if (input.rules().toleratedFailures().contains(CoverageRules.Failure.PARENT)) {
      fallible.stream()
          .filter(c -> c.tier() == Cache.Tier.PARENT)
          .forEach(c -> all.add(Set.of(c.name())));
    }
    if (input.rules().toleratedFailures().contains(CoverageRules.Failure.HUB)) {
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
      PlanningInput input,
      String[] standing,
      int bin,
      Set<String> failed,
      Map<String, Double> breaches) {
    Map<String, Double> loads = new HashMap<>();
    for (int r = 0; r < input.ranges().size(); r++) {
      KeyRange range = input.ranges().get(r);
      List<String> edges = left(input, range.edges(), standing, failed);
      List<String> fills = left(input, range.fills(), standing, failed);
      String where = " of range " + r + " at " + bin + " without " + failed;
      if (edges.isEmpty()) {
        breaches.put("cover" + where, 1.0);
      } else if (fills.isEmpty() && (!input.rules().siblingFill() || edges.size() < 2)) {
        breaches.put("fill" + where, 1.0);
      }
      double views = range.share() * input.load().get(range.location())[bin];
      boolean cold = range.edges().stream().anyMatch(e -> standing[e].equals("cold"));
      double filled =
          views * Math.min(1, input.rules().missRatio() + (cold ? input.rules().coldShare() : 0));
      edges.stream().limit(1).forEach(e -> loads.merge(e, views, Double::sum));
      fills.stream().limit(1).forEach(f -> loads.merge(f, filled, Double::sum));
    }
    return loads;
  }

  private static List<String> left(
      PlanningInput input, List<Integer> ranked, String[] standing, Set<String> failed) {
    return ranked.stream()
        .filter(c -> standing[c].equals("in"))
        .map(c -> input.caches().get(c).name())
        .filter(c -> !failed.contains(c))
        .toList();
  }

  private static String[] standing(PlanningInput input, List<ScheduledOutage> windows, int bin) {
    return input.caches().stream()
        .map(c -> standing(input, windows, c, bin))
        .toArray(String[]::new);
  }

  private static String standing(
      PlanningInput input, List<ScheduledOutage> windows, Cache cache, int bin) {
    Duration from = input.start().plus(input.binLength().multipliedBy(bin));
    Duration to = from.plus(input.binLength());
    List<ScheduledOutage> own =
        windows.stream().filter(w -> Objects.equals(w.cache(), cache.name())).toList();
    if (own.stream().anyMatch(w -> w.start().compareTo(to) < 0 && w.end().compareTo(from) > 0)) {
      return "out";
    }
    boolean cold =
        own.stream()
            .anyMatch(
                w ->
                    w.end().compareTo(from) <= 0
                        && w.end().plus(input.rules().warmUp()).compareTo(from) > 0);
    return cold
        ? "cold"
        : !cache.ready() ? "out" : cache.warmAt().compareTo(from) > 0 ? "cold" : "in";
  }
}
