package tamarindroute.log;

import static tamarindroute.Interleavings.require;

import org.junit.jupiter.api.Test;
import tamarindroute.Interleavings;

/**
 * Two threads log a line of one topic: one is admitted, and the next reports the other as
 * suppressed.
 */
class LogRateLimiterRaceTest {

  private static class CountingClock extends LogRateLimiter {
    private long time = 5_000;

    @Override
    synchronized long currentTimeMillis() {
      return time++;
    }
  }

  /** Seeded fault: reads the time before it takes the lock. */
  private static final class ReadsTimeBeforeLock extends CountingClock {
    // The missing lock is the seeded fault.
    @SuppressWarnings("UnsynchronizedOverridesSynchronized")
    @Override
    int admit(String topic) {
      return admit(topic, currentTimeMillis());
    }
  }

  /** Seeded fault: reads and writes its count in two steps. */
  private static final class WithoutLock extends CountingClock {
    private long last;
    private int suppressed;

    // The missing lock is the seeded fault.
    @SuppressWarnings("UnsynchronizedOverridesSynchronized")
    @Override
    int admit(String topic) {
      return admit(topic, currentTimeMillis());
    }

    @Override
    int admit(String topic, long now) {
      if (now - last < 1_000) {
        suppressed++;
        return -1;
      }
      int before = suppressed;
      last = now;
      suppressed = 0;
      return before;
    }
  }

  private static void logFromTwoThreads(LogRateLimiter limiter) {
    int[] passed = new int[2];
    Interleavings.runConcurrently(
        () -> passed[0] = limiter.admit("a"), () -> passed[1] = limiter.admit("a"));
    require(passed[0] + passed[1] == -1, "one line is admitted");
    require(limiter.admit("a", 7_000) == 1, "the other is counted as suppressed");
  }

  @Test
  void oneLinePerSecondAndTheOthersAreCounted() {
    Interleavings.assertHolds(() -> logFromTwoThreads(new CountingClock()));
  }

  @Test
  void aTimeReadBeforeTheLockIsFound() {
    Interleavings.assertFails(() -> logFromTwoThreads(new ReadsTimeBeforeLock()));
  }

  @Test
  void aLimiterWithoutALockIsFound() {
    Interleavings.assertFails(() -> logFromTwoThreads(new WithoutLock()));
  }
}
