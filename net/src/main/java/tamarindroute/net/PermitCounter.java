package tamarindroute.net;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * A non-blocking counting semaphore. A failed acquisition is never counted, so it cannot make
 * another one fail.
 */
class PermitCounter {

  private final int maxPermits;
  private final AtomicInteger acquired = new AtomicInteger();

  /** Creates a counter with all permits available. */
  PermitCounter(int maxPermits) {
    this.maxPermits = maxPermits;
  }

  /** Acquires a permit if one is available; on any thread. */
  boolean tryAcquire() {
    int current = acquired.get();
    while (current < maxPermits && !acquired.compareAndSet(current, current + 1)) {
      current = acquired.get();
    }
    return current < maxPermits;
  }

  /** The number of permits in use; on any thread. */
  int acquired() {
    return acquired.get();
  }

  /** Returns a permit; on any thread. */
  void release() {
    acquired.decrementAndGet();
  }
}
