package tamarindroute.policy;

import static tamarindroute.numeric.Seconds.toDuration;

import java.time.Duration;
import tamarindroute.decision.Attempt;
import tamarindroute.decision.Request;
import tamarindroute.decision.RequestClass.Idempotency;

/** Creates attempts with the maximum age of a copy and the time after which they are late. */
final class AttemptFactory {

  /** Retention rank of an answer that is not stored. */
  private static final int RANK_NONE = 0;

  /** Shortest time beyond the transfer before an attempt is late. */
  private static final double MIN_GRACE_SECONDS = 0.1;

  /**
   * Shortest time beyond the transfer before an attempt is late, as a multiple of the mean wait for
   * a fill.
   */
  private static final double GRACE_FILL_LATENCIES = 3;

  private final PurgeTracker purges;
  private final TransferTimes transferTimes;
  private final LatencyEstimates latencies;

  AttemptFactory(PurgeTracker purges, TransferTimes transferTimes, LatencyEstimates latencies) {
    this.purges = purges;
    this.transferTimes = transferTimes;
    this.latencies = latencies;
  }

  /**
   * Returns a cache lookup: an attempt that is served from the edge's own copy or ends in a miss.
   */
  Attempt lookup(PlanningContext context, CacheState edge, int rank) {
    return atEdge(context, edge, edge, rank, false);
  }

  /** Returns an attempt for which the edge fetches the object from the source. */
  Attempt fill(PlanningContext context, CacheState edge, CacheState source, int rank) {
    return atEdge(context, edge, source, rank, false);
  }

  /**
   * Returns an attempt for which the edge fetches the object from the source only if the source
   * holds a copy.
   */
  Attempt fillIfCached(PlanningContext context, CacheState edge, CacheState source, int rank) {
    return atEdge(context, edge, source, rank, true);
  }

  private Attempt atEdge(
      PlanningContext context, CacheState edge, CacheState source, int rank, boolean onlyIfCached) {
    boolean revalidate = !context.request().requestClass.maxAge().isZero();
    return new Attempt(
        edge.cache(),
        source.cache(),
        rank,
        maxCopyAge(context),
        onlyIfCached,
        revalidate,
        expectedBy(context, edge));
  }

  /** Returns an attempt that bypasses the edges and is sent to a parent or the origin. */
  Attempt bypass(PlanningContext context, CacheState target, CacheState origin) {
    return new Attempt(
        target.cache(),
        origin.cache(),
        RANK_NONE,
        maxCopyAge(context),
        false,
        false,
        expectedBy(context, target));
  }

  /** Returns an attempt of an uncacheable request that the edge forwards to the source. */
  Attempt passThrough(PlanningContext context, CacheState edge, CacheState source) {
    return new Attempt(
        edge.cache(), source.cache(), RANK_NONE, null, false, false, expectedBy(context, edge));
  }

  /**
   * Returns an attempt of an uncacheable request that is sent to the origin directly. It is never
   * late.
   */
  Attempt direct(CacheState origin) {
    return new Attempt(origin.cache(), origin.cache(), RANK_NONE, null, false, false, null);
  }

  private Duration maxCopyAge(PlanningContext context) {
    return purges.maxCopyAge(context.request(), context.now()).orElse(null);
  }

  /**
   * Returns the time after which the attempt is late: the time in which nine in ten transfers end
   * at the current load of the cache, plus a grace of several waits for a fill. Returns null for
   * requests that must not be sent twice.
   */
  private Duration expectedBy(PlanningContext context, CacheState target) {
    Request request = context.request();
    double now = context.now();
    double transfer = transferTimes.upperTransferTime(request) * target.slowdown().factor(now);
    double grace = Math.max(MIN_GRACE_SECONDS, GRACE_FILL_LATENCIES * latencies.fillLatency());
    return request.requestClass.idempotency() == Idempotency.NON_IDEMPOTENT
        ? null
        : toDuration(now + transfer + grace);
  }
}
