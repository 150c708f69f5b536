package tamarindroute.policy;

import java.util.Optional;
import tamarindroute.decision.Attempt;

/**
 * Plans attempts that send a cacheable request directly to a parent or the origin. They are used
 * where bypassing the edges is allowed and no edge can be used or the selected edge is too busy.
 */
final class BypassPlanner {

  /** Share of the time until the latency objective within which the attempt has to end. */
  private static final double OBJECTIVE_SHARE = 0.8;

  private final CacheTiers tiers;
  private final FillSourceSelector sources;
  private final FillAdmission admission;
  private final LatencyObjective objective;
  private final AttemptFactory attempts;

  BypassPlanner(
      CacheTiers tiers,
      FillSourceSelector sources,
      FillAdmission admission,
      LatencyObjective objective,
      AttemptFactory attempts) {
    this.tiers = tiers;
    this.sources = sources;
    this.admission = admission;
    this.objective = objective;
    this.attempts = attempts;
  }

  /**
   * Returns an attempt at a parent or the origin; empty if none of them can serve the request in
   * time, or if the fills in flight already exceed the capacity of the edges.
   */
  Optional<Attempt> plan(PlanningContext context) {
    if (admission.isOverCapacity(context.now()) && tiers.hasReadyEdge()) {
      return Optional.empty();
    }
    return sources
        .select(context, false)
        .filter(target -> IdempotencyGuard.isWithinScope(context.request(), target))
        .filter(target -> isInTime(context, target))
        .map(target -> attempts.bypass(context, target, tiers.firstReadyOrigin().orElse(target)));
  }

  private boolean isInTime(PlanningContext context, CacheState target) {
    double wait = target.fillLatency().estimate(context.now());
    double slowdown = target.slowdown().factor(context.now());
    return objective.isReachable(context, wait, slowdown, OBJECTIVE_SHARE);
  }
}
