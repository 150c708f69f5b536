package tamarindroute.decision;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** A client's request for one part of an object. The gateway keeps it until its final answer. */
public final class Request {

  /** Service terms of the request. */
  public final RequestClass requestClass;

  /** Identifier of the requested object. */
  public final long objectId;

  /** Index of the requested part of the object. */
  public final int part;

  /** Index of the group of objects that are purged together. */
  public final int purgeGroup;

  /** Size of the part in kB; 0 if unknown. */
  public final double kilobytes;

  /** Time of arrival at the gateway, since the start of the instance. */
  public final Duration arrivalTime;

  /** Time at which the client stops waiting, since the start of the instance. */
  public final Duration deadline;

  /** The attempts that have been sent, oldest first. */
  public final List<Attempt> attempts = new ArrayList<>(2);

  /** Creates a request without attempts. The parameters are the fields of the same names. */
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

  /** Returns the earliest outstanding attempt; null if there is none. */
  public Attempt outstandingAttempt() {
    return attempts.stream().filter(attempt -> attempt.outcome == null).findFirst().orElse(null);
  }

  /**
   * Returns the earliest attempt that may have been executed, which is one that is outstanding or
   * whose result does not prove that it was not executed.
   *
   * @param excluded an attempt to leave out; null for none
   * @return the attempt; null if no attempt may have been executed
   */
  public Attempt firstPossiblyExecuted(Attempt excluded) {
    return attempts.stream()
        .filter(attempt -> attempt != excluded)
        .filter(attempt -> attempt.outcome == null || !attempt.outcome.result().provesNotExecuted)
        .findFirst()
        .orElse(null);
  }

  /** Whether an attempt of this request at the cache with that fill source has ended in a miss. */
  public boolean isKnownMiss(Cache cache, Cache source) {
    return attempts.stream()
        .anyMatch(
            attempt -> attempt.cache == cache && attempt.source == source && endedInMiss(attempt));
  }

  /**
   * Returns the time of the latency objective, since the start of the instance.
   *
   * @param transferTime duration of the transfer of the object on an idle cache
   */
  public Duration latencyObjectiveTime(Duration transferTime) {
    long transferNanos = Math.round(requestClass.transferTimeFactor() * transferTime.toNanos());
    return arrivalTime.plus(requestClass.latencyObjective()).plusNanos(transferNanos);
  }

  /**
   * Returns the number of tries. An attempt that ended in a miss and the fill that follows it are
   * one try.
   */
  public long attemptCount() {
    return attempts.stream().filter(attempt -> !endedInMiss(attempt)).count();
  }

  /**
   * Returns the time until an outstanding attempt that is not yet late becomes late. The earliest
   * sent of these attempts counts. Returns null if there is none.
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
