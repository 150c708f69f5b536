package tamarindroute.windows;

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
 * Prints label long plans take, label good they are, and a location's night in batches, one by one
 * and in random order.
 */
public final class PlannerBenchmark {
  private PlannerBenchmark() {}

  public static void main(String[] args) {
    if (args.length < 2) {
      time();
    }
    quality(args.length > 0 ? Integer.parseInt(args[0]) : 300);
    for (int seed = 1; seed <= 3; seed++) {
      night(seed);
    }
  }

  /** What the thread has used: other work on the machine doesn't count. */
  private static long cpu() {
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
              SampleInputs.BIN.multipliedBy(input.binCount())));
    }
    return requests;
  }

  private static void time() {
    PlanningInput input = large(1);
    List<MaintenanceRequest> requests = all(input);
    double[] took = new double[15];
    Plan plan = null;
    for (int i = 0; i < took.length; i++) {
      long start = cpu();
      plan = Planner.plan(input, List.of(), requests);
      took[i] = (cpu() - start) / 1e6;
    }
    double first = took[0];
    Arrays.sort(took);
    System.out.printf(
        "plan: %d caches, %d ranges, %d bins, processor time: first %.0f ms, median %.0f ms,"
            + " worst %.0f ms; %d batches,"
            + " %d refusals%n",
        input.caches().size(),
        input.ranges().size(),
        input.binCount(),
        first,
        took[7],
        took[14],
        plan.batches().size(),
        plan.rejections().size());
    plan.rejections().forEach(r -> System.out.println("  refused: " + r));
  }

  private static void quality(int worlds) {
    List<Double> factors = new ArrayList<>();
    int none = 0;
    int missed = 0;
    for (int seed = 1; seed <= worlds; seed++) {
      PlanningInput input = SampleInputs.small(seed);
      int length = 1 + seed % 2;
      List<String> edges = SampleInputs.edges(input, "l0");
      int best = new BruteForce(input, edges, length).end();
      Plan plan =
          Planner.plan(input, List.of(), List.of(SampleInputs.request(input, edges, length)));
      if (best == Integer.MAX_VALUE) {
        none++;
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
        "quality: %d worlds: no plan %d, missed %d, planned %d: factor median %.2f, 95%% %.2f, worst %.2f,"
            + " best met %d%n",
        worlds,
        none,
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
    Plan plan = Planner.plan(input, List.of(), List.of(SampleInputs.request(input, edges, 3)));
    List<ScheduledOutage> batches = NaiveChecker.outages(plan);
    report("batches", seed, input, batches);
    List<ScheduledOutage> single = new ArrayList<>();
    for (int i = 0; i < edges.size(); i++) {
      single.add(
          new ScheduledOutage(
              edges.get(i),
              SampleInputs.BIN.multipliedBy(5L * i),
              SampleInputs.BIN.multipliedBy(5L * i + 3)));
    }
    report("one by one", seed, input, single);
    // As many at once as the plan has on average, whoever they are, each batch after the one before
    // is warm.
    int rounds = (int) Math.ceil((PlannerBenchmark.end(plan) + 2) / 5.0);
    int size = (int) Math.ceil((double) edges.size() / rounds);
    List<String> shuffled = new ArrayList<>(edges);
    Collections.shuffle(shuffled, new Random(seed));
    List<ScheduledOutage> random = new ArrayList<>();
    for (int i = 0; i < shuffled.size(); i++) {
      long start = 5L * (i / size);
      random.add(
          new ScheduledOutage(
              shuffled.get(i),
              SampleInputs.BIN.multipliedBy(start),
              SampleInputs.BIN.multipliedBy(start + 3)));
    }
    report("random order", seed, input, random);
  }

  private static void report(
      String label, long seed, PlanningInput input, List<ScheduledOutage> windows) {
    int end =
        windows.stream().mapToInt(w -> (int) w.end().dividedBy(SampleInputs.BIN)).max().orElse(0);
    double room = 1;
    Map<String, Double> loads = NaiveChecker.loads(input, windows);
    for (Cache cache : input.caches()) {
      double most = loads.getOrDefault(cache.name(), 0.0);
      room = Math.min(room, 1 - most / cache.capacity());
    }
    int uncovered =
        (int)
            NaiveChecker.harm(input, List.of(), windows).stream()
                .filter(breach -> breach.getKey().kind() == Shortage.Kind.NO_EDGE)
                .count();
    System.out.printf(
        "night, seed %d, %s: %.2f h, least room with one more failure %.2f, uncovered range-bins %d%n",
        seed, label, end / 4.0, room, uncovered);
  }
}
