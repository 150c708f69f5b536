package tamarindroute.dns;

import java.time.Duration;

/**
 * Owns how long an answer may be kept: as short as is allowed while something at a location drains,
 * warms up or is judged bad, and longer the longer nothing has changed. It must never let a TTL
 * pass its bounds.
 */
final class TtlPolicy {

  /**
   * An answer is kept for a quarter of the time that nothing has changed. A location that changes
   * at random times then has a stale answer out for a fifth of the time at the most, and after a
   * change at t the TTLs are back at their longest after four times that.
   */
  private static final double TTL_PER_UNCHANGED_TIME = 0.25;

  private final Duration minTtl;
  private final Duration maxTtl;
  private Object state;
  private Duration unchangedSince;

  TtlPolicy(Duration least, Duration most) {
    this.minTtl = least;
    this.maxTtl = most;
  }

  /**
   * How the location is now: any value that differs when anything has changed; unsettled while it
   * still does.
   */
  Duration ttl(Object now, boolean unsettled, Duration at) {
    if (unsettled || unchangedSince == null || !now.equals(state)) {
      state = now;
      unchangedSince = at;
      return minTtl;
    }
    long calm = (long) (at.minus(unchangedSince).toNanos() * TTL_PER_UNCHANGED_TIME);
    Duration ttl = Duration.ofSeconds(Math.max(0, calm) / 1_000_000_000L);
    return ttl.compareTo(minTtl) < 0 ? minTtl : ttl.compareTo(maxTtl) > 0 ? maxTtl : ttl;
  }
}
