package tamarindroute.policy;

import static tamarindroute.policy.CacheTiers.first;

import java.util.List;
import java.util.Optional;
import tamarindroute.decision.Request;

/**
 * Selects the edge to which a cacheable request is sent. A request without earlier attempts may
 * also be sent to an ejected edge as a probe.
 */
final class EdgeSelector {

  private final boolean bypassAllowed;
  private final AttemptHistory history;

  /**
   * Creates a selector.
   *
   * @param bypassAllowed whether requests may be sent past the edges. If not, an ejected edge is
   *     used when no other edge can be used, since the request could not be served otherwise
   */
  EdgeSelector(boolean bypassAllowed, AttemptHistory history) {
    this.bypassAllowed = bypassAllowed;
    this.history = history;
  }

  /**
   * Returns the edge to use; empty if no edge can be used.
   *
   * @param ranked the edges in the order of the object's placement hash
   * @param spread whether the least busy usable edge is selected instead of the first one. An
   *     ejected edge that is due for a probe is selected in either case if it is the first one
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
   * Whether the edge may be used regardless of ejection. This is checked only if no edge is usable
   * and requests may not bypass the edges.
   */
  private boolean isLastResort(PlanningContext context, CacheState edge) {
    return isEligible(context.request(), edge)
        && edge.isReady()
        && edge.slowStart().admits(context);
  }
}
