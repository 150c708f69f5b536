package tamarindroute.policy;

import static tamarindroute.numeric.Seconds.seconds;

import tamarindroute.decision.Attempt;
import tamarindroute.decision.Decision;
import tamarindroute.decision.PolicySettings;
import tamarindroute.decision.Request;

/**
 * Decides about an attempt that is late. It counts against its cache and source; a second one is
 * sent where hedging is allowed, else it is cancelled once its cache or source is suspected for
 * other requests' failures.
 */
final class LateAttemptPolicy {

  /** Weight of a late attempt, relative to a failure. */
  private static final double LATE_WEIGHT = 0.5;

  /** A further attempt has to fit so many transfer times into the latency objective. */
  private static final double MIN_TRANSFER_TIMES_LEFT = 1.2;

  /** Evidence against a cache above which a late attempt is cancelled. */
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

  Decision onLate(Request request, Attempt attempt, double now) {
    failures.recordSilence(attempt, LATE_WEIGHT, now);
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
    return now + MIN_TRANSFER_TIMES_LEFT * transferTime <= transferTimes.objectiveTime(request);
  }

  /**
   * An uncacheable request has the one origin as its source wherever it is sent: there only the
   * cache counts.
   */
  private boolean isSuspected(Request request, Attempt attempt, double now) {
    double ofCache = tiers.get(attempt.cache).outliers().evidence(now);
    boolean sourceCounts = request.requestClass.cacheable();
    double ofSource = sourceCounts ? tiers.get(attempt.source).outliers().evidence(now) : 0;
    return Math.max(ofCache, ofSource) > CANCEL_EVIDENCE;
  }
}
