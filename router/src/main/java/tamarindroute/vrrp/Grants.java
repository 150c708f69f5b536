package tamarindroute.vrrp;

import java.time.Duration;

/**
 * Owns one voter's word on who may be active: to one candidate at a time, for a span. Whoever was
 * granted counts its span from when it sent the request, the voter from when it got it, so that the
 * candidate's ends first, whatever the way took. A candidate that needs the word of two of three
 * voters is then never active beside another, under any partition, as long as clocks run alike to
 * one part in a hundred. Immutable.
 */
public record Grants(long holder, Duration until) {

  /** A candidate gives up this part of its span for clocks that do not run alike. */
  private static final long DRIFT = 100;

  /**
   * Nobody holds it; a voter that has started anew waits a whole span first, for it may have
   * granted before.
   */
  public static Grants started(Duration span, Duration now) {
    return new Grants(Long.MIN_VALUE, now.plus(span));
  }

  /** What follows on a request, and whether it is granted. */
  public record Answer(Grants grants, boolean granted) {}

  public Answer asked(long candidate, Duration span, Duration now) {
    boolean free = candidate == holder || now.compareTo(until) >= 0;
    return free ? new Answer(new Grants(candidate, now.plus(span)), true) : new Answer(this, false);
  }

  /** Given back before its time, by its holder. */
  public Grants returned(long candidate, Duration now) {
    return candidate == holder ? new Grants(holder, now) : this;
  }

  /** Until when a candidate may count on a grant that it asked for at this time. */
  public static Duration countsUntil(Duration asked, Duration span) {
    return asked.plus(span).minus(span.dividedBy(DRIFT));
  }
}
