package tamarindroute.decision;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** A client's wish for one part of an object, held by the gateway until its final answer. */
public final class Request {

  public final RequestClass requestClass;
  public final long objectId;
  public final int part;
  public final int purgeGroup;

  /** 0 where sizes are not told. */
  public final double kilobytes;

  public final Duration arrivalTime;

  /** When this try of the client is over. */
  public final Duration deadline;

  public final List<Attempt> attempts = new ArrayList<>(2);

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

  /** The trip that has not come back yet; of two, the one that left first; null for none. */
  public Attempt outstandingAttempt() {
    return attempts.stream().filter(attempt -> attempt.outcome == null).findFirst().orElse(null);
  }

  /** The first trip but this one that may have run, which proves nothing else; null for none. */
  public Attempt firstPossiblyExecuted(Attempt excluded) {
    return attempts.stream()
        .filter(
            attempt ->
                attempt != excluded
                    && (attempt.outcome == null || !attempt.outcome.result().provesNotExecuted))
        .findFirst()
        .orElse(null);
  }

  /**
   * Whether a cache is known to lack the object and, for another source than itself, that one too.
   */
  public boolean isKnownMiss(Cache cache, Cache source) {
    return attempts.stream()
        .anyMatch(
            attempt ->
                attempt.cache == cache
                    && attempt.source == source
                    && attempt.outcome != null
                    && attempt.outcome.result() == Outcome.Result.MISS);
  }

  /** When its answer is wanted, if its transfer alone takes this long. */
  public Duration latencyObjectiveTime(Duration transferTime) {
    return arrivalTime
        .plus(requestClass.latencyObjective())
        .plusNanos(Math.round(requestClass.transferTimeFactor() * transferTime.toNanos()));
  }

  /** How often it was tried: what follows a proven miss is the same try. */
  public long attemptCount() {
    return attempts.stream()
        .filter(
            attempt -> attempt.outcome == null || attempt.outcome.result() != Outcome.Result.MISS)
        .count();
  }

  /** How long until its first trip that is not late yet will be; null for none. */
  public Duration delayUntilNextLate(Duration now) {
    return attempts.stream()
        .filter(
            attempt ->
                attempt.outcome == null
                    && attempt.expectedBy != null
                    && attempt.expectedBy.compareTo(now) > 0)
        .map(attempt -> attempt.expectedBy.minus(now))
        .findFirst()
        .orElse(null);
  }
}
