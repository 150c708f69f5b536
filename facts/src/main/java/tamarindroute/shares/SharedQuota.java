package tamarindroute.shares;

import java.time.Duration;

/**
 * A quota that gateways share, and the times of its leases; the same at every gateway. There is one
 * for the edges of a location, and one for the parents of all. Shares are whole millionths of what
 * the fixed shares make together, so that sums are exact.
 *
 * @param gateways number of gateways configured to share it, whether or not they run
 * @param limit most that may be in use at once, in millionths; {@link #FULL_QUOTA} leaves the
 *     policy's headroom as it is
 * @param leaseDuration duration of a lease
 * @param quietPeriod how long a new incarnation without a lease uses nothing, as the share may have
 *     been allocated to others when the end of its predecessor was proven
 */
public record SharedQuota(int gateways, long limit, Duration leaseDuration, Duration quietPeriod) {

  /** All fixed shares together, in millionths. */
  public static final long FULL_QUOTA = 1_000_000;

  /** Default duration of a lease. It is requested anew each third; two requests may be lost. */
  public static final Duration LEASE_DURATION = Duration.ofSeconds(4);

  /**
   * Default quiet period: a refused connection is observed anew each lease duration, and leases
   * that rely on one end within the next.
   */
  public static final Duration QUIET_PERIOD = Duration.ofSeconds(12);

  /** This fraction of a time span allows for differing clock rates. */
  private static final long CLOCK_DRIFT_DIVISOR = 100;

  /**
   * Checks the limits of each component.
   *
   * @throws IllegalArgumentException if one is violated
   */
  public SharedQuota {
    if (gateways < 1) {
      throw new IllegalArgumentException("gateways is " + gateways + ", at least 1 required");
    }
    if (limit < FULL_QUOTA) {
      throw new IllegalArgumentException(
          "limit is " + limit + " millionths, at least " + FULL_QUOTA + " required");
    }
    if (leaseDuration.isNegative() || leaseDuration.isZero()) {
      throw new IllegalArgumentException(
          "lease duration is " + leaseDuration + ", must be positive");
    }
    if (quietPeriod.compareTo(leaseDuration) <= 0) {
      throw new IllegalArgumentException(
          "quiet period is "
              + quietPeriod
              + ", must be longer than the lease duration "
              + leaseDuration);
    }
  }

  /** Creates a quota with the default limit and times. */
  public static SharedQuota of(int gateways) {
    return new SharedQuota(gateways, FULL_QUOTA, LEASE_DURATION, QUIET_PERIOD);
  }

  /** Returns the share of each gateway without a lease, in millionths. */
  public long fixedShare() {
    return FULL_QUOTA / gateways;
  }

  /** Returns the time span that may be relied on if it is measured by another's clock. */
  static Duration shortenedForDrift(Duration span) {
    return span.minus(span.dividedBy(CLOCK_DRIFT_DIVISOR));
  }
}
