package tamarindroute.policy;

import java.util.Optional;
import tamarindroute.decision.Attempt;

/** Plans cacheable requests past the edges, where that is allowed and no edge can take them. */
final class BypassPlanner {

  /** Part of the latency objective that the attempt has to meet. */
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

  /** Returns an attempt at a parent or the origin; empty if none can take the request in time. */
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
