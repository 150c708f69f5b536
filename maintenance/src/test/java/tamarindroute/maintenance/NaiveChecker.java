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
 * Reference implementation that finds shortages by evaluating every bin and every failure. It uses
 * only the planning input and shares no code with the planner.
 */
final class NaiveChecker {
  /** Ratio of load to capacity up to which a cache is not overloaded, to allow for rounding. */
  private static final double MAX_LOAD_RATIO = 1.000001;

  /**
   * A shortage.
   *
   * @param kind what is short
   * @param subject the name of the cache or the number of the key range
   * @param bin the bin in which the shortage exists
   * @param failed names of the caches that fail in addition to the outages
   */
  record Breach(Shortage.Kind kind, String subject, int bin, Set<String> failed) {}

  private NaiveChecker() {}

  /** Returns the shortages that planned outages add or make worse, with their amounts. */
  static List<Map.Entry<Breach, Double>> worsenedBreaches(
      PlanningInput input, List<ScheduledOutage> before, List<ScheduledOutage> planned) {
    List<ScheduledOutage> outages = new ArrayList<>(before);
    outages.addAll(planned);
    Map<Breach, Double> earlier = breaches(input, before);
    return breaches(input, outages).entrySet().stream()
        .filter(breach -> breach.getValue() > earlier.getOrDefault(breach.getKey(), 0.0) + 1e-9)
        .toList();
  }

  static List<ScheduledOutage> outages(Plan plan) {
    return plan.batches().stream()
        .flatMap(
            batch ->
                batch.caches().stream()
                    .map(cache -> new ScheduledOutage(cache, batch.start(), batch.end())))
        .toList();
  }

  static Map<Breach, Double> breaches(PlanningInput input, List<ScheduledOutage> outages) {
    Map<Breach, Double> found = new HashMap<>();
    for (int bin = 0; bin < input.binCount(); bin++) {
      found.putAll(breaches(input, outages, bin));
    }
    return found;
  }

  static Map<Breach, Double> breaches(PlanningInput input, List<ScheduledOutage> outages, int bin) {
    Map<Breach, Double> found = new HashMap<>();
    String[] states = states(input, outages, bin);
    for (Set<String> failed : failures(input)) {
      Map<String, Double> loads = loads(input, states, bin, failed, found);
      for (Cache cache : input.caches()) {
        double load = loads.getOrDefault(cache.name(), 0.0);
        if (load > cache.capacity() * MAX_LOAD_RATIO) {
          found.put(new Breach(Shortage.Kind.CAPACITY, cache.name(), bin, failed), load);
        }
      }
    }
    return found;
  }

  /** Returns the highest load of each cache over all bins and failures. */
  static Map<String, Double> maxLoads(PlanningInput input, List<ScheduledOutage> outages) {
    Map<String, Double> maxLoads = new HashMap<>();
    for (int bin = 0; bin < input.binCount(); bin++) {
      String[] states = states(input, outages, bin);
      for (Set<String> failed : failures(input)) {
        loads(input, states, bin, failed, new HashMap<>())
            .forEach((cache, load) -> maxLoads.merge(cache, load, Math::max));
      }
    }
    return maxLoads;
  }

  private static List<Set<String>> failures(PlanningInput input) {
    List<Set<String>> failures = new ArrayList<>(List.of(Set.of()));
    List<Cache> fallible =
        input.caches().stream().filter(cache -> cache.tier() != Cache.Tier.ORIGIN).toList();
    if (input.rules().toleratedFailures().contains(CoverageRules.Failure.CACHE)) {
      fallible.forEach(cache -> failures.add(Set.of(cache.name())));
    }
    if (input.rules().toleratedFailures().contains(CoverageRules.Failure.PARENT)) {
      fallible.stream()
          .filter(cache -> cache.tier() == Cache.Tier.PARENT)
          .forEach(cache -> failures.add(Set.of(cache.name())));
    }
    if (input.rules().toleratedFailures().contains(CoverageRules.Failure.HUB)) {
      fallible.stream()
          .map(Cache::hub)
          .filter(hub -> !hub.isEmpty())
          .distinct()
          .forEach(
              hub ->
                  failures.add(
                      fallible.stream()
                          .filter(cache -> cache.hub().equals(hub))
                          .map(Cache::name)
                          .collect(Collectors.toSet())));
    }
    return failures;
  }

  private static Map<String, Double> loads(
      PlanningInput input,
      String[] states,
      int bin,
      Set<String> failed,
      Map<Breach, Double> breaches) {
    Map<String, Double> loads = new HashMap<>();
    for (int index = 0; index < input.ranges().size(); index++) {
      KeyRange range = input.ranges().get(index);
      List<String> edges = remaining(input, range.edges(), states, failed);
      List<String> fills = remaining(input, range.fills(), states, failed);
      String subject = "range " + index;
      if (edges.isEmpty()) {
        breaches.put(new Breach(Shortage.Kind.NO_EDGE, subject, bin, failed), 1.0);
      } else if (fills.isEmpty() && (!input.rules().siblingFill() || edges.size() < 2)) {
        breaches.put(new Breach(Shortage.Kind.NO_FILL_SOURCE, subject, bin, failed), 1.0);
      }
      double requests = range.share() * input.load().get(range.location())[bin];
      boolean cold = range.edges().stream().anyMatch(edge -> states[edge].equals("cold"));
      double filled =
          requests
              * Math.min(1, input.rules().missRatio() + (cold ? input.rules().coldShare() : 0));
      edges.stream().limit(1).forEach(edge -> loads.merge(edge, requests, Double::sum));
      fills.stream().limit(1).forEach(source -> loads.merge(source, filled, Double::sum));
    }
    return loads;
  }

  private static List<String> remaining(
      PlanningInput input, List<Integer> ranked, String[] states, Set<String> failed) {
    return ranked.stream()
        .filter(cache -> states[cache].equals("in"))
        .map(cache -> input.caches().get(cache).name())
        .filter(name -> !failed.contains(name))
        .toList();
  }

  private static String[] states(PlanningInput input, List<ScheduledOutage> outages, int bin) {
    return input.caches().stream()
        .map(cache -> state(input, outages, cache, bin))
        .toArray(String[]::new);
  }

  private static String state(
      PlanningInput input, List<ScheduledOutage> outages, Cache cache, int bin) {
    Duration from = input.start().plus(input.binLength().multipliedBy(bin));
    Duration to = from.plus(input.binLength());
    List<ScheduledOutage> cacheOutages =
        outages.stream().filter(outage -> Objects.equals(outage.cache(), cache.name())).toList();
    if (cacheOutages.stream()
        .anyMatch(outage -> outage.start().compareTo(to) < 0 && outage.end().compareTo(from) > 0)) {
      return "out";
    }
    boolean cold =
        cacheOutages.stream()
            .anyMatch(
                outage ->
                    outage.end().compareTo(from) <= 0
                        && outage.end().plus(input.rules().warmUp()).compareTo(from) > 0);
    return cold
        ? "cold"
        : !cache.ready() ? "out" : cache.warmAt().compareTo(from) > 0 ? "cold" : "in";
  }
}
