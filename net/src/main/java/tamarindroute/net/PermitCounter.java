package tamarindroute.net;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Owns how many are in at once, counted on any thread. It must never let in one too many, nor
 * refuse one because another was just refused.
 */
class PermitCounter {

  private final int maxPermits;
  private final AtomicInteger acquired = new AtomicInteger();

  PermitCounter(int maxPermits) {
    this.maxPermits = maxPermits;
  }

  /** Whether one more is in now; what is refused is never counted, not even for a moment. */
  boolean tryAcquire() {
    int current = acquired.get();
    while (current < maxPermits && !acquired.compareAndSet(current, current + 1)) {
      current = acquired.get();
    }
    return current < maxPermits;
  }

  void release() {
    acquired.decrementAndGet();
  }
}
