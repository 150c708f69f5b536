package tamarindroute.log;

import static tamarindroute.Interleavings.must;

import org.junit.jupiter.api.Test;
import tamarindroute.Interleavings;

/** Two threads tell of one topic: one line leaves, and the next tells of the other. */
class LogRateLimiterRaceTest {

  private static class CountingClock extends LogRateLimiter {
    private long time = 5_000;

    @Override
    synchronized long currentTimeMillis() {
      return time++;
    }
  }

  /** As it was: the time read before the lock. */
  private static final class ReadsTimeBeforeLock extends CountingClock {
    @Override
    int admit(String topic) {
      return admit(topic, currentTimeMillis());
    }
  }

  /** Its count is read and set in two steps. */
  private static final class WithoutLock extends CountingClock {
    private long last;
    private int suppressed;

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
    Interleavings.beside(
        () -> passed[0] = limiter.admit("a"), () -> passed[1] = limiter.admit("a"));
    must(passed[0] + passed[1] == -1, "one line of both");
    must(limiter.admit("a", 7_000) == 1, "the other is counted");
  }

  @Test
  void oneLinePerSecondAndTheOthersAreCounted() {
    Interleavings.hold(() -> logFromTwoThreads(new CountingClock()));
  }

  @Test
  void aTimeReadBeforeTheLockIsFound() {
    Interleavings.fail(() -> logFromTwoThreads(new ReadsTimeBeforeLock()));
  }

  @Test
  void aLimiterWithoutALockIsFound() {
    Interleavings.fail(() -> logFromTwoThreads(new WithoutLock()));
  }
}
