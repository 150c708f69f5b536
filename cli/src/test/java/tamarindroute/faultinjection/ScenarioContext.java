package tamarindroute.faultinjection;

import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * State that all simulated peers of one scenario share: the journal, the active faults, random
 * numbers by the seed, the versions of objects, and a scheduler.
 */
final class ScenarioContext {

  /** Deduplication window of the keyed request classes. */
  static final int DEDUPLICATION_WINDOW_MS = 300;

  /** Time after which no request may go to a cache that the feed reported as draining or gone. */
  static final int DRAIN_GRACE_MS = 500;

  /** Time after which no copy from before a purge may be served. */
  static final int PURGE_GRACE_MS = 1000;

  /** Time for which attempts have to exclude copies from before a purge. */
  static final int PURGE_EFFECT_MS = 6000;

  /** Deadline of all request classes. */
  static final int LONGEST_DEADLINE_MS = 3000;

  private static final int SCHEDULER_THREADS = 24;
  private static final int CELLS = 2;

  final Journal journal = new Journal();
  final Set<Fault> faults;
  final long seed;

  /** Probability that a faulty cache injects a fault into a request. */
  final double faultProbability;

  /** Whether the settings allow a second concurrent attempt of a request. */
  final boolean secondCopies;

  /** When the program was sent SIGTERM, by {@link System#nanoTime}; 0 before. */
  volatile long terminatedAt;

  /** Whether the scenario is over and all peers stop. */
  volatile boolean finished;

  private final ScheduledExecutorService scheduler =
      Executors.newScheduledThreadPool(
          SCHEDULER_THREADS,
          work -> {
            Thread thread = new Thread(work, "scheduler");
            thread.setDaemon(true);
            return thread;
          });
  private final Map<String, AtomicInteger> versions = new ConcurrentHashMap<>();
  private final AtomicInteger attemptCounter = new AtomicInteger();

  ScenarioContext(long seed, Set<Fault> faults) {
    this.seed = seed;
    this.faults = faults;
    SplittableRandom random = random("world");
    this.faultProbability = 0.1 + 0.5 * random.nextDouble();
    this.secondCopies = random.nextInt(4) == 0;
  }

  /** A generator for one purpose; the same sequence for the same seed and purpose. */
  SplittableRandom random(String purpose) {
    return new SplittableRandom(seed * 1_000_003 + purpose.hashCode()).split();
  }

  boolean isActive(Fault fault) {
    return faults.contains(fault);
  }

  /** A number for an attempt that a cache received; unique in the scenario. */
  int nextAttemptNumber() {
    return attemptCounter.incrementAndGet();
  }

  /** The current version of an object, from 0. */
  int version(String object) {
    return versions.computeIfAbsent(object, id -> new AtomicInteger()).get();
  }

  void publishNewVersion(String object) {
    versions.computeIfAbsent(object, id -> new AtomicInteger()).incrementAndGet();
  }

  /** The cell that the configuration assigns to a cache. */
  static int cellOf(String cache) {
    return Math.floorMod(cache.hashCode(), CELLS);
  }

  /** Runs work after a delay, unless the scenario is over by now. The work has no result. */
  @SuppressWarnings("FutureReturnValueIgnored")
  void schedule(long millis, Runnable work) {
    if (!finished) {
      scheduler.schedule(work, millis, TimeUnit.MILLISECONDS);
    }
  }

  void shutDownScheduler() {
    scheduler.shutdownNow();
  }
}
