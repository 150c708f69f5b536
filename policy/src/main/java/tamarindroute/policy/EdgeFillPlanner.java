package tamarindroute.policy;

import static tamarindroute.policy.CacheTiers.first;

import java.util.Optional;
import tamarindroute.decision.Attempt;

/**
 * Plans how an edge that misses an object fetches it from a parent or the origin. Fills that wait
 * for a slow source must not take capacity from hits: copies that parents already hold are looked
 * up first, because they arrive quickly, and only a limited number of fills may wait for the rest.
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
   * Returns an attempt at the edge. Returns empty if there is no source for the fill, or if a fill
   * from the source that remains would exceed the capacity for fills.
   *
   * @param edge the edge that serves the request and is filled
   * @param slowdown factor by which a transfer from the edge takes longer than on an idle edge, at
   *     least 1
   * @param rank retention rank of the copy that the edge stores
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
            && mayContactOrigin(context, ejectedOrigin, source);
    return admitted ? Optional.of(attempts.fill(context, edge, source, rank)) : Optional.empty();
  }

  /**
   * Whether the fill may cause a request to the origin. An ejected origin accepts it only as the
   * fill source itself or as a probe.
   */
  private static boolean mayContactOrigin(
      PlanningContext context, Optional<CacheState> ejectedOrigin, CacheState source) {
    return ejectedOrigin.isEmpty()
        || ejectedOrigin.get() == source
        || ejectedOrigin.get().tryProbe(context);
  }
}
