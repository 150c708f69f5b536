package tamarindroute.policy;

import static tamarindroute.policy.CacheTiers.first;

import java.util.List;
import java.util.Optional;
import tamarindroute.decision.Request;

/** Selects the edge for a cacheable request. */
final class EdgeSelector {

  private final boolean bypassAllowed;
  private final AttemptHistory history;

  /**
   * Creates a selector.
   *
   * @param bypassAllowed whether requests may bypass the edges. Without it an ejected edge is used
   *     if no other is left, since it is better than none
   */
  EdgeSelector(boolean bypassAllowed, AttemptHistory history) {
    this.bypassAllowed = bypassAllowed;
    this.history = history;
  }

  /**
   * Returns the edge to use; empty if no edge can be used.
   *
   * @param ranked the edges in the order of the object's placement hash
   * @param spread whether the least busy usable edge is selected in place of the first one
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

  /**
   * Whether the edge may be used although it may be ejected. This applies only if no other edge is
   * left.
   */
  private boolean isLastResort(PlanningContext context, CacheState edge) {
    return isEligible(context.request(), edge)
        && edge.isReady()
        && edge.slowStart().admits(context);
  }
}
