package tamarindroute.policy;

import static tamarindroute.policy.CacheTiers.first;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import tamarindroute.decision.Request;

/**
 * Selects the source of a fill: the hashed parent if it is currently fast enough, otherwise the
 * origin.
 */
final class FillSourceSelector {

  /**
   * Share of the time until the latency objective within which a fill from a preferred source has
   * to end.
   */
  private static final double PREFERRED_OBJECTIVE_SHARE = 0.7;

  /** Share that allows all of the time until the latency objective. */
  private static final double FULL_OBJECTIVE_SHARE = 1;

  /** Slowdown factor of an idle cache. */
  private static final double NO_SLOWDOWN = 1;

  /** Number of parents at which a copy is looked up before the request waits for a slow source. */
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
   * @param upstreamSlow whether the parents of all hubs are ranked by the placement hash alone. All
   *     gateways then select the same parent, which fetches the object from the origin only once
   */
  Optional<CacheState> select(PlanningContext context, boolean upstreamSlow) {
    return first(
            rankedParents(context.request(), upstreamSlow),
            parent -> isAvailable(context, parent) && isFast(context, parent))
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

  private boolean isFast(PlanningContext context, CacheState parent) {
    double wait = parent.fillLatency().estimate(context.now());
    return objective.isReachable(context, wait, NO_SLOWDOWN, PREFERRED_OBJECTIVE_SHARE);
  }

  private boolean isOriginAvailable(PlanningContext context, CacheState origin) {
    return origin.isReady()
        && !history.wasTriedAsSource(context.request(), origin)
        && (!origin.isEjected() || origin.tryProbe(context));
  }

  /**
   * Returns the parents in the order of the object's placement hash. Parents of the nearest hub
   * come first unless all hubs are ranked alike.
   */
  private List<CacheState> rankedParents(Request request, boolean allHubsAlike) {
    List<CacheState> ranked = CacheTiers.ranked(tiers.parents(), ObjectPopularity.key(request));
    if (!allHubsAlike) {
      ranked.sort(Comparator.comparingInt(CacheState::hubDistance));
    }
    return ranked;
  }

  /**
   * Whether no ready parent could fill an edge within the latency objective.
   *
   * @param slowdown slowdown factor of the edge to be filled, at least 1
   */
  boolean areParentsSlow(PlanningContext context, double slowdown) {
    return tiers.parents().stream()
        .noneMatch(parent -> parent.isReady() && isInTime(context, parent, slowdown));
  }

  /**
   * Whether a fill from the source would end within the latency objective.
   *
   * @param slowdown slowdown factor of the edge to be filled, at least 1
   */
  boolean isInTime(PlanningContext context, CacheState source, double slowdown) {
    double wait = source.fillLatency().estimate(context.now());
    return objective.isReachable(context, wait, slowdown, FULL_OBJECTIVE_SHARE);
  }

  /**
   * Returns a parent at which a copy may be looked up and has not been yet. Returns empty if there
   * is none or the number of lookups is exhausted.
   *
   * @param edge the edge to be filled
   * @param selected the source that would be waited for otherwise, already found usable
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
