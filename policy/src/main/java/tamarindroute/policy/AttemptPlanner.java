package tamarindroute.policy;

import static tamarindroute.numeric.Seconds.seconds;

import java.util.Optional;
import tamarindroute.decision.Attempt;
import tamarindroute.decision.Cache;
import tamarindroute.decision.Decision;
import tamarindroute.decision.Request;

/** Plans the next attempt of a request, or ends the request. */
final class AttemptPlanner {

  /** Time before the client's deadline within which no attempt is started. */
  private static final double MIN_TIME_LEFT_SECONDS = 0.002;

  private final int maxAttempts;
  private final CacheTiers tiers;
  private final TransferTimes transferTimes;
  private final RetryPolicy retries;
  private final InFlightTracker inFlight;
  private final CacheableRequestPlanner cacheable;
  private final UncacheableRequestPlanner uncacheable;
  private final RejectionPolicy rejections;

  AttemptPlanner(
      int maxAttempts,
      CacheTiers tiers,
      TransferTimes transferTimes,
      RetryPolicy retries,
      InFlightTracker inFlight,
      CacheableRequestPlanner cacheable,
      UncacheableRequestPlanner uncacheable,
      RejectionPolicy rejections) {
    this.maxAttempts = maxAttempts;
    this.tiers = tiers;
    this.transferTimes = transferTimes;
    this.retries = retries;
    this.inFlight = inFlight;
    this.cacheable = cacheable;
    this.uncacheable = uncacheable;
    this.rejections = rejections;
  }

  /** Whether enough time is left before the client's deadline to send an attempt. */
  static boolean hasTimeLeft(Request request, double now) {
    return seconds(request.deadline) - now >= MIN_TIME_LEFT_SECONDS;
  }

  /**
   * Returns an attempt, which is counted as in flight and paid from the slow start budgets of its
   * caches, or the final decision on the request.
   */
  Decision next(Request request, double now) {
    PlanningContext context = new PlanningContext(request, transferTimes.classMean(request), now);
    Optional<Attempt> planned = mayAttempt(request, now) ? plan(context) : Optional.empty();
    if (planned.isEmpty()) {
      return giveUp(request);
    }
    Attempt attempt = planned.get();
    inFlight.onSent(attempt, now);
    for (Cache cache : attempt.contactedCaches()) {
      tiers.get(cache).slowStart().spend(context);
    }
    return attempt;
  }

  private boolean mayAttempt(Request request, double now) {
    return request.attempts.size() < maxAttempts
        && hasTimeLeft(request, now)
        && retries.allowsAttempt(request, now)
        && IdempotencyGuard.mayStart(request, null, now);
  }

  private Optional<Attempt> plan(PlanningContext context) {
    return context.request().requestClass.cacheable()
        ? cacheable.plan(context)
        : uncacheable.plan(context);
  }

  private Decision giveUp(Request request) {
    if (request.outstandingAttempt() == null) {
      transferTimes.recordEnd(request, false);
    }
    return rejections.giveUp(request);
  }
}
