package tamarindroute.policy;

import static tamarindroute.policy.CacheTiers.first;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import tamarindroute.decision.Request;

/**
 * Chooses where a miss is filled from: a hashed parent that is quick enough at the moment, else the
 * origin.
 */
final class FillSourceSelector {

  /** Part of the latency objective that a preferred source has to meet. */
  private static final double PREFERRED_OBJECTIVE_SHARE = 0.7;

  private static final double FULL_OBJECTIVE = 1;
  private static final double NO_SLOWDOWN = 1;

  /** Parents that are looked up for a copy before a slow source is waited for. */
  private static final int MAX_LOOKUPS = 3;

  private final CacheTiers tiers;
  private final AttemptHistory history;
  private final LatencyObjective objective;

  FillSourceSelector(CacheTiers tiers, AttemptHistory history, LatencyObjective objective) {
    this.tiers = tiers;
    this.history = history;
    this.objective = objective;
  }

  /**
   * Returns the source for a fill; empty if there is none.
   *
   * @param upstreamSlow whether parents of all hubs are ranked alike, so that all gateways ask the
   *     same one, and it the origin only once
   */
  Optional<CacheState> select(PlanningContext context, boolean upstreamSlow) {
    return first(
            rankedParents(context.request(), upstreamSlow),
            parent -> isAvailable(context, parent) && isQuick(context, parent))
        .or(
            () ->
                first(
                    rankedParents(context.request(), true), parent -> isAvailable(context, parent)))
        .or(() -> first(tiers.origins(), origin -> isOriginAvailable(context, origin)));
  }

  private boolean isAvailable(PlanningContext context, CacheState parent) {
    return !history.wasTriedAsSource(context.request(), parent)
        && (parent.isUsable(context) || parent.tryProbe(context));
  }

  private boolean isQuick(PlanningContext context, CacheState parent) {
    double wait = parent.fillLatency().estimate(context.now());
    return objective.isReachable(context, wait, NO_SLOWDOWN, PREFERRED_OBJECTIVE_SHARE);
  }

  private boolean isOriginAvailable(PlanningContext context, CacheState origin) {
    return origin.isReady()
        && !history.wasTriedAsSource(context.request(), origin)
        && (!origin.isEjected() || origin.tryProbe(context));
  }

  /** Returns the parents by hash, the nearest hub's first unless all hubs are ranked alike. */
  private List<CacheState> rankedParents(Request request, boolean allHubsAlike) {
    List<CacheState> ranked = CacheTiers.ranked(tiers.parents(), ObjectPopularity.key(request));
    if (!allHubsAlike) {
      ranked.sort(Comparator.comparingInt(CacheState::hubDistance));
    }
    return ranked;
  }

  /** Whether no ready parent would be in time for a transfer that takes so many times longer. */
  boolean areParentsSlow(PlanningContext context, double slowdown) {
    return tiers.parents().stream()
        .noneMatch(parent -> parent.isReady() && isInTime(context, parent, slowdown));
  }

  /** Whether a fill from the source would be in time. */
  boolean isInTime(PlanningContext context, CacheState source, double slowdown) {
    double wait = source.fillLatency().estimate(context.now());
    return objective.isReachable(context, wait, slowdown, FULL_OBJECTIVE);
  }

  /**
   * Returns a parent that may hold a copy and was not looked up yet; empty if enough were.
   *
   * @param edge the edge to be filled
   * @param selected the source otherwise waited for, already found usable
   */
  Optional<CacheState> selectForLookup(
      PlanningContext context, CacheState edge, CacheState selected) {
    Request request = context.request();
    long lookups = request.attempts.stream().filter(attempt -> attempt.onlyIfCached).count();
    if (lookups >= MAX_LOOKUPS) {
      return Optional.empty();
    }
    return first(
        rankedParents(request, false),
        parent ->
            !history.wasTriedAsSource(request, parent)
                && !request.isKnownMiss(edge.cache(), parent.cache())
                && (parent == selected || parent.isUsable(context)));
  }
}
