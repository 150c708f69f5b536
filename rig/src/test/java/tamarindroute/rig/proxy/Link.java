package tamarindroute.rig.proxy;

import java.time.Duration;

/**
 * One directed way: its fault as it stands, and its draws, which only the proxies' thread makes.
 */
final class Link {

  volatile LinkFaults faults = LinkFaults.NONE;
  private final DeterministicRandom random;

  Link(long seed, String name) {
    random = new DeterministicRandom(seed, name);
  }

  boolean isCut() {
    return faults.cut();
  }

  boolean isLost() {
    return faults.loss() > 0 && random.next() < faults.loss();
  }

  boolean isDuplicated() {
    return faults.duplication() > 0 && random.next() < faults.duplication();
  }

  long delayNanos() {
    Duration jitter = faults.jitter();
    return faults.delay().toNanos()
        + (jitter.isZero() ? 0 : (long) (jitter.toNanos() * random.next()));
  }
}
