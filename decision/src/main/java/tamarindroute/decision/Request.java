package tamarindroute.decision;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** A client's request for one part of an object, kept by the gateway until its final answer. */
public final class Request {

  public final RequestClass requestClass;
  public final long objectId;

  /** Index of the requested part of the object. */
  public final int part;

  /** Group of objects that are purged together. */
  public final int purgeGroup;

  /** Size of the part; 0 if unknown. */
  public final double kilobytes;

  public final Duration arrivalTime;

  /** When the client stops waiting. */
  public final Duration deadline;

  /** The attempts sent so far, oldest first. */
  public final List<Attempt> attempts = new ArrayList<>(2);

  /** Creates a request without attempts; the parameters are the fields of the same names. */
  public Request(
      RequestClass requestClass,
      long objectId,
      int part,
      int purgeGroup,
      double kilobytes,
      Duration arrivalTime,
      Duration deadline) {
    this.requestClass = requestClass;
    this.objectId = objectId;
    this.part = part;
    this.purgeGroup = purgeGroup;
    this.kilobytes = kilobytes;
    this.arrivalTime = arrivalTime;
    this.deadline = deadline;
  }

  /** Returns the earliest attempt without an outcome; null if there is none. */
  public Attempt outstandingAttempt() {
    return attempts.stream().filter(attempt -> attempt.outcome == null).findFirst().orElse(null);
  }

  /**
   * Returns the earliest attempt that may have been executed: it is outstanding or its result does
   * not prove otherwise.
   *
   * @param excluded an attempt to leave out; null for none
   * @return null if no attempt may have been executed
   */
  public Attempt firstPossiblyExecuted(Attempt excluded) {
    return attempts.stream()
        .filter(attempt -> attempt != excluded)
        .filter(attempt -> attempt.outcome == null || !attempt.outcome.result().provesNotExecuted)
        .findFirst()
        .orElse(null);
  }

  /** Whether an attempt at the cache with that fill source has ended in a miss. */
  public boolean isKnownMiss(Cache cache, Cache source) {
    return attempts.stream()
        .anyMatch(
            attempt -> attempt.cache == cache && attempt.source == source && endedInMiss(attempt));
  }

  /** Returns when the answer is due if its transfer alone takes this long. */
  public Duration latencyObjectiveTime(Duration transferTime) {
    long transferNanos = Math.round(requestClass.transferTimeFactor() * transferTime.toNanos());
    return arrivalTime.plus(requestClass.latencyObjective()).plusNanos(transferNanos);
  }

  /**
   * Returns the number of tries: a fill after a proven miss belongs to the same try as the miss.
   */
  public long attemptCount() {
    return attempts.stream().filter(attempt -> !endedInMiss(attempt)).count();
  }

  /**
   * Returns the time until the first outstanding attempt that is not late becomes so; null if there
   * is none.
   */
  public Duration delayUntilNextLate(Duration now) {
    return attempts.stream()
        .filter(attempt -> attempt.outcome == null && attempt.expectedBy != null)
        .filter(attempt -> attempt.expectedBy.compareTo(now) > 0)
        .map(attempt -> attempt.expectedBy.minus(now))
        .findFirst()
        .orElse(null);
  }

  private static boolean endedInMiss(Attempt attempt) {
    return attempt.outcome != null && attempt.outcome.result() == Outcome.Result.MISS;
  }
}
