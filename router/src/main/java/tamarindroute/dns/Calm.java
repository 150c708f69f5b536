package tamarindroute.dns;

import java.time.Duration;

/**
 * Owns how long an answer may be kept: as short as is allowed while something at a location drains,
 * warms up or is judged bad, and longer the longer nothing has changed. It must never let a TTL
 * pass its bounds.
 */
final class Calm {

  /**
   * An answer is kept for a quarter of the time that nothing has changed. A location that changes
   * at random times then has a stale answer out for a fifth of the time at the most, and after a
   * change at t the TTLs are back at their longest after four times that.
   */
  private static final double PART = 0.25;

  private final Duration least;
  private final Duration most;
  private Object state;
  private Duration since;

  Calm(Duration least, Duration most) {
    this.least = least;
    this.most = most;
  }

  /**
   * How the location is now: any value that differs when anything has changed; unsettled while it
   * still does.
   */
  Duration ttl(Object now, boolean unsettled, Duration at) {
    if (unsettled || since == null || !now.equals(state)) {
      state = now;
      since = at;
      return least;
    }
    long calm = (long) (at.minus(since).toNanos() * PART);
    Duration ttl = Duration.ofSeconds(Math.max(0, calm) / 1_000_000_000L);
    return ttl.compareTo(least) < 0 ? least : ttl.compareTo(most) > 0 ? most : ttl;
  }
}
