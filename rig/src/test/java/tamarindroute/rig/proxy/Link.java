package tamarindroute.rig.proxy;

import java.time.Duration;

/** One directed link. Faults are set from any thread; random draws are the loop thread's only. */
final class Link {

  private volatile LinkFaults faults = LinkFaults.NONE;
  private final DeterministicRandom random;

  Link(long seed, String name) {
    random = new DeterministicRandom(seed, name);
  }

  LinkFaults faults() {
    return faults;
  }

  void setFaults(LinkFaults faults) {
    this.faults = faults;
  }

  boolean isCut() {
    return faults.cut();
  }

  /** Draws whether the next datagram is lost. */
  boolean isLost() {
    return faults.loss() > 0 && random.next() < faults.loss();
  }

  /** Draws whether the next datagram is duplicated. */
  boolean isDuplicated() {
    return faults.duplication() > 0 && random.next() < faults.duplication();
  }

  /** Draws the delay of the next datagram. */
  long delayNanos() {
    Duration jitter = faults.jitter();
    long extra = jitter.isZero() ? 0 : (long) (jitter.toNanos() * random.next());
    return faults.delay().toNanos() + extra;
  }
}
