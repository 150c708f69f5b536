package tamarindroute.rig.proxy;

import java.time.Duration;

/**
 * The faults of one directed link.
 *
 * @param loss share of datagrams that are lost; on a stream, of reads that wait for a
 *     retransmission
 * @param delay least delay
 * @param jitter random delay on top; beyond the gap between two datagrams it reorders them
 * @param duplication share of datagrams that are sent twice
 * @param cut whether nothing passes
 */
public record LinkFaults(
    double loss, Duration delay, Duration jitter, double duplication, boolean cut) {

  /** A link without faults. */
  public static final LinkFaults NONE = new LinkFaults(0, Duration.ZERO, Duration.ZERO, 0, false);

  /** The least time of a kernel's first retransmission. */
  static final Duration RETRANSMISSION_DELAY = Duration.ofMillis(200);

  /** Refuses shares outside 0 to 1 and negative times. */
  public LinkFaults {
    requireShare("loss", loss);
    requireShare("duplication", duplication);
    requireNotNegative("delay", delay);
    requireNotNegative("jitter", jitter);
  }

  private static void requireShare(String field, double value) {
    if (!(value >= 0 && value <= 1)) {
      throw new IllegalArgumentException(field + " must be 0 to 1, not " + value);
    }
  }

  private static void requireNotNegative(String field, Duration value) {
    if (value.isNegative()) {
      throw new IllegalArgumentException(field + " must not be negative: " + value);
    }
  }

  /** With another loss. */
  public LinkFaults withLoss(double share) {
    return new LinkFaults(share, delay, jitter, duplication, cut);
  }

  /** With another delay and jitter. */
  public LinkFaults withDelay(Duration least, Duration more) {
    return new LinkFaults(loss, least, more, duplication, cut);
  }

  /** With another duplication. */
  public LinkFaults withDuplication(double share) {
    return new LinkFaults(loss, delay, jitter, share, cut);
  }

  /** Cut or not. */
  public LinkFaults withCut(boolean isCut) {
    return new LinkFaults(loss, delay, jitter, duplication, isCut);
  }
}
