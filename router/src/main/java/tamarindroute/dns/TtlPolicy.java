package tamarindroute.dns;

import java.time.Duration;

/**
 * Chooses TTLs of answers for one location: the minimum while a cache there drains, is cold or is
 * ejected, and longer the longer nothing has changed, up to the maximum.
 */
final class TtlPolicy {

  /**
   * TTL per time without a change. At a quarter, a location that changes at random times has stale
   * answers out for at most a fifth of the time.
   */
  private static final double TTL_PER_UNCHANGED_TIME = 0.25;

  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  private final Duration minTtl;
  private final Duration maxTtl;
  private Object state;
  private Duration unchangedSince;

  TtlPolicy(Duration least, Duration most) {
    this.minTtl = least;
    this.maxTtl = most;
  }

  /**
   * Returns the TTL of an answer.
   *
   * @param currentState differs from the last call's if anything has changed
   * @param unsettled whether a change is still under way
   */
  Duration ttl(Object currentState, boolean unsettled, Duration now) {
    if (unsettled || unchangedSince == null || !currentState.equals(state)) {
      state = currentState;
      unchangedSince = now;
      return minTtl;
    }
    long unchangedNanos = now.minus(unchangedSince).toNanos();
    long ttlNanos = (long) (unchangedNanos * TTL_PER_UNCHANGED_TIME);
    Duration ttl = Duration.ofSeconds(Math.max(0, ttlNanos) / NANOS_PER_SECOND);
    if (ttl.compareTo(minTtl) < 0) {
      return minTtl;
    }
    return ttl.compareTo(maxTtl) > 0 ? maxTtl : ttl;
  }
}
