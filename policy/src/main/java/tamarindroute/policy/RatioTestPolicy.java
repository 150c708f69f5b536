package tamarindroute.policy;

import static tamarindroute.numeric.Seconds.seconds;

import java.time.Duration;
import java.util.*;
import tamarindroute.decision.*;

/**
 * All decisions of one gateway, called by the interface Decisions. On the ordinary path
 * (docs/design.md) the ratio test makes an object hot; hot ones are spread over the edges, others
 * keep one hashed cache.
 */
public final class RatioTestPolicy implements RoutingPolicy {

  private final CacheTiers tiers;
  private final OutcomeRecorder outcomeRecorder;
  private final AttemptPlanner attemptPlanner;

  public RatioTestPolicy(PolicySettings settings) {
    tiers = new CacheTiers(settings);
    outcomeRecorder = new OutcomeRecorder(tiers, new ObjectPopularity(), new Rules(tiers));
    attemptPlanner =
        new AttemptPlanner(
            tiers, outcomeRecorder.popularity(), outcomeRecorder.rules(), outcomeRecorder);
  }

  @Override
  public void onPurge(Purge purge, Duration now) {
    outcomeRecorder.rules().purged(purge, seconds(now));
  }

  @Override
  public void onEndpoints(List<Cache> list, Duration now) {
    tiers.onEndpoints(list, seconds(now));
  }

  @Override
  public void onLoadReport(Cache cache, LoadReport report, Duration now) {
    Optional.ofNullable(tiers.states.get(cache))
        .ifPresent(state -> state.onLoadReport(report, seconds(now)));
  }

  /**
   * What had flowed in by now came by the part before: savings must not follow the part to and fro.
   */
  @Override
  public void onQuotaGrant(Cache.Tier tier, double share, Duration expiresAt, Duration now) {
    tiers.states.values().stream()
        .filter(n -> n.cache.tier == tier)
        .forEach(n -> n.bears(0, seconds(now)));
    tiers.quotaGrants.put(
        tier, new QuotaGrant(Math.max(0, Math.min(1, share)), seconds(expiresAt)));
  }

  @Override
  public CacheHealth cacheHealth(Cache cache, Duration at) {
    CacheState state = tiers.states.get(cache);
    double now = seconds(at);
    return state == null
        ? null
        : new CacheHealth(
            state.cache.isReady(),
            state.isCold(now),
            state.ejected,
            state.failureEvidence.valueAt(now),
            state.isCold(now) ? 0.7 * state.rate(now) : Double.POSITIVE_INFINITY,
            state.cpuUtilization.valueAt(now),
            cache.weight);
  }

  @Override
  public List<Cache> rankedCaches(long object) {
    return CacheTiers.rank(tiers.edges, ObjectPopularity.key(object, 0)).stream()
        .map(n -> n.cache)
        .toList();
  }

  /** Probes are told as views' outcomes are: silence speaks half as loud as a refusal. */
  @Override
  public void onHealthCheck(Cache cache, Outcome.Result result, Duration now) {
    double weight =
        switch (result) {
          case SERVED -> -1;
          case FAILED, CONNECTION_LOST, CONNECT_FAILED -> 1;
          case TIMED_OUT -> 0.5;
          default -> 0;
        };
    Optional.ofNullable(tiers.states.get(cache))
        .filter(n -> weight != 0)
        .ifPresent(n -> n.judge(weight, seconds(now)));
  }

  @Override
  public Decision route(Request request, Duration at) {
    double now = seconds(at);
    tiers.currentRequest = request;
    if (request.attempts.isEmpty()) {
      if (tiers.isSizeKnown(request)) {
        tiers.statistics(request).transfer(tiers.transferTime(request));
      }
      if (request.requestClass.cacheable()) {
        outcomeRecorder.popularity().item(request, now).count++;
      }
      return attemptPlanner.next(request, now);
    }
    Attempt late = request.attempts.stream().filter(t -> t.isLate(at)).findFirst().orElse(null);
    return late == null
        ? OutcomeRecorder.WAIT
        : outcomeRecorder.onLate(request, late, now, () -> attemptPlanner.next(request, now));
  }

  @Override
  public boolean mayStillSend(Request request, Attempt attempt, Duration now) {
    return outcomeRecorder.rules().mayStillGo(request, attempt, seconds(now));
  }

  @Override
  public Duration nextDecisionDelay(Request request, Duration now) {
    return request.delayUntilNextLate(now);
  }

  @Override
  public Decision onOutcome(Request request, Attempt attempt, Duration now) {
    tiers.currentRequest = null;
    outcomeRecorder.recordOutcome(request, attempt, seconds(now));
    tiers.currentRequest = request;
    Attempt out = request.outstandingAttempt();
    if (out != null && attempt.outcome.requestCompleted() && tiers.settings.cancelAllowed()) {
      return new Decision.Cancel(out);
    }
    return out != null || attempt.outcome.requestCompleted()
        ? OutcomeRecorder.WAIT
        : attemptPlanner.next(request, seconds(now));
  }
}
