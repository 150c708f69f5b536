package tamarindroute.faultinjection;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import tamarindroute.faultinjection.InvariantCheck.Violation;

/**
 * Runs the scenarios of a range of seeds from the command line, in the repository's root. System
 * properties:
 *
 * <ul>
 *   <li>{@code seeds}: FROM-TO;
 *   <li>{@code ms}: duration of each scenario in milliseconds;
 *   <li>{@code faults}: NAME,... or {@code none}; without it a subset of all, drawn by the seed;
 *   <li>{@code without}: NAME,... of faults to leave out;
 *   <li>{@code out}: folder for configurations, output and journals;
 *   <li>{@code side}: number of scenarios at the same time.
 * </ul>
 *
 * <p>With several scenarios at the same time, a gateway may get the port of another scenario's
 * cache that refuses connections, and its warm-up may then answer there with unexpected bytes.
 */
final class SeedRunner {

  private static final int MAX_PRINTED_VIOLATIONS = 12;

  private final long runMillis = Long.getLong("ms", 4000);
  private final String faultNames = System.getProperty("faults", "");
  private final String excludedNames = System.getProperty("without", "");
  private final Path out = Path.of(System.getProperty("out", System.getProperty("java.io.tmpdir")));

  /** Number of violations by check, and of scenarios that failed to run. */
  private final Map<String, Integer> counts = new TreeMap<>();

  private SeedRunner() {}

  /** Runs all seeds; the exit code is 1 if there were violations. */
  public static void main(String[] arguments) throws InterruptedException {
    String[] range = System.getProperty("seeds", "1-10").split("-", -1);
    long first = Long.parseLong(range[0]);
    long last = Long.parseLong(range[range.length - 1]);
    SeedRunner runner = new SeedRunner();
    runner.runAll(first, last, Integer.getInteger("side", 1));
    System.out.println("violations " + runner.counts);
    System.exit(runner.counts.isEmpty() ? 0 : 1);
  }

  private void runAll(long first, long last, int threadCount) throws InterruptedException {
    AtomicLong next = new AtomicLong(first);
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < threadCount; i++) {
      Thread thread = new Thread(() -> runSeeds(next, last));
      thread.start();
      threads.add(thread);
    }
    for (Thread thread : threads) {
      thread.join();
    }
  }

  private void runSeeds(AtomicLong next, long last) {
    long seed = next.getAndIncrement();
    while (seed <= last) {
      runSeed(seed);
      seed = next.getAndIncrement();
    }
  }

  private void runSeed(long seed) {
    try {
      Set<Fault> faults = faults(seed);
      Path folder = Files.createDirectories(out.resolve("play-" + seed));
      Journal journal = ScenarioRun.execute(seed, faults, folder, runMillis);
      List<Violation> violations = InvariantChecks.violations(journal);
      violations.forEach(violation -> count(violation.check()));
      String report = report(seed, faults, journal, violations);
      writeFiles(folder, journal, violations, report);
      System.out.println(report);
    } catch (Exception e) {
      System.out.println("seed " + seed + " failed to run: " + e);
      count("not run");
    }
  }

  private synchronized void count(String what) {
    counts.merge(what, 1, Integer::sum);
  }

  private Set<Fault> faults(long seed) {
    Set<Fault> faults = EnumSet.noneOf(Fault.class);
    if (faultNames.isEmpty()) {
      faults.addAll(randomSubset(seed, EnumSet.allOf(Fault.class)));
    } else {
      for (String name : faultNames.split(",", -1)) {
        if (!name.equals("none")) {
          faults.add(Fault.valueOf(name));
        }
      }
    }
    List<String> excluded = List.of(excludedNames.split(",", -1));
    faults.removeIf(fault -> excluded.contains(fault.name()));
    return faults;
  }

  /** A subset of random size, so that faults are met alone and in combination. */
  private static Set<Fault> randomSubset(long seed, Set<Fault> candidates) {
    SplittableRandom random = new SplittableRandom(seed ^ 0x5eed);
    double probability = 0.1 + 0.6 * random.nextDouble();
    Set<Fault> subset = EnumSet.noneOf(Fault.class);
    candidates.stream().filter(fault -> random.nextDouble() < probability).forEach(subset::add);
    return subset;
  }

  private static String report(
      long seed, Set<Fault> faults, Journal journal, List<Violation> violations) {
    StringBuilder report = new StringBuilder();
    report.append(
        String.format(
            "seed %d %s, %d requests, %d attempts, %d responses, allowance %d ms: %d violations",
            seed,
            faults,
            journal.eventsOf(EventKind.REQUEST_SENT).size(),
            journal.eventsOf(EventKind.ATTEMPT_RECEIVED).size(),
            journal.eventsOf(EventKind.RESPONSE_RECEIVED).size(),
            journal.allowance() / Journal.NANOS_PER_MS,
            violations.size()));
    violations.stream()
        .limit(MAX_PRINTED_VIOLATIONS)
        .forEach(violation -> report.append("\n    ").append(violation));
    return report.toString();
  }

  private static void writeFiles(
      Path folder, Journal journal, List<Violation> violations, String report) throws IOException {
    Files.writeString(
        folder.resolve("journal.txt"),
        String.join("\n", journal.events().stream().map(journal::format).toList()));
    Files.writeString(
        folder.resolve("violations.txt"),
        report + "\n" + InvariantChecks.describe(journal, violations));
  }
}
