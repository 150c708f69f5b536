package tamarindroute.maintenance;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Finds shortages bin by bin and failure by failure from the planning input alone. Shares no code
 * with the planner.
 */
final class NaiveChecker {
  /** Required load over capacity that still counts as enough, for rounding. */
  private static final double ROUNDING = 1.000001;

  /**
   * A shortage.
   *
   * @param kind what is missing
   * @param subject the cache or key range
   * @param bin the bin of time
   * @param failed names of the caches of the further failure
   */
  record Breach(Shortage.Kind kind, String subject, int bin, Set<String> failed) {}

  private NaiveChecker() {}

  /** The shortages that a plan adds or makes worse. */
  static List<Map.Entry<Breach, Double>> harm(
      PlanningInput input, List<ScheduledOutage> before, List<ScheduledOutage> planned) {
    List<ScheduledOutage> all = new ArrayList<>(before);
    all.addAll(planned);
    Map<Breach, Double> old = breaches(input, before);
    return breaches(input, all).entrySet().stream()
        .filter(b -> b.getValue() > old.getOrDefault(b.getKey(), 0.0) + 1e-9)
        .toList();
  }

  static List<ScheduledOutage> outages(Plan plan) {
    return plan.batches().stream()
        .flatMap(b -> b.caches().stream().map(c -> new ScheduledOutage(c, b.start(), b.end())))
        .toList();
  }

  static Map<Breach, Double> breaches(PlanningInput input, List<ScheduledOutage> windows) {
    Map<Breach, Double> found = new HashMap<>();
    for (int bin = 0; bin < input.binCount(); bin++) {
      found.putAll(breaches(input, windows, bin));
    }
    return found;
  }

  static Map<Breach, Double> breaches(PlanningInput input, List<ScheduledOutage> windows, int bin) {
    Map<Breach, Double> found = new HashMap<>();
    String[] states = states(input, windows, bin);
    for (Set<String> failed : failures(input)) {
      Map<String, Double> load = loads(input, states, bin, failed, found);
      for (Cache cache : input.caches()) {
        double need = load.getOrDefault(cache.name(), 0.0);
        if (need > cache.capacity() * ROUNDING) {
          found.put(new Breach(Shortage.Kind.CAPACITY, cache.name(), bin, failed), need);
        }
      }
    }
    return found;
  }

  /** The highest load of each cache over all bins and failures. */
  static Map<String, Double> loads(PlanningInput input, List<ScheduledOutage> windows) {
    Map<String, Double> most = new HashMap<>();
    for (int bin = 0; bin < input.binCount(); bin++) {
      String[] states = states(input, windows, bin);
      for (Set<String> failed : failures(input)) {
        loads(input, states, bin, failed, new HashMap<>())
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
      String[] states,
      int bin,
      Set<String> failed,
      Map<Breach, Double> breaches) {
    Map<String, Double> loads = new HashMap<>();
    for (int r = 0; r < input.ranges().size(); r++) {
      KeyRange range = input.ranges().get(r);
      List<String> edges = remaining(input, range.edges(), states, failed);
      List<String> fills = remaining(input, range.fills(), states, failed);
      String subject = "range " + r;
      if (edges.isEmpty()) {
        breaches.put(new Breach(Shortage.Kind.NO_EDGE, subject, bin, failed), 1.0);
      } else if (fills.isEmpty() && (!input.rules().siblingFill() || edges.size() < 2)) {
        breaches.put(new Breach(Shortage.Kind.NO_FILL_SOURCE, subject, bin, failed), 1.0);
      }
      double requests = range.share() * input.load().get(range.location())[bin];
      boolean cold = range.edges().stream().anyMatch(e -> states[e].equals("cold"));
      double filled =
          requests
              * Math.min(1, input.rules().missRatio() + (cold ? input.rules().coldShare() : 0));
      edges.stream().limit(1).forEach(e -> loads.merge(e, requests, Double::sum));
      fills.stream().limit(1).forEach(f -> loads.merge(f, filled, Double::sum));
    }
    return loads;
  }

  private static List<String> remaining(
      PlanningInput input, List<Integer> ranked, String[] states, Set<String> failed) {
    return ranked.stream()
        .filter(c -> states[c].equals("in"))
        .map(c -> input.caches().get(c).name())
        .filter(c -> !failed.contains(c))
        .toList();
  }

  private static String[] states(PlanningInput input, List<ScheduledOutage> windows, int bin) {
    return input.caches().stream().map(c -> states(input, windows, c, bin)).toArray(String[]::new);
  }

  private static String states(
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
