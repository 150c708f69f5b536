package tamarindroute.facts;

import java.time.Duration;
import tamarindroute.membership.Member;

/**
 * What one member found out, as it is told.
 *
 * @param origin who found it out; a later life's facts end those of a former one
 * @param sequence of all that the origin tells; for a feed's event its number
 * @param age at most so long ago: told, and held, and the bound of each way, added up
 */
public record Fact(Member origin, long sequence, Duration age, Body body) {

  /** Seconds in hand that are believed: a thousand views of a minute each. */
  private static final double MOST_WORK = 60_000;

  /** About what it is: the latest of an origin's words about one thing counts. */
  public sealed interface Body {}

  /**
   * What the feed said, as it came.
   *
   * @param generation of the feed's numbers, 0 where it tells none; a greater one begins anew
   * @param list whether it is all that holds at that number, else the change that the number stands
   *     for
   */
  public record Event(String feed, long generation, long number, boolean list, Payload payload)
      implements Body {}

  /**
   * An opinion of a cache.
   *
   * @param doubt 0 to 9, as in the sequential test
   * @param upFor how long it has been up, at least; null where that is not known. It grows by the
   *     time held and not by the bound of the way, so that an old word makes it colder, never
   *     warmer
   */
  public record Health(long cache, double doubt, boolean up, Duration upFor) implements Body {}

  /** What the origin has out on a cold cache, in seconds of its work. */
  public record InHand(long cache, double work) implements Body {}

  /** Whether it can be taken at all: whoever told it may be wrong. */
  boolean sound() {
    boolean fits = sequence > 0 && !age.isNegative() && age.compareTo(Facts.LONGEST) < 0;
    if (body instanceof Health health) {
      return fits
          && health.doubt >= 0
          && health.doubt <= 9
          && (health.upFor == null
              || !health.upFor.isNegative() && health.upFor.compareTo(Facts.LONGEST) < 0);
    }
    if (body instanceof InHand inHand) {
      return fits && inHand.work >= 0 && inHand.work <= MOST_WORK;
    }
    Event event = (Event) body;
    return fits
        && event.number == sequence
        && event.generation >= 0
        && event.payload.size()
            <= (event.list ? EventLog.MOST_LIST_BYTES : EventLog.MOST_EVENT_BYTES);
  }
}
