package tamarindroute.endings;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * What all scripted peers of one play share: the journal, the faults that are on, chance by the
 * seed, and the versions of objects. It must never talk to the gateway.
 */
final class World {

  /** The classes of a play, as its settings tell them. */
  enum Lane {
    /** Reads, kept until purged. */
    clip(true, false, true),
    /** Keyed with a short window; repeats may go anywhere. */
    pick(false, true, true),
    /** At most once. */
    once(false, false, false),
    /** Keyed with a short window; repeats stay in the cell. */
    tied(false, true, false);

    final boolean idempotent;
    final boolean keyed;

    /** Whether a refusal is harmless though it may have run. */
    final boolean mayRefuse;

    Lane(boolean idempotent, boolean keyed, boolean mayRefuse) {
      this.idempotent = idempotent;
      this.keyed = keyed;
      this.mayRefuse = mayRefuse;
    }
  }

  static final int WINDOW_MS = 300;
  static final int DRAIN_GRACE_MS = 500;
  static final int PURGE_GRACE_MS = 1000;
  static final int GONE_EVERYWHERE_MS = 6000;
  static final int LONGEST_MS = 3000;

  final Journal journal = new Journal();
  final Set<Fault> faults;
  final long seed;

  /** How often a request meets a fault of its cache's. */
  final double rate;

  final boolean secondCopies;
  final ScheduledExecutorService later =
      Executors.newScheduledThreadPool(
          24,
          work -> {
            Thread thread = new Thread(work, "later");
            thread.setDaemon(true);
            return thread;
          });
  private final Map<String, AtomicInteger> versions = new ConcurrentHashMap<>();
  private final AtomicInteger attempts = new AtomicInteger();

  /** When the program was told to end; 0 before. */
  volatile long term;

  volatile boolean over;

  World(long seed, Set<Fault> faults) {
    this.seed = seed;
    this.faults = faults;
    SplittableRandom chance = chance("world");
    this.rate = 0.1 + 0.5 * chance.nextDouble();
    this.secondCopies = chance.nextInt(4) == 0;
  }

  /** Chance for one use, told apart by name; the same for the same seed. */
  SplittableRandom chance(String use) {
    return new SplittableRandom(seed * 1_000_003 + use.hashCode()).split();
  }

  boolean on(Fault fault) {
    return faults.contains(fault);
  }

  int attempt() {
    return attempts.incrementAndGet();
  }

  int version(String object) {
    return versions.computeIfAbsent(object, o -> new AtomicInteger()).get();
  }

  void renew(String object) {
    versions.computeIfAbsent(object, o -> new AtomicInteger()).incrementAndGet();
  }

  static int lot(String object) {
    return (int) (Long.parseUnsignedLong(object, 16) & 7);
  }

  static int length(String object, int piece) {
    return new int[] {0, 300, 2000, 20_000, 90_000, 5000, 1, 200}
        [(int) ((Long.parseUnsignedLong(object, 16) + piece) & 7)];
  }

  static List<String> objects() {
    return java.util.stream.IntStream.range(1, 25)
        .mapToObj(i -> String.format("%016x", 0xab00 + i))
        .toList();
  }

  void after(long ms, Runnable work) {
    if (!over) {
      later.schedule(work, ms, TimeUnit.MILLISECONDS);
    }
  }

  static Thread thread(String name, Runnable work) {
    Thread thread = new Thread(work, name);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  static void sleep(long ms) {
    try {
      TimeUnit.MILLISECONDS.sleep(Math.max(0, ms));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
