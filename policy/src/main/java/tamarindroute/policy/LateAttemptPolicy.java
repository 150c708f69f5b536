package tamarindroute.policy;

import static tamarindroute.numeric.Seconds.seconds;

import tamarindroute.decision.Attempt;
import tamarindroute.decision.Decision;
import tamarindroute.decision.PolicySettings;
import tamarindroute.decision.Request;

/**
 * Decides what to do about a late attempt, which is an attempt without an outcome at {@link
 * Attempt#expectedBy}. Each late attempt is recorded in the outlier detection of its cache and
 * source. Nothing else is done unless a retry is allowed and can meet the latency objective. In
 * that case a second attempt is sent if the settings allow hedging. If they do not, the late
 * attempt is cancelled if the settings allow it and the outlier detection has much evidence against
 * the cache or the source.
 */
final class LateAttemptPolicy {

  /** Weight of a late attempt in outlier detection, relative to a failure. */
  private static final double LATE_WEIGHT = 0.5;

  /**
   * A second attempt is sent, or the late one cancelled, only if this multiple of the transfer time
   * is left before the latency objective.
   */
  private static final double MIN_TRANSFER_TIMES_BEFORE_OBJECTIVE = 1.2;

  /** Value of {@link OutlierDetector#evidence} above which a late attempt is cancelled. */
  private static final double CANCEL_EVIDENCE = 3;

  private final PolicySettings settings;
  private final CacheTiers tiers;
  private final TransferTimes transferTimes;
  private final LatencyEstimates latencies;
  private final RetryPolicy retries;
  private final FailureAttribution failures;
  private final AttemptPlanner planner;

  LateAttemptPolicy(
      PolicySettings settings,
      CacheTiers tiers,
      TransferTimes transferTimes,
      LatencyEstimates latencies,
      RetryPolicy retries,
      FailureAttribution failures,
      AttemptPlanner planner) {
    this.settings = settings;
    this.tiers = tiers;
    this.transferTimes = transferTimes;
    this.latencies = latencies;
    this.retries = retries;
    this.failures = failures;
    this.planner = planner;
  }

  /**
   * Records the late attempt and returns a second attempt, the cancellation of the late one or
   * {@link Decision#WAIT}.
   *
   * @param attempt an outstanding attempt of the request that is late
   */
  Decision onLate(Request request, Attempt attempt, double now) {
    failures.recordTimeout(attempt, LATE_WEIGHT, now);
    recordWait(request, attempt, now);
    if (!mayRetry(request, now) || !isObjectiveReachable(request, now)) {
      return Decision.WAIT;
    }
    if (settings.hedgingAllowed()) {
      return planner.next(request, now) instanceof Attempt second ? second : Decision.WAIT;
    }
    boolean cancel = settings.cancelAllowed() && isSuspected(request, attempt, now);
    return cancel ? new Decision.Cancel(attempt) : Decision.WAIT;
  }

  /** Records the time that the attempt has waited for a fill so far, if it waits for one. */
  private void recordWait(Request request, Attempt attempt, double now) {
    if (attempt.source != attempt.cache && !attempt.onlyIfCached) {
      double wait = now - seconds(attempt.sentAt) - transferTimes.transferTime(request);
      tiers.get(attempt.source).fillLatency().record(wait, latencies.fillLatency(), now);
    }
  }

  private boolean mayRetry(Request request, double now) {
    return retries.allowsAttempt(request, now) && IdempotencyGuard.mayStart(request, null, now);
  }

  private boolean isObjectiveReachable(Request request, double now) {
    double transferTime = transferTimes.transferTime(request);
    return now + MIN_TRANSFER_TIMES_BEFORE_OBJECTIVE * transferTime
        <= transferTimes.objectiveTime(request);
  }

  /**
   * Whether the evidence against the cache or the source of the attempt exceeds {@link
   * #CANCEL_EVIDENCE}. The source of an uncacheable request is not considered: it is the origin for
   * every such request, whichever cache the request is sent to.
   */
  private boolean isSuspected(Request request, Attempt attempt, double now) {
    double cacheEvidence = tiers.get(attempt.cache).outliers().evidence(now);
    boolean sourceCounts = request.requestClass.cacheable();
    double sourceEvidence = sourceCounts ? tiers.get(attempt.source).outliers().evidence(now) : 0;
    return Math.max(cacheEvidence, sourceEvidence) > CANCEL_EVIDENCE;
  }
}
