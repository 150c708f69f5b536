package tamarindroute.net;

import static tamarindroute.Interleavings.must;

import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import tamarindroute.Interleavings;

/**
 * The bound of what waits for the owner: never one too many, never one refused while there is room.
 */
class PermitCounterRaceTest {

  /** As it was: whoever is refused counts for a moment. */
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

  /** Looks, then counts. */
  private static final class ChecksThenIncrements extends PermitCounter {
    private volatile int in;

    ChecksThenIncrements() {
      super(1);
    }

    @Override
    boolean tryAcquire() {
      if (in >= 1) {
        return false;
      }
      in = in + 1;
      return true;
    }

    @Override
    void release() {
      in = in - 1;
    }
  }

  /** Both try for the last place. */
  private static void acquireLastFromTwoThreads(PermitCounter permits) {
    boolean[] acquired = new boolean[2];
    Interleavings.beside(
        () -> acquired[0] = permits.tryAcquire(), () -> acquired[1] = permits.tryAcquire());
    must(acquired[0] ^ acquired[1], "one of both is in");
    must(!permits.tryAcquire(), "none is left");
    permits.release();
    must(permits.tryAcquire(), "a place that is left can be had");
  }

  /** One is refused, or not, while the only one in leaves and comes again. */
  private static void acquireBesideRelease(PermitCounter permits) {
    permits.tryAcquire();
    boolean[] acquired = new boolean[2];
    Interleavings.beside(
        () -> acquired[0] = permits.tryAcquire(),
        () -> {
          permits.release();
          acquired[1] = permits.tryAcquire();
        });
    must(acquired[0] ^ acquired[1], "the place that was left goes to one of both");
  }

  @Test
  void theLastPermitGoesToOneThread() {
    Interleavings.hold(() -> acquireLastFromTwoThreads(new PermitCounter(1)));
  }

  @Test
  void aReleasedPermitCanBeAcquiredAtOnce() {
    Interleavings.hold(() -> acquireBesideRelease(new PermitCounter(1)));
  }

  @Test
  void incrementThenDecrementIsFound() {
    Interleavings.fail(() -> acquireBesideRelease(new IncrementsThenDecrements()));
  }

  @Test
  void checkThenIncrementIsFound() {
    Interleavings.fail(() -> acquireLastFromTwoThreads(new ChecksThenIncrements()));
  }
}
