package tamarindroute.net;

import static tamarindroute.Interleavings.require;

import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import tamarindroute.Interleavings;

/**
 * Permits acquired and released by two threads: never one too many, and none refused while one is
 * available.
 */
class PermitCounterRaceTest {

  /** Seeded fault: a refused acquisition counts for a moment. */
  private static final class IncrementsThenDecrements extends PermitCounter {
    private final AtomicInteger in = new AtomicInteger();

    IncrementsThenDecrements() {
      super(1);
    }

    @Override
    boolean tryAcquire() {
      if (in.incrementAndGet() > 1) {
        in.decrementAndGet();
        return false;
      }
      return true;
    }

    @Override
    void release() {
      in.decrementAndGet();
    }
  }

  /** Seeded fault: checks the count, then increments it. */
  private static final class ChecksThenIncrements extends PermitCounter {
    private volatile int in;

    ChecksThenIncrements() {
      super(1);
    }

    // The update in two steps is the seeded fault.
    @SuppressWarnings("NonAtomicVolatileUpdate")
    @Override
    boolean tryAcquire() {
      if (in >= 1) {
        return false;
      }
      in = in + 1;
      return true;
    }

    // The update in two steps is the seeded fault.
    @SuppressWarnings("NonAtomicVolatileUpdate")
    @Override
    void release() {
      in = in - 1;
    }
  }

  /** Two threads try to acquire the last permit. */
  private static void acquireLastFromTwoThreads(PermitCounter permits) {
    boolean[] acquired = new boolean[2];
    Interleavings.runConcurrently(
        () -> acquired[0] = permits.tryAcquire(), () -> acquired[1] = permits.tryAcquire());
    require(acquired[0] ^ acquired[1], "one thread has the permit");
    require(!permits.tryAcquire(), "no permit is left");
    permits.release();
    require(permits.tryAcquire(), "a released permit can be acquired");
  }

  /** One thread tries to acquire while the other releases the only permit and acquires again. */
  private static void acquireBesideRelease(PermitCounter permits) {
    permits.tryAcquire();
    boolean[] acquired = new boolean[2];
    Interleavings.runConcurrently(
        () -> acquired[0] = permits.tryAcquire(),
        () -> {
          permits.release();
          acquired[1] = permits.tryAcquire();
        });
    require(acquired[0] ^ acquired[1], "the released permit goes to one thread");
  }

  @Test
  void theLastPermitGoesToOneThread() {
    Interleavings.assertHolds(() -> acquireLastFromTwoThreads(new PermitCounter(1)));
  }

  @Test
  void aReleasedPermitCanBeAcquiredAtOnce() {
    Interleavings.assertHolds(() -> acquireBesideRelease(new PermitCounter(1)));
  }

  @Test
  void incrementThenDecrementIsFound() {
    Interleavings.assertFails(() -> acquireBesideRelease(new IncrementsThenDecrements()));
  }

  @Test
  void checkThenIncrementIsFound() {
    Interleavings.assertFails(() -> acquireLastFromTwoThreads(new ChecksThenIncrements()));
  }
}
