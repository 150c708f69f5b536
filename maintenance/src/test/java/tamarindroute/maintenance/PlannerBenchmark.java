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
 * Prints the duration of planning, the quality of plans in comparison with the optimum, and the
 * effects of maintenance of all edges of a location in planned batches, one by one and in random
 * order.
 *
 * <p>Arguments: the number of small inputs; a second argument of any value skips the durations.
 */
public final class PlannerBenchmark {
  private static final int OUTAGE_BINS = 3;

  /** Bins of an outage and the warm-up after it. */
  private static final int ROUND_BINS = 5;

  private PlannerBenchmark() {}

  /** Runs all measurements. */
  public static void main(String[] args) {
    if (args.length < 2) {
      measureDuration();
    }
    measureQuality(args.length > 0 ? Integer.parseInt(args[0]) : 300);
    for (int seed = 1; seed <= 3; seed++) {
      measureNight(seed);
    }
  }

  /**
   * Returns the processor time of the thread in nanoseconds, so that other load on the machine is
   * not included.
   */
  private static long processorNanos() {
    return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
  }

  static PlanningInput largeInput(long seed) {
    return SampleInputs.input(
        seed,
        new SampleInputs.Shape(10, 95, 50, 5, 4096, 4, 192, 0.9),
        new CoverageRules(
            Set.of(CoverageRules.Failure.values()), 0.2, 0.1, Duration.ofMinutes(30), true));
  }

  /** Returns requests for every edge of every location, within two days from midnight. */
  static List<MaintenanceRequest> requestsForAllEdges(PlanningInput input) {
    List<MaintenanceRequest> requests = new ArrayList<>();
    for (int location = 0; location < 10; location++) {
      requests.add(
          MaintenanceRequest.forShare(
              "all-" + location,
              "l" + location,
              1,
              Duration.ofMinutes(45),
              Duration.ZERO,
              SampleInputs.bins(input.binCount())));
    }
    return requests;
  }

  private static void measureDuration() {
    PlanningInput input = largeInput(1);
    List<MaintenanceRequest> requests = requestsForAllEdges(input);
    double[] millis = new double[15];
    Plan plan = null;
    for (int run = 0; run < millis.length; run++) {
      long start = processorNanos();
      plan = Planner.plan(input, List.of(), requests);
      millis[run] = (processorNanos() - start) / 1e6;
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
    plan.rejections().forEach(rejection -> System.out.println("  rejected: " + rejection));
  }

  private static void measureQuality(int inputs) {
    List<Double> factors = new ArrayList<>();
    int infeasible = 0;
    int missed = 0;
    for (int seed = 1; seed <= inputs; seed++) {
      PlanningInput input = SampleInputs.small(seed);
      int length = 1 + seed % 2;
      List<String> edges = SampleInputs.edges(input, "l0");
      int best = new BruteForce(input, edges, length).earliestEnd();
      Plan plan =
          Planner.plan(input, List.of(), List.of(SampleInputs.request(input, edges, length)));
      if (best == Integer.MAX_VALUE) {
        infeasible++;
      } else if (!plan.rejections().isEmpty()) {
        missed++;
        System.out.println("missed: seed " + seed + ", best " + best + ": " + plan.rejections());
      } else {
        factors.add((double) endBin(plan) / best);
        if (endBin(plan) > best * 1.3) {
          System.out.println("far: seed " + seed + ", best " + best + ", planned " + endBin(plan));
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
        factors.stream().filter(factor -> factor < 1.0001).count());
  }

  /** Returns the last bin at whose start an outage of the plan ends, or 0 without outages. */
  static int endBin(Plan plan) {
    return plan.batches().stream()
        .mapToInt(batch -> (int) batch.end().dividedBy(SampleInputs.BIN_LENGTH))
        .max()
        .orElse(0);
  }

  private static void measureNight(long seed) {
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
    // Groups in random order, as many caches in each group as the plan has on average.
    int rounds = (int) Math.ceil((endBin(plan) + 2) / (double) ROUND_BINS);
    int size = (int) Math.ceil((double) edges.size() / rounds);
    List<String> shuffled = new ArrayList<>(edges);
    Collections.shuffle(shuffled, new Random(seed));
    report("random order", seed, input, outages(shuffled, size));
  }

  /** Returns outages of groups of caches, each of which starts when the previous group is warm. */
  private static List<ScheduledOutage> outages(List<String> caches, int groupSize) {
    List<ScheduledOutage> outages = new ArrayList<>();
    for (int index = 0; index < caches.size(); index++) {
      long start = (long) ROUND_BINS * (index / groupSize);
      outages.add(
          new ScheduledOutage(
              caches.get(index), SampleInputs.bins(start), SampleInputs.bins(start + OUTAGE_BINS)));
    }
    return outages;
  }

  private static void report(
      String label, long seed, PlanningInput input, List<ScheduledOutage> outages) {
    int end =
        outages.stream()
            .mapToInt(outage -> (int) outage.end().dividedBy(SampleInputs.BIN_LENGTH))
            .max()
            .orElse(0);
    double spare = 1;
    Map<String, Double> loads = NaiveChecker.maxLoads(input, outages);
    for (Cache cache : input.caches()) {
      double load = loads.getOrDefault(cache.name(), 0.0);
      spare = Math.min(spare, 1 - load / cache.capacity());
    }
    int uncovered =
        (int)
            NaiveChecker.worsenedBreaches(input, List.of(), outages).stream()
                .filter(breach -> breach.getKey().kind() == Shortage.Kind.NO_EDGE)
                .count();
    System.out.printf(
        "night, seed %d, %s: %.2f h, least spare capacity with one further failure %.2f, uncovered range-bins %d%n",
        seed, label, end / 4.0, spare, uncovered);
  }
}
