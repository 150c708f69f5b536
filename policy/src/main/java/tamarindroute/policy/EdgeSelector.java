package tamarindroute.policy;

import static tamarindroute.policy.CacheTiers.first;

import java.util.List;
import java.util.Optional;
import tamarindroute.decision.Request;

/** Chooses the edge for a cacheable request. */
final class EdgeSelector {

  private final boolean bypassAllowed;
  private final AttemptHistory history;

  /** Takes whether requests may go past the edges, which is preferred to an ejected edge. */
  EdgeSelector(boolean bypassAllowed, AttemptHistory history) {
    this.bypassAllowed = bypassAllowed;
    this.history = history;
  }

  /**
   * Returns the edge to use; empty if none can be used.
   *
   * @param ranked the edges in the order of the object's hash
   * @param spread whether any usable edge may be taken instead of the first, to balance load
   */
  Optional<CacheState> select(PlanningContext context, List<CacheState> ranked, boolean spread) {
    Optional<CacheState> edge =
        first(ranked, candidate -> isUsable(context, candidate) || isProbe(context, candidate));
    if (spread && edge.isPresent() && !edge.get().isEjected()) {
      edge = CacheTiers.leastBusy(ranked, candidate -> isUsable(context, candidate), context.now());
    }
    return edge.isPresent() || bypassAllowed
        ? edge
        : first(ranked, candidate -> isLastResort(context, candidate));
  }

  private boolean isEligible(Request request, CacheState edge) {
    return !history.hasFailedAt(request, edge) && IdempotencyGuard.isWithinScope(request, edge);
  }

  private boolean isUsable(PlanningContext context, CacheState edge) {
    return isEligible(context.request(), edge) && edge.isUsable(context);
  }

  private boolean isProbe(PlanningContext context, CacheState edge) {
    Request request = context.request();
    return isEligible(request, edge) && request.attempts.isEmpty() && edge.tryProbe(context);
  }

  /** Whether an edge may be used although it is ejected, where nothing better is left. */
  private boolean isLastResort(PlanningContext context, CacheState edge) {
    return isEligible(context.request(), edge)
        && edge.isReady()
        && edge.slowStart().admits(context);
  }
}
