package tamarindroute.shares;

import java.time.Duration;

/**
 * Owns what is dealt and for how long; the same at every gateway that shares it. One for the edges
 * of a location, one for the parents of all. Parts are whole millionths of what today's fixed
 * shares make together, so that sums are exact.
 *
 * @param gateways that are told to share it, the dead among them
 * @param limit that may be in use at once; {@link #WHOLE} leaves the policy's headroom as it is
 * @param leaseDuration of a lease
 * @param quietPeriod a new life that has no lease uses nothing for so long: what proved its former
 *     life's end may have been dealt
 */
public record SharedQuota(int gateways, long limit, Duration leaseDuration, Duration quietPeriod) {

  public static final long FULL_QUOTA = 1_000_000;

  /**
   * A lease is asked for anew every third of it: two asks may be lost. 4 s, as a cold cache's
   * window is 2 s.
   */
  public static final Duration LEASE_DURATION = Duration.ofSeconds(4);

  /**
   * Three lengths: a refusal is seen anew each length, and leases that rely on one are whole within
   * the next.
   */
  public static final Duration QUIET_PERIOD = Duration.ofSeconds(12);

  /**
   * What is given up for clocks that do not run alike: one part in so many, as for the grants of a
   * shared address.
   */
  private static final long CLOCK_DRIFT_DIVISOR = 100;

  public SharedQuota {
    if (gateways < 1
        || limit < FULL_QUOTA
        || leaseDuration.isNegative()
        || leaseDuration.isZero()
        || quietPeriod.compareTo(leaseDuration) <= 0) {
      throw new IllegalArgumentException(
          "no bound to share: "
              + gateways
              + ", "
              + limit
              + ", "
              + leaseDuration
              + ", "
              + quietPeriod);
    }
  }

  /** With the figures above. */
  public static SharedQuota of(int gateways) {
    return new SharedQuota(gateways, FULL_QUOTA, LEASE_DURATION, QUIET_PERIOD);
  }

  /** What each may use that is out of touch. */
  public long fixedShare() {
    return FULL_QUOTA / gateways;
  }

  /** What the one that relies on the other's clock counts with. */
  static Duration shortenedForDrift(Duration span) {
    return span.minus(span.dividedBy(CLOCK_DRIFT_DIVISOR));
  }

  /** What the one counts with that must be sure that another's span is over. */
  static Duration lengthenedForDrift(Duration span) {
    return span.plus(span.dividedBy(CLOCK_DRIFT_DIVISOR));
  }
}
