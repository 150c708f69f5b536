package tamarindroute.gateway;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import tamarindroute.decision.Attempt;
import tamarindroute.decision.Cache;
import tamarindroute.decision.CacheHealth;
import tamarindroute.decision.Decision;
import tamarindroute.decision.LoadReport;
import tamarindroute.decision.Outcome;
import tamarindroute.decision.Purge;
import tamarindroute.decision.Request;
import tamarindroute.decision.RoutingPolicy;

/**
 * Policy that follows a test's script and records what it is told. Used on one thread, as every
 * policy is.
 */
final class ScriptedPolicy implements RoutingPolicy {

  /** Decisions still to be made, in order. */
  final Queue<Function<Request, Decision>> decisions = new ArrayDeque<>();

  /** Made after an outcome where the script has ended. */
  Decision decisionAfterScript = new Decision.Fail();

  /** Whether an attempt that waited for its connection may go. */
  BooleanSupplier mayStillSend = () -> true;

  final List<Request> routedRequests = new ArrayList<>();
  final List<Attempt> endedAttempts = new ArrayList<>();
  final List<Outcome> outcomes = new ArrayList<>();
  final List<LoadReport> loadReports = new ArrayList<>();
  List<Cache> caches = List.of();

  @Override
  public Decision route(Request request, Duration now) {
    routedRequests.add(request);
    return decisions.remove().apply(request);
  }

  @Override
  public Decision onOutcome(Request request, Attempt attempt, Duration now) {
    endedAttempts.add(attempt);
    outcomes.add(attempt.outcome);
    return decisions.isEmpty() ? decisionAfterScript : decisions.remove().apply(request);
  }

  @Override
  public boolean mayStillSend(Request request, Attempt attempt, Duration now) {
    return mayStillSend.getAsBoolean();
  }

  @Override
  public Duration nextDecisionDelay(Request request, Duration now) {
    return null;
  }

  @Override
  public void onEndpoints(List<Cache> endpoints, Duration now) {
    caches = endpoints;
  }

  @Override
  public void onPurge(Purge purge, Duration now) {}

  @Override
  public void onLoadReport(Cache cache, LoadReport report, Duration now) {
    loadReports.add(report);
  }

  @Override
  public void onQuotaGrant(Cache.Tier tier, double share, Duration expiresAt, Duration now) {}

  @Override
  public CacheHealth cacheHealth(Cache cache, Duration now) {
    return null;
  }

  @Override
  public List<Cache> rankedCaches(long objectId) {
    return List.of();
  }

  @Override
  public void onHealthCheck(Cache cache, Outcome.Result result, Duration now) {}
}
