package tamarindroute.policy;

import static tamarindroute.policy.CacheTiers.first;

import java.util.Optional;
import tamarindroute.decision.Attempt;

/**
 * Plans the fill of an edge from above. Waiting for slow sources must not take capacity from hits:
 * copies that parents hold are sought first, and only few fills may wait for the rest.
 */
final class EdgeFillPlanner {

  private final CacheTiers tiers;
  private final FillSourceSelector sources;
  private final FillAdmission admission;
  private final AttemptFactory attempts;

  EdgeFillPlanner(
      CacheTiers tiers,
      FillSourceSelector sources,
      FillAdmission admission,
      AttemptFactory attempts) {
    this.tiers = tiers;
    this.sources = sources;
    this.admission = admission;
    this.attempts = attempts;
  }

  /**
   * Returns an attempt at the edge; empty if there is no source, or no capacity for waiting for it.
   *
   * @param slowdown slowdown of the edge
   * @param rank retention rank of the copy
   */
  Optional<Attempt> plan(PlanningContext context, CacheState edge, double slowdown, int rank) {
    Optional<CacheState> ejectedOrigin = first(tiers.origins(), CacheState::isEjected);
    boolean upstreamSlow = ejectedOrigin.isPresent() || sources.areParentsSlow(context, slowdown);
    Optional<CacheState> selected = sources.select(context, upstreamSlow);
    if (selected.isEmpty()) {
      return Optional.empty();
    }
    CacheState source = selected.get();
    boolean late = upstreamSlow || !sources.isInTime(context, source, slowdown);
    if (late) {
      Optional<CacheState> holder = sources.selectForLookup(context, edge, source);
      if (holder.isPresent()) {
        return Optional.of(attempts.fillIfCached(context, edge, holder.get(), rank));
      }
    }
    boolean admitted =
        admission.admits(context, source, slowdown, late)
            && mayReachOrigin(context, ejectedOrigin, source);
    return admitted ? Optional.of(attempts.fill(context, edge, source, rank)) : Optional.empty();
  }

  /**
   * Whether the fill may end at the origin: it is not ejected, or the request is now used to probe
   * it.
   */
  private static boolean mayReachOrigin(
      PlanningContext context, Optional<CacheState> ejectedOrigin, CacheState source) {
    return ejectedOrigin.isEmpty()
        || ejectedOrigin.get() == source
        || ejectedOrigin.get().tryProbe(context);
  }
}
