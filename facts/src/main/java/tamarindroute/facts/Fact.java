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
  private static final double MAX_WORK_SECONDS = 60_000;

  /** About what it is: the latest of an origin's words about one thing counts. */
  public sealed interface Body {}

  /**
   * What the feed said, as it came.
   *
   * @param generation of the feed's numbers, 0 where it tells none; a greater one begins anew
   * @param snapshot whether it is all that holds at that number, else the change that the number
   *     stands for
   */
  public record Event(String feed, long generation, long number, boolean snapshot, Payload payload)
      implements Body {}

  /**
   * An opinion of a cache.
   *
   * @param failureEvidence 0 to 9, as in the sequential test
   * @param uptime how long it has been up, at least; null where that is not known. It grows by the
   *     time held and not by the bound of the way, so that an old word makes it colder, never
   *     warmer
   */
  public record CacheHealth(long cacheId, double failureEvidence, boolean up, Duration uptime)
      implements Body {}

  /** What the origin has out on a cold cache, in seconds of its work. */
  public record WorkInFlight(long cacheId, double workSeconds) implements Body {}

  /** Whether it can be taken at all: whoever told it may be wrong. */
  boolean isValid() {
    boolean valid = sequence > 0 && !age.isNegative() && age.compareTo(FactStore.MAX_DURATION) < 0;
    if (body instanceof CacheHealth health) {
      return valid
          && health.failureEvidence >= 0
          && health.failureEvidence <= 9
          && (health.uptime == null
              || !health.uptime.isNegative()
                  && health.uptime.compareTo(FactStore.MAX_DURATION) < 0);
    }
    if (body instanceof WorkInFlight workInFlight) {
      return valid && workInFlight.workSeconds >= 0 && workInFlight.workSeconds <= MAX_WORK_SECONDS;
    }
    Event event = (Event) body;
    return valid
        && event.number == sequence
        && event.generation >= 0
        && event.payload.size()
            <= (event.snapshot ? EventLog.MAX_SNAPSHOT_BYTES : EventLog.MAX_EVENT_BYTES);
  }
}
