package tamarindroute.policy;

import static tamarindroute.policy.CacheTiers.first;

import java.util.Optional;
import tamarindroute.decision.Attempt;
import tamarindroute.decision.Request;

/**
 * Plans attempts of cacheable requests. A hot object is served by the least busy edge, any other
 * object by its hashed edge. The first attempt is a cache lookup: a hit needs no source, and a miss
 * is known before its fill takes capacity.
 */
final class CacheableRequestPlanner {

  /** Retention rank of objects that one edge stores. */
  private static final int RANK_SINGLE = 1;

  /** Retention rank of hot objects, which several edges store. */
  private static final int RANK_HOT = 2;

  /**
   * Share of the time until the latency objective within which an attempt at an edge has to end.
   */
  private static final double OBJECTIVE_SHARE = 0.8;

  /** Wait before the transfer of a hit, in seconds. */
  private static final double NO_WAIT_SECONDS = 0;

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

  /**
   * Returns the next attempt; empty if no attempt would be answered within the latency objective.
   */
  Optional<Attempt> plan(PlanningContext context) {
    Request request = context.request();
    ObjectPlacement.Placement placement = placements.place(request, context.now());
    Optional<CacheState> home = first(placement.ranked(), candidate -> candidate.isUsable(context));
    Optional<CacheState> edge = edges.select(context, placement.ranked(), placement.spread());
    if (edge.isEmpty()) {
      return bypassAllowed ? bypass.plan(context) : Optional.empty();
    }
    double slowdown = edge.get().slowdown().factor(context.now());
    if (!objective.isReachable(context, NO_WAIT_SECONDS, slowdown, OBJECTIVE_SHARE)) {
      return mayBypassBusyEdge(request) ? bypass.plan(context) : Optional.empty();
    }
    int rank = placement.hot() ? RANK_HOT : RANK_SINGLE;
    if (isLookupNeeded(context, edge.get())) {
      return Optional.of(attempts.lookup(context, edge.get(), rank));
    }
    if (placement.hot() && home.isPresent() && mayFillFromHome(request, edge.get(), home.get())) {
      return Optional.of(attempts.fillIfCached(context, edge.get(), home.get(), rank));
    }
    return fills.plan(context, edge.get(), slowdown, rank);
  }

  /**
   * Whether a request that a busy edge cannot serve in time may bypass the edges. It is never sent
   * to the next edge: it would be a miss there, and the fill would load the links and the caches
   * upstream.
   */
  private boolean mayBypassBusyEdge(Request request) {
    return bypassAllowed && request.attempts.isEmpty();
  }

  /**
   * Whether the edge has to be looked up before a fill. A cold edge is empty, and a lookup would
   * cost as much of its slow start budget as a whole request.
   */
  private static boolean isLookupNeeded(PlanningContext context, CacheState edge) {
    return !context.request().isKnownMiss(edge.cache(), edge.cache())
        && !edge.isCold(context.now());
  }

  private boolean mayFillFromHome(Request request, CacheState edge, CacheState home) {
    return home != edge && !history.wasTriedAsSource(request, home);
  }
}
