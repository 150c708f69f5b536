package tamarindroute.policy;

import static tamarindroute.numeric.Seconds.seconds;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import tamarindroute.decision.Attempt;
import tamarindroute.decision.Cache;
import tamarindroute.decision.CacheHealth;
import tamarindroute.decision.Decision;
import tamarindroute.decision.LoadReport;
import tamarindroute.decision.Outcome;
import tamarindroute.decision.PolicySettings;
import tamarindroute.decision.Purge;
import tamarindroute.decision.QuotaGrant;
import tamarindroute.decision.Request;
import tamarindroute.decision.RoutingPolicy;

/**
 * A routing policy that stores one copy of an object at its hashed edge and spreads objects over
 * all edges if they pass the ratio test of density against latency ({@link RatioTest}). Each
 * gateway has one instance. Not thread-safe.
 */
public final class RatioTestPolicy implements RoutingPolicy {

  /** Weight in outlier detection of a health check that timed out; a failed one has weight 1. */
  private static final double TIMEOUT_WEIGHT = 0.5;

  /**
   * Share of this gateway's rate for a cold cache that is reported in {@link CacheHealth}. Its
   * users direct clients to caches and do not carry the requests themselves.
   */
  private static final double REPORTED_COLD_SHARE = 0.7;

  private final boolean cancelAllowed;
  private final CacheTiers tiers;
  private final QuotaGrants quotaGrants;
  private final TransferTimes transferTimes;
  private final ObjectPopularity popularity;
  private final PurgeTracker purges;
  private final QueuedAttemptCheck queuedAttemptCheck;
  private final AttemptPlanner planner;
  private final LateAttemptPolicy lateAttempts;
  private final OutcomeRecorder outcomes;

  /**
   * Creates a policy without endpoints. {@link #onEndpoints} has to be called before the first
   * request.
   *
   * @param settings the settings of the gateway, fixed for the life of the policy
   */
  public RatioTestPolicy(PolicySettings settings) {
    SharedState shared = SharedState.create(settings);
    FailureAttribution failures = new FailureAttribution(settings, shared.tiers());
    cancelAllowed = settings.cancelAllowed();
    tiers = shared.tiers();
    quotaGrants = shared.quotaGrants();
    transferTimes = shared.transferTimes();
    popularity = shared.popularity();
    purges = shared.purges();
    queuedAttemptCheck = new QueuedAttemptCheck(purges);
    planner = shared.newPlanner();
    lateAttempts = shared.newLateAttemptPolicy(failures, planner);
    outcomes = shared.newOutcomeRecorder(failures);
  }

  @Override
  public Decision route(Request request, Duration at) {
    double now = seconds(at);
    if (request.attempts.isEmpty()) {
      recordArrival(request, now);
      return planner.next(request, now);
    }
    Optional<Attempt> late =
        request.attempts.stream().filter(attempt -> attempt.isLate(at)).findFirst();
    return late.isEmpty() ? Decision.WAIT : lateAttempts.onLate(request, late.get(), now);
  }

  private void recordArrival(Request request, double now) {
    transferTimes.recordArrival(request);
    if (request.requestClass.cacheable()) {
      popularity.statistics(request, now).recordRequest();
    }
  }

  @Override
  public Decision onOutcome(Request request, Attempt attempt, Duration at) {
    double now = seconds(at);
    outcomes.recordOutcome(request, attempt, now);
    Attempt outstanding = request.outstandingAttempt();
    boolean completed = attempt.outcome.requestCompleted();
    if (outstanding != null && completed && cancelAllowed) {
      return new Decision.Cancel(outstanding);
    }
    return outstanding != null || completed ? Decision.WAIT : planner.next(request, now);
  }

  @Override
  public boolean mayStillSend(Request request, Attempt attempt, Duration now) {
    return queuedAttemptCheck.mayStillSend(request, attempt, seconds(now));
  }

  @Override
  public Duration nextDecisionDelay(Request request, Duration now) {
    return request.delayUntilNextLate(now);
  }

  @Override
  public void onEndpoints(List<Cache> caches, Duration now) {
    tiers.onEndpoints(caches, seconds(now));
  }

  @Override
  public void onPurge(Purge purge, Duration now) {
    purges.onPurge(purge, seconds(now));
  }

  @Override
  public void onLoadReport(Cache cache, LoadReport report, Duration now) {
    tiers.find(cache).ifPresent(state -> state.onLoadReport(report, seconds(now)));
  }

  @Override
  public void onQuotaGrant(Cache.Tier tier, double share, Duration expiresAt, Duration now) {
    // Tokens of the time until now accrue at the rate of the previous grant. What was saved up must
    // not grow or shrink each time the granted share changes.
    tiers.all(tier).forEach(state -> state.slowStart().accrue(seconds(now)));
    quotaGrants.put(tier, new QuotaGrant(Math.max(0, Math.min(1, share)), seconds(expiresAt)));
  }

  @Override
  public CacheHealth cacheHealth(Cache cache, Duration at) {
    return tiers.find(cache).map(state -> health(state, seconds(at))).orElse(null);
  }

  private static CacheHealth health(CacheState state, double now) {
    boolean cold = state.isCold(now);
    return new CacheHealth(
        state.isReady(),
        cold,
        state.isEjected(),
        state.outliers().evidence(now),
        cold
            ? REPORTED_COLD_SHARE * state.slowStart().evenShareRate(now)
            : Double.POSITIVE_INFINITY,
        state.slowdown().cpuUtilization(now),
        state.cache().weight);
  }

  @Override
  public List<Cache> rankedCaches(long objectId) {
    return CacheTiers.ranked(tiers.edges(), ObjectPopularity.key(objectId, 0)).stream()
        .map(CacheState::cache)
        .toList();
  }

  @Override
  public void onHealthCheck(Cache cache, Outcome.Result result, Duration at) {
    double now = seconds(at);
    tiers.find(cache).ifPresent(state -> recordHealthCheck(state.outliers(), result, now));
  }

  private static void recordHealthCheck(
      OutlierDetector outliers, Outcome.Result result, double now) {
    switch (result) {
      case SERVED -> outliers.recordSuccess(1, now);
      case FAILED, CONNECTION_LOST, CONNECT_FAILED -> outliers.recordFailure(1, now);
      case TIMED_OUT -> outliers.recordFailure(TIMEOUT_WEIGHT, now);
      case REJECTED, CANCELLED, NOT_SENT, DEADLINE_EXCEEDED, MISS -> {
        // These results neither confirm nor question the health of the cache.
      }
    }
  }
}
