package tamarindroute.policy;

import tamarindroute.decision.Attempt;
import tamarindroute.decision.Outcome.Result;
import tamarindroute.decision.Request;

/** What the earlier attempts of a request say about caches and sources for the next one. */
final class AttemptHistory {

  private final boolean sourcesReported;

  /** Takes whether caches report where an answer came from. */
  AttemptHistory(boolean sourcesReported) {
    this.sourcesReported = sourcesReported;
  }

  /**
   * Whether an attempt of the request failed by the fault of this cache, or is outstanding there.
   */
  boolean hasFailedAt(Request request, CacheState state) {
    return request.attempts.stream()
        .anyMatch(attempt -> attempt.cache == state.cache() && isOutstandingOrFailed(attempt));
  }

  private boolean isOutstandingOrFailed(Attempt attempt) {
    return attempt.outcome == null
        || (attempt.outcome.result() != Result.MISS && !hasSourceFailed(attempt));
  }

  /** Whether this source was tried in vain for the request, or is being tried. */
  boolean wasTriedAsSource(Request request, CacheState source) {
    return request.attempts.stream()
        .anyMatch(attempt -> attempt.source == source.cache() && isSpentFill(attempt, source));
  }

  private boolean isSpentFill(Attempt attempt, CacheState source) {
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
   * Whether an attempt failed by the fault of its source: as reported, or assumed where nothing is
   * reported.
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
