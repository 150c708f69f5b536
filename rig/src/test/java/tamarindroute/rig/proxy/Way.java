package tamarindroute.rig.proxy;

import java.time.Duration;

/**
 * One directed way: its fault as it stands, and its draws, which only the proxies' thread makes.
 */
final class Way {

  volatile Fault fault = Fault.NONE;
  private final Chance chance;

  Way(long seed, String name) {
    chance = new Chance(seed, name);
  }

  boolean cut() {
    return fault.cut();
  }

  boolean lost() {
    return fault.loss() > 0 && chance.draw() < fault.loss();
  }

  boolean doubled() {
    return fault.doubled() > 0 && chance.draw() < fault.doubled();
  }

  long delayNanos() {
    Duration jitter = fault.jitter();
    return fault.delay().toNanos()
        + (jitter.isZero() ? 0 : (long) (jitter.toNanos() * chance.draw()));
  }
}
