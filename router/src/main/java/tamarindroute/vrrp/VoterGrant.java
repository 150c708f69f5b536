package tamarindroute.vrrp;

import java.time.Duration;

/**
 * Owns one voter's word on who may be active: to one candidate at a time, for a span. Whoever was
 * granted counts its span from when it sent the request, the voter from when it got it, so that the
 * candidate's ends first, whatever the way took. A candidate that needs the word of two of three
 * voters is then never active beside another, under any partition, as long as clocks run alike to
 * one part in a hundred. Immutable.
 */
public record VoterGrant(long holder, Duration until) {

  /** A candidate gives up this part of its span for clocks that do not run alike. */
  private static final long CLOCK_DRIFT_DIVISOR = 100;

  /**
   * Nobody holds it; a voter that has started anew waits a whole span first, for it may have
   * granted before.
   */
  public static VoterGrant started(Duration span, Duration now) {
    return new VoterGrant(Long.MIN_VALUE, now.plus(span));
  }

  /** What follows on a request, and whether it is granted. */
  public record Response(VoterGrant grant, boolean granted) {}

  public Response request(long candidate, Duration span, Duration now) {
    boolean free = candidate == holder || now.compareTo(until) >= 0;
    return free
        ? new Response(new VoterGrant(candidate, now.plus(span)), true)
        : new Response(this, false);
  }

  /** Given back before its time, by its holder. */
  public VoterGrant release(long candidate, Duration now) {
    return candidate == holder ? new VoterGrant(holder, now) : this;
  }

  /** Until when a candidate may count on a grant that it asked for at this time. */
  public static Duration validUntil(Duration asked, Duration span) {
    return asked.plus(span).minus(span.dividedBy(CLOCK_DRIFT_DIVISOR));
  }
}
