package tamarindroute.net;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Owns how many are in at once, counted on any thread. It must never let in one too many, nor
 * refuse one because another was just refused.
 */
class Bound {

  private final int most;
  private final AtomicInteger in = new AtomicInteger();

  Bound(int most) {
    this.most = most;
  }

  /** Whether one more is in now; what is refused is never counted, not even for a moment. */
  boolean enter() {
    int now = in.get();
    while (now < most && !in.compareAndSet(now, now + 1)) {
      now = in.get();
    }
    return now < most;
  }

  void leave() {
    in.decrementAndGet();
  }
}
