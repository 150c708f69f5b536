package tamarindroute.policy;

import static tamarindroute.policy.CacheTiers.first;

import java.util.Optional;
import tamarindroute.decision.Attempt;
import tamarindroute.decision.Request;

/**
 * Plans attempts of cacheable requests: a hot object at the least busy edge, any other at its
 * hashed edge. A lookup goes first: a hit needs no source, and a miss is known before its fill
 * takes capacity.
 */
final class CacheableRequestPlanner {

  /** Retention rank of objects stored by one edge. */
  private static final int RANK_SINGLE = 1;

  /** Retention rank of hot objects, stored by several edges. */
  private static final int RANK_HOT = 2;

  /** Part of the latency objective that an attempt at an edge has to meet. */
  private static final double OBJECTIVE_SHARE = 0.8;

  private static final double NO_WAIT = 0;

  private final boolean bypassAllowed;
  private final ObjectPlacement placements;
  private final EdgeSelector edges;
  private final EdgeFillPlanner fills;
  private final BypassPlanner bypass;
  private final LatencyObjective objective;
  private final AttemptHistory history;
  private final AttemptFactory attempts;

  CacheableRequestPlanner(
      boolean bypassAllowed,
      ObjectPlacement placements,
      EdgeSelector edges,
      EdgeFillPlanner fills,
      BypassPlanner bypass,
      LatencyObjective objective,
      AttemptHistory history,
      AttemptFactory attempts) {
    this.bypassAllowed = bypassAllowed;
    this.placements = placements;
    this.edges = edges;
    this.fills = fills;
    this.bypass = bypass;
    this.objective = objective;
    this.history = history;
    this.attempts = attempts;
  }

  /** Returns the next attempt; empty if the request cannot be served in time. */
  Optional<Attempt> plan(PlanningContext context) {
    Request request = context.request();
    ObjectPlacement.Placement placement = placements.place(request, context.now());
    Optional<CacheState> home = first(placement.ranked(), candidate -> candidate.isUsable(context));
    Optional<CacheState> edge = edges.select(context, placement.ranked(), placement.spread());
    if (edge.isEmpty()) {
      return bypassAllowed ? bypass.plan(context) : Optional.empty();
    }
    double slowdown = edge.get().slowdown().factor(context.now());
    if (!objective.isReachable(context, NO_WAIT, slowdown, OBJECTIVE_SHARE)) {
      return mayBypassBusyEdge(request) ? bypass.plan(context) : Optional.empty();
    }
    int rank = placement.hot() ? RANK_HOT : RANK_SINGLE;
    if (isLookupDue(context, edge.get())) {
      return Optional.of(attempts.lookup(context, edge.get(), rank));
    }
    if (placement.hot() && home.isPresent() && mayFillFromHome(request, edge.get(), home.get())) {
      return Optional.of(attempts.fillIfCached(context, edge.get(), home.get(), rank));
    }
    return fills.plan(context, edge.get(), slowdown, rank);
  }

  /**
   * A request that a busy edge cannot serve in time is not sent to the next edge, which would have
   * to fetch the object.
   */
  private boolean mayBypassBusyEdge(Request request) {
    return bypassAllowed && request.attempts.isEmpty();
  }

  /**
   * A cold edge is empty, and a lookup would be counted against its budget like a whole request.
   */
  private static boolean isLookupDue(PlanningContext context, CacheState edge) {
    return !context.request().isKnownMiss(edge.cache(), edge.cache())
        && !edge.isCold(context.now());
  }

  private boolean mayFillFromHome(Request request, CacheState edge, CacheState home) {
    return home != edge && !history.wasTriedAsSource(request, home);
  }
}
