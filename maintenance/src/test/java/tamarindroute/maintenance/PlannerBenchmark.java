package tamarindroute.maintenance;

import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * Prints how long planning takes, how good plans are, and the effect of a location's night in
 * batches, one by one and in random order. Arguments: the number of small inputs; a second one of
 * any value skips the times.
 */
public final class PlannerBenchmark {
  private static final int OUTAGE_BINS = 3;

  /** An outage and the warm-up after it. */
  private static final int ROUND_BINS = 5;

  private PlannerBenchmark() {}

  /** Runs all measurements. */
  public static void main(String[] args) {
    if (args.length < 2) {
      time();
    }
    quality(args.length > 0 ? Integer.parseInt(args[0]) : 300);
    for (int seed = 1; seed <= 3; seed++) {
      night(seed);
    }
  }

  /**
   * Processor time of the thread in nanoseconds, so that other work on the machine does not count.
   */
  private static long processorNanos() {
    return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
  }

  static PlanningInput large(long seed) {
    return SampleInputs.input(
        seed,
        new SampleInputs.Shape(10, 95, 50, 5, 4096, 4, 192, 0.9),
        new CoverageRules(
            Set.of(CoverageRules.Failure.values()), 0.2, 0.1, Duration.ofMinutes(30), true));
  }

  /** Every edge of every location, from midnight on, within two days. */
  static List<MaintenanceRequest> all(PlanningInput input) {
    List<MaintenanceRequest> requests = new ArrayList<>();
    for (int l = 0; l < 10; l++) {
      requests.add(
          MaintenanceRequest.forShare(
              "all-" + l,
              "l" + l,
              1,
              Duration.ofMinutes(45),
              Duration.ZERO,
              SampleInputs.bins(input.binCount())));
    }
    return requests;
  }

  private static void time() {
    PlanningInput input = large(1);
    List<MaintenanceRequest> requests = all(input);
    double[] millis = new double[15];
    Plan plan = null;
    for (int i = 0; i < millis.length; i++) {
      long start = processorNanos();
      plan = Planner.plan(input, List.of(), requests);
      millis[i] = (processorNanos() - start) / 1e6;
    }
    double first = millis[0];
    Arrays.sort(millis);
    System.out.printf(
        "plan: %d caches, %d ranges, %d bins, processor time: first %.0f ms, median %.0f ms,"
            + " worst %.0f ms; %d batches,"
            + " %d rejections%n",
        input.caches().size(),
        input.ranges().size(),
        input.binCount(),
        first,
        millis[7],
        millis[14],
        plan.batches().size(),
        plan.rejections().size());
    plan.rejections().forEach(r -> System.out.println("  rejected: " + r));
  }

  private static void quality(int inputs) {
    List<Double> factors = new ArrayList<>();
    int infeasible = 0;
    int missed = 0;
    for (int seed = 1; seed <= inputs; seed++) {
      PlanningInput input = SampleInputs.small(seed);
      int length = 1 + seed % 2;
      List<String> edges = SampleInputs.edges(input, "l0");
      int best = new BruteForce(input, edges, length).end();
      Plan plan =
          Planner.plan(input, List.of(), List.of(SampleInputs.request(input, edges, length)));
      if (best == Integer.MAX_VALUE) {
        infeasible++;
      } else if (!plan.rejections().isEmpty()) {
        missed++;
        System.out.println("missed: seed " + seed + ", best " + best + ": " + plan.rejections());
      } else {
        factors.add((double) end(plan) / best);
        if (end(plan) > best * 1.3) {
          System.out.println("far: seed " + seed + ", best " + best + ", planned " + end(plan));
        }
      }
    }
    Collections.sort(factors);
    System.out.printf(
        "quality: %d inputs: no plan %d, missed %d, planned %d: factor median %.2f, 95%% %.2f, worst %.2f,"
            + " best met %d%n",
        inputs,
        infeasible,
        missed,
        factors.size(),
        factors.get(factors.size() / 2),
        factors.get((int) (factors.size() * 0.95)),
        factors.get(factors.size() - 1),
        factors.stream().filter(f -> f < 1.0001).count());
  }

  static int end(Plan plan) {
    return plan.batches().stream()
        .mapToInt(b -> (int) b.end().dividedBy(SampleInputs.BIN))
        .max()
        .orElse(0);
  }

  private static void night(long seed) {
    PlanningInput input =
        SampleInputs.input(
            seed,
            new SampleInputs.Shape(1, 24, 6, 3, 256, 4, 144, 0.9),
            new CoverageRules(
                Set.of(CoverageRules.Failure.values()), 0.2, 0.1, Duration.ofMinutes(30), true));
    List<String> edges = SampleInputs.edges(input, "l0");
    Plan plan =
        Planner.plan(input, List.of(), List.of(SampleInputs.request(input, edges, OUTAGE_BINS)));
    List<ScheduledOutage> batches = NaiveChecker.outages(plan);
    report("batches", seed, input, batches);
    report("one by one", seed, input, outages(edges, 1));
    // As many caches at once as the plan has on average, in random order.
    int rounds = (int) Math.ceil((end(plan) + 2) / (double) ROUND_BINS);
    int size = (int) Math.ceil((double) edges.size() / rounds);
    List<String> shuffled = new ArrayList<>(edges);
    Collections.shuffle(shuffled, new Random(seed));
    report("random order", seed, input, outages(shuffled, size));
  }

  /** Outages of groups of some size, each after the previous group is warm. */
  private static List<ScheduledOutage> outages(List<String> caches, int groupSize) {
    List<ScheduledOutage> outages = new ArrayList<>();
    for (int i = 0; i < caches.size(); i++) {
      long start = (long) ROUND_BINS * (i / groupSize);
      outages.add(
          new ScheduledOutage(
              caches.get(i), SampleInputs.bins(start), SampleInputs.bins(start + OUTAGE_BINS)));
    }
    return outages;
  }

  private static void report(
      String label, long seed, PlanningInput input, List<ScheduledOutage> windows) {
    int end =
        windows.stream().mapToInt(w -> (int) w.end().dividedBy(SampleInputs.BIN)).max().orElse(0);
    double spare = 1;
    Map<String, Double> loads = NaiveChecker.loads(input, windows);
    for (Cache cache : input.caches()) {
      double load = loads.getOrDefault(cache.name(), 0.0);
      spare = Math.min(spare, 1 - load / cache.capacity());
    }
    int uncovered =
        (int)
            NaiveChecker.harm(input, List.of(), windows).stream()
                .filter(breach -> breach.getKey().kind() == Shortage.Kind.NO_EDGE)
                .count();
    System.out.printf(
        "night, seed %d, %s: %.2f h, least spare capacity with one further failure %.2f, uncovered range-bins %d%n",
        seed, label, end / 4.0, spare, uncovered);
  }
}
