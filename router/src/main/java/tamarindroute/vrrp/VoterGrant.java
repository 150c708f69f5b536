package tamarindroute.vrrp;

import java.time.Duration;

/**
 * The grant of one voter for one virtual router: the candidate that may be active, and until when.
 * Immutable.
 *
 * <p>A voter grants to one candidate at a time. The candidate counts the grant's duration from when
 * it sent the request, the voter from when it received the request. The grant therefore ends for
 * the candidate first, however long the request travelled. A candidate that needs the grants of two
 * of three voters is then never active beside another one, under any partition, as long as the
 * clocks run at the same rate to within 1%.
 *
 * @param holder number of the candidate that has or last had the grant, see {@link
 *     Election.Settings#tieBreaker}; {@link Long#MIN_VALUE} if none had it
 * @param expiresAt by the voter's clock; no other candidate gets the grant earlier
 */
public record VoterGrant(long holder, Duration expiresAt) {

  /**
   * A candidate uses 1/100 less than a grant's duration because its clock may run slower than the
   * voter's.
   */
  private static final long CLOCK_DRIFT_DIVISOR = 100;

  /**
   * Returns the state of a voter that has just started. It grants nothing for one grant duration
   * because it may have granted before its restart.
   */
  public static VoterGrant started(Duration grantDuration, Duration now) {
    return new VoterGrant(Long.MIN_VALUE, now.plus(grantDuration));
  }

  /**
   * A voter's response to a request.
   *
   * @param grant voter's grant after the request
   * @param granted whether the requesting candidate has the grant
   */
  public record Response(VoterGrant grant, boolean granted) {}

  /**
   * Returns the response to a candidate's request. The candidate gets the grant if it has it
   * already or if the grant has expired.
   */
  public Response request(long candidate, Duration grantDuration, Duration now) {
    boolean available = candidate == holder || now.compareTo(expiresAt) >= 0;
    return available
        ? new Response(new VoterGrant(candidate, now.plus(grantDuration)), true)
        : new Response(this, false);
  }

  /** Returns the grant after a candidate gave it back. Other candidates than the holder can't. */
  public VoterGrant release(long candidate, Duration now) {
    return candidate == holder ? new VoterGrant(holder, now) : this;
  }

  /** Returns until when a candidate may rely on a grant that it requested at the given time. */
  public static Duration validUntil(Duration requestedAt, Duration grantDuration) {
    return requestedAt.plus(grantDuration).minus(grantDuration.dividedBy(CLOCK_DRIFT_DIVISOR));
  }
}
