package tamarindroute.facts;

import java.time.Duration;
import tamarindroute.membership.Member;

/**
 * Something that one member observed, as it is sent to others.
 *
 * @param origin incarnation that observed it; facts of a later incarnation end those of an earlier
 *     one
 * @param sequence number of the fact among all of its origin; for an event, the event's number
 * @param age upper bound of the time since the observation: times held at members and the bounds of
 *     the transits, added up
 */
public record Fact(Member origin, long sequence, Duration age, Body body) {

  /** Largest work in flight that is accepted, in seconds: a thousand requests of a minute each. */
  private static final double MAX_WORK_SECONDS = 60_000;

  /** Largest failure evidence, see {@link CacheHealth}. */
  private static final double MAX_FAILURE_EVIDENCE = 9;

  /** Content of a fact. Of an origin's facts about one subject the latest counts. */
  public sealed interface Body {}

  /**
   * An event of the control feed, unchanged.
   *
   * @param generation generation of the feed's numbers, 0 if the feed has none; numbers start over
   *     with a greater one
   * @param number number of the event within the generation
   * @param snapshot whether the payload is the whole state at this number; otherwise it is the
   *     change that leads to it
   */
  public record Event(String feed, long generation, long number, boolean snapshot, Payload payload)
      implements Body {}

  /**
   * An opinion of a cache.
   *
   * @param failureEvidence 0 to 9, as in the policy's sequential test
   * @param up whether the cache is up
   * @param uptime lower bound of how long the cache has been up, or null if unknown. Grows by the
   *     time held, not by the bound of a transit, so that an old fact makes the cache colder, never
   *     warmer
   */
  public record CacheHealth(long cacheId, double failureEvidence, boolean up, Duration uptime)
      implements Body {}

  /**
   * Work that the origin has in flight on a cold cache.
   *
   * @param workSeconds seconds of the cache's time
   */
  public record WorkInFlight(long cacheId, double workSeconds) implements Body {}

  /** Returns whether all values are within their limits. A fact may come from a faulty member. */
  boolean isValid() {
    if (sequence <= 0 || !isValidDuration(age)) {
      return false;
    }
    if (body instanceof CacheHealth health) {
      return isValid(health);
    }
    if (body instanceof WorkInFlight workInFlight) {
      return isBetween(0, workInFlight.workSeconds, MAX_WORK_SECONDS);
    }
    return isValid((Event) body);
  }

  private static boolean isValid(CacheHealth health) {
    return isBetween(0, health.failureEvidence, MAX_FAILURE_EVIDENCE)
        && (health.uptime == null || isValidDuration(health.uptime));
  }

  private boolean isValid(Event event) {
    int maxBytes = event.snapshot ? EventLog.MAX_SNAPSHOT_BYTES : EventLog.MAX_EVENT_BYTES;
    return event.number == sequence && event.generation >= 0 && event.payload.size() <= maxBytes;
  }

  private static boolean isBetween(double min, double value, double max) {
    return value >= min && value <= max;
  }

  private static boolean isValidDuration(Duration duration) {
    return !duration.isNegative() && duration.compareTo(FactStore.MAX_DURATION) < 0;
  }
}
