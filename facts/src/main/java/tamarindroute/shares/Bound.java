package tamarindroute.shares;

import java.time.Duration;

/**
 * Owns what is dealt and for how long; the same at every gateway that shares it. One for the edges
 * of a location, one for the parents of all. Parts are whole millionths of what today's fixed
 * shares make together, so that sums are exact.
 *
 * @param gateways that are told to share it, the dead among them
 * @param most that may be in use at once; {@link #WHOLE} leaves the policy's headroom as it is
 * @param length of a lease
 * @param quiet a new life that has no lease uses nothing for so long: what proved its former life's
 *     end may have been dealt
 */
public record Bound(int gateways, long most, Duration length, Duration quiet) {

  public static final long WHOLE = 1_000_000;

  /**
   * A lease is asked for anew every third of it: two asks may be lost. 4 s, as a cold cache's
   * window is 2 s.
   */
  public static final Duration LENGTH = Duration.ofSeconds(4);

  /**
   * Three lengths: a refusal is seen anew each length, and leases that rely on one are whole within
   * the next.
   */
  public static final Duration QUIET = Duration.ofSeconds(12);

  /**
   * What is given up for clocks that do not run alike: one part in so many, as for the grants of a
   * shared address.
   */
  private static final long DRIFT = 100;

  public Bound {
    if (gateways < 1
        || most < WHOLE
        || length.isNegative()
        || length.isZero()
        || quiet.compareTo(length) <= 0) {
      throw new IllegalArgumentException(
          "no bound to share: " + gateways + ", " + most + ", " + length + ", " + quiet);
    }
  }

  /** With the figures above. */
  public static Bound of(int gateways) {
    return new Bound(gateways, WHOLE, LENGTH, QUIET);
  }

  /** What each may use that is out of touch. */
  public long fixed() {
    return WHOLE / gateways;
  }

  /** What the one that relies on the other's clock counts with. */
  static Duration early(Duration span) {
    return span.minus(span.dividedBy(DRIFT));
  }

  /** What the one counts with that must be sure that another's span is over. */
  static Duration late(Duration span) {
    return span.plus(span.dividedBy(DRIFT));
  }
}
