package tamarindroute.vrrp;

import java.time.Duration;

/**
 * A voter's permission for one candidate, a gateway, to be the active router of one virtual router
 * until a given time. Immutable.
 *
 * <p>A voter gives its grant to one candidate at a time. The candidate counts the grant's duration
 * from when it sent the request, and the voter counts it from when it received the request. The
 * grant therefore ends for the candidate first, whatever the network delay of the request. If the
 * grants of two of three voters are required, two candidates are therefore never active at the same
 * time, under any network partition, as long as the rates of the clocks differ by at most 1%.
 *
 * @param holder {@link Election.Settings#tieBreaker} of the candidate that has or last had the
 *     grant; {@link Long#MIN_VALUE} if no candidate has had it
 * @param expiresAt expiry by the voter's monotonic clock; no other candidate gets the grant earlier
 *     unless the holder releases it
 */
public record VoterGrant(long holder, Duration expiresAt) {

  /**
   * A candidate stops relying on a grant when 1/100 of the grant's duration is left, because the
   * candidate's clock may run slower than the voter's clock.
   */
  private static final long CLOCK_DRIFT_DIVISOR = 100;

  /**
   * Returns the grant of a voter that has just started. The voter gives no grant for one grant
   * duration, because a grant that it gave before a restart may still be in use.
   */
  public static VoterGrant started(Duration grantDuration, Duration now) {
    return new VoterGrant(Long.MIN_VALUE, now.plus(grantDuration));
  }

  /**
   * A voter's response to a request.
   *
   * @param grant voter's grant after the request, of whichever candidate holds it
   * @param granted whether the requesting candidate holds the grant
   */
  public record Response(VoterGrant grant, boolean granted) {}

  /**
   * Returns the response to a candidate's request. The candidate gets the grant, or gets it
   * renewed, if it is the holder already or if the grant has expired.
   *
   * @param candidate {@link Election.Settings#tieBreaker} of the candidate
   * @param now time by the voter's monotonic clock
   */
  public Response request(long candidate, Duration grantDuration, Duration now) {
    boolean available = candidate == holder || now.compareTo(expiresAt) >= 0;
    return available
        ? new Response(new VoterGrant(candidate, now.plus(grantDuration)), true)
        : new Response(this, false);
  }

  /**
   * Returns the grant after a release by a candidate. A release by the holder ends the grant now. A
   * release by any other candidate changes nothing.
   */
  public VoterGrant release(long candidate, Duration now) {
    return candidate == holder ? new VoterGrant(holder, now) : this;
  }

  /**
   * Returns until when a candidate may rely on a grant, by the candidate's monotonic clock.
   *
   * @param requestedAt when the candidate sent the request, by the same clock
   */
  public static Duration validUntil(Duration requestedAt, Duration grantDuration) {
    return requestedAt.plus(grantDuration).minus(grantDuration.dividedBy(CLOCK_DRIFT_DIVISOR));
  }
}
