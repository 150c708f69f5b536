package tamarindroute.rig.proxy;

import java.time.Duration;

/**
 * What goes wrong on one directed way. Jitter beyond the gap between two datagrams reorders them.
 * On a stream, whose bytes can't be lost, a loss is the wait for one more try.
 */
public record Fault(double loss, Duration delay, Duration jitter, double doubled, boolean cut) {

  public static final Fault NONE = new Fault(0, Duration.ZERO, Duration.ZERO, 0, false);

  /** As long as a kernel's first retransmission takes at least. */
  static final Duration AGAIN = Duration.ofMillis(200);

  public Fault {
    if (!(loss >= 0 && loss <= 1 && doubled >= 0 && doubled <= 1)
        || delay.isNegative()
        || jitter.isNegative()) {
      throw new IllegalArgumentException("shares lie between 0 and 1, times are not negative");
    }
  }

  public Fault withLoss(double share) {
    return new Fault(share, delay, jitter, doubled, cut);
  }

  public Fault withDelay(Duration least, Duration more) {
    return new Fault(loss, least, more, doubled, cut);
  }

  public Fault withDoubled(double share) {
    return new Fault(loss, delay, jitter, share, cut);
  }

  public Fault withCut(boolean now) {
    return new Fault(loss, delay, jitter, doubled, now);
  }
}
