package tamarindroute.policy;

import static tamarindroute.numeric.Seconds.seconds;

import tamarindroute.decision.Attempt;
import tamarindroute.decision.Cache;
import tamarindroute.decision.Outcome;
import tamarindroute.decision.Request;

/**
 * Records the outcomes of attempts in the state of the caches, sources and request classes that
 * they concern.
 */
final class OutcomeRecorder {

  /** Weight in outlier detection of an attempt that timed out, relative to a failure. */
  private static final double TIMEOUT_WEIGHT = 0.5;

  /** Weight in outlier detection of a rejected fill, for its source. */
  private static final double REJECTED_FILL_WEIGHT = 0.3;

  /** Shortest duration of a hit that is recorded, after the shortest wait is subtracted. */
  private static final double MIN_HIT_DURATION_SECONDS = 1e-6;

  private final CacheTiers tiers;
  private final TransferTimes transferTimes;
  private final LatencyEstimates latencies;
  private final InFlightTracker inFlight;
  private final RetryPolicy retries;
  private final FailureAttribution failures;
  private final CopyRecorder copies;

  OutcomeRecorder(
      CacheTiers tiers,
      TransferTimes transferTimes,
      LatencyEstimates latencies,
      InFlightTracker inFlight,
      RetryPolicy retries,
      FailureAttribution failures,
      CopyRecorder copies) {
    this.tiers = tiers;
    this.transferTimes = transferTimes;
    this.latencies = latencies;
    this.inFlight = inFlight;
    this.retries = retries;
    this.failures = failures;
    this.copies = copies;
  }

  /** Records the outcome of an attempt that was counted as in flight. */
  void recordOutcome(Request request, Attempt attempt, double now) {
    inFlight.onEnded(attempt, now);
    retries.recordEnded(now);
    switch (attempt.outcome.result()) {
      case SERVED -> recordServed(request, attempt, now);
      case MISS -> tiers.get(attempt.source).outliers().recordSuccess(1, now);
      case FAILED, CONNECTION_LOST -> failures.recordFailure(attempt, 1, now);
      case TIMED_OUT -> failures.recordTimeout(attempt, TIMEOUT_WEIGHT, now);
      case CONNECT_FAILED -> {
        tiers.get(attempt.cache).outliers().recordFailure(1, now);
        refund(request, attempt);
      }
      case REJECTED -> recordRejected(attempt, now);
      case NOT_SENT -> refund(request, attempt);
      case CANCELLED, DEADLINE_EXCEEDED -> {
        // These results neither confirm nor question the health of the cache.
      }
    }
  }

  private void recordServed(Request request, Attempt attempt, double now) {
    CacheState cache = tiers.get(attempt.cache);
    cache.outliers().recordSuccess(1, now);
    transferTimes.recordEnd(request, true);
    if (attempt.source == attempt.cache && cache.isEdge()) {
      recordHit(request, cache, attempt.outcome, now);
    }
    if (request.requestClass.cacheable()) {
      copies.recordServed(request, attempt, now);
    }
  }

  private void recordHit(Request request, CacheState cache, Outcome outcome, double now) {
    double duration =
        Math.max(MIN_HIT_DURATION_SECONDS, seconds(outcome.duration()) - latencies.minHitLatency());
    boolean sizeKnown = transferTimes.isSizeKnown(request);
    double expectedSlowdown =
        cache.recordHit(duration, transferTimes.transferTime(request), sizeKnown, now);
    transferTimes.recordHit(request, duration, expectedSlowdown);
  }

  private void recordRejected(Attempt attempt, double now) {
    retries.recordRejected(now);
    if (attempt.source != attempt.cache) {
      failures.recordFailure(attempt, REJECTED_FILL_WEIGHT, now);
    }
  }

  /** Refunds the cost of an attempt that did not reach its caches to their slow start budgets. */
  private void refund(Request request, Attempt attempt) {
    double cost = transferTimes.classMean(request);
    for (Cache cache : attempt.contactedCaches()) {
      tiers.get(cache).slowStart().refund(cost, attempt.sentAt);
    }
  }
}
