package tamarindroute.policy;

import java.util.Optional;
import tamarindroute.decision.Attempt;

/**
 * Plans attempts of uncacheable requests. They are executed at the origin: sent there directly
 * where bypassing the edges is allowed, otherwise through the least busy edge.
 */
final class UncacheableRequestPlanner {

  private final boolean bypassAllowed;
  private final CacheTiers tiers;
  private final FillSourceSelector sources;
  private final AttemptHistory history;
  private final AttemptFactory attempts;

  UncacheableRequestPlanner(
      boolean bypassAllowed,
      CacheTiers tiers,
      FillSourceSelector sources,
      AttemptHistory history,
      AttemptFactory attempts) {
    this.bypassAllowed = bypassAllowed;
    this.tiers = tiers;
    this.sources = sources;
    this.history = history;
    this.attempts = attempts;
  }

  /** Returns the next attempt; empty if no cache can accept the request. */
  Optional<Attempt> plan(PlanningContext context) {
    Optional<CacheState> origin = tiers.firstReadyOrigin();
    if (origin.isPresent() && bypassAllowed) {
      return Optional.of(attempts.direct(origin.get()));
    }
    Optional<CacheState> edge =
        CacheTiers.leastBusy(
            tiers.edges(), candidate -> isUsable(context, candidate), context.now());
    Optional<CacheState> source = origin.or(() -> sources.select(context, false));
    return edge.isPresent() && source.isPresent()
        ? Optional.of(attempts.passThrough(context, edge.get(), source.get()))
        : Optional.empty();
  }

  private boolean isUsable(PlanningContext context, CacheState edge) {
    return edge.isUsable(context)
        && !history.hasFailedAt(context.request(), edge)
        && IdempotencyGuard.isWithinScope(context.request(), edge);
  }
}
