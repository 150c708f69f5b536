package tamarindroute.policy;

import tamarindroute.decision.Attempt;
import tamarindroute.decision.Outcome.Result;
import tamarindroute.decision.Request;

/**
 * Evaluates the earlier attempts of a request: which caches and sources its next attempt must not
 * use.
 */
final class AttemptHistory {

  private final boolean sourcesReported;

  /**
   * Creates an evaluation.
   *
   * @param sourcesReported whether caches report where an answer came from
   */
  AttemptHistory(boolean sourcesReported) {
    this.sourcesReported = sourcesReported;
  }

  /**
   * Whether an attempt of the request is outstanding at this cache or has failed there. A miss and
   * a failure of the source do not count.
   */
  boolean hasFailedAt(Request request, CacheState state) {
    return request.attempts.stream()
        .anyMatch(attempt -> attempt.cache == state.cache() && isOutstandingOrFailed(attempt));
  }

  private boolean isOutstandingOrFailed(Attempt attempt) {
    return attempt.outcome == null
        || (attempt.outcome.result() != Result.MISS && !hasSourceFailed(attempt));
  }

  /**
   * Whether the request has been tried with this source without success, or is outstanding there. A
   * lookup at a parent that held no copy does not count.
   */
  boolean wasTriedAsSource(Request request, CacheState source) {
    return request.attempts.stream()
        .anyMatch(attempt -> attempt.source == source.cache() && isUsedFill(attempt, source));
  }

  private boolean isUsedFill(Attempt attempt, CacheState source) {
    boolean lookupAtParent = attempt.onlyIfCached && source.isParent();
    return !lookupAtParent && (attempt.outcome == null || hasFillEnded(attempt));
  }

  private boolean hasFillEnded(Attempt attempt) {
    return switch (attempt.outcome.result()) {
      case MISS, CANCELLED, TIMED_OUT -> true;
      default -> hasSourceFailed(attempt);
    };
  }

  /**
   * Whether the source caused the failure of the attempt: as the cache reported, or assumed if
   * caches do not report sources.
   */
  private boolean hasSourceFailed(Attempt attempt) {
    if (attempt.source == attempt.cache || attempt.outcome.result() == Result.CONNECT_FAILED) {
      return false;
    }
    return switch (attempt.outcome.detail()) {
      case UNKNOWN -> !sourcesReported;
      case SOURCE_REFUSED, SOURCE_FAILED, SOURCE_MISS, ORIGIN_FAILED -> true;
      case HIT, FILLED, FROM_ORIGIN, COALESCED, STALE, FILL_CAPACITY_EXHAUSTED -> false;
    };
  }
}
