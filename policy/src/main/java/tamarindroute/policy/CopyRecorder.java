package tamarindroute.policy;

import static tamarindroute.numeric.Seconds.seconds;

import tamarindroute.decision.Attempt;
import tamarindroute.decision.Outcome;
import tamarindroute.decision.Outcome.Detail;
import tamarindroute.decision.Request;

/**
 * Records what an answer shows about stored copies and waits. Hits update the marginal density and
 * the hit latency. Fills update the latency of their source.
 */
final class CopyRecorder {

  /** Weight of a success for the origin if the source may have answered from its own copy. */
  private static final double UNPROVEN_ORIGIN_WEIGHT = 0.5;

  private final CacheTiers tiers;
  private final TransferTimes transferTimes;
  private final ObjectPopularity popularity;
  private final RatioTest ratioTest;
  private final LatencyEstimates latencies;

  CopyRecorder(
      CacheTiers tiers,
      TransferTimes transferTimes,
      ObjectPopularity popularity,
      RatioTest ratioTest,
      LatencyEstimates latencies) {
    this.tiers = tiers;
    this.transferTimes = transferTimes;
    this.popularity = popularity;
    this.ratioTest = ratioTest;
    this.latencies = latencies;
  }

  /** Records the outcome of a served attempt of a cacheable request. */
  void recordServed(Request request, Attempt attempt, double now) {
    Outcome outcome = attempt.outcome;
    ObjectStatistics object = popularity.statistics(request, now);
    boolean atHome = isAtHome(request, attempt, now);
    double wait = seconds(outcome.duration()) - transferTimes.transferTime(request);
    if (outcome.detail() == Detail.HIT) {
      ratioTest.recordHit(object.density());
      latencies.recordHit(wait, atHome);
      refundUnusedSource(request, attempt);
    } else if (isProvenFill(request, attempt)) {
      double sourceWait = outcome.sourceWait() == null ? wait : seconds(outcome.sourceWait());
      recordFill(request, attempt, sourceWait, now);
    }
    if (atHome) {
      object.recordStoredAtHome(now);
    }
  }

  /** Whether the attempt was sent to the first usable edge in the object's placement hash. */
  private boolean isAtHome(Request request, Attempt attempt, double now) {
    double cost = transferTimes.classMean(request);
    return CacheTiers.firstRanked(
            tiers.edges(), ObjectPopularity.key(request), edge -> edge.isUsable(cost, now))
        .filter(home -> home.cache() == attempt.cache)
        .isPresent();
  }

  /**
   * Returns the cost to the source's slow start budget, since a hit does not use the source. A copy
   * that is revalidated in the background does use it.
   */
  private void refundUnusedSource(Request request, Attempt attempt) {
    if (attempt.source != attempt.cache && !attempt.revalidate) {
      tiers
          .get(attempt.source)
          .slowStart()
          .refund(transferTimes.classMean(request), attempt.sentAt);
    }
  }

  private static boolean isProvenFill(Request request, Attempt attempt) {
    Detail detail = attempt.outcome.detail();
    return attempt.source != attempt.cache
        && detail != Detail.STALE
        && (detail != Detail.UNKNOWN || request.isKnownMiss(attempt.cache, attempt.cache));
  }

  private void recordFill(Request request, Attempt attempt, double wait, double now) {
    CacheState source = tiers.get(attempt.source);
    source.outliers().recordSuccess(1, now);
    if (source.isEdge()) {
      latencies.recordSiblingFill(wait);
    } else if (!attempt.onlyIfCached) {
      latencies.recordUpstreamFill(wait);
      source.fillLatency().record(wait, latencies.fillLatency(), now);
      double weight = reachedOrigin(request, attempt) ? 1 : UNPROVEN_ORIGIN_WEIGHT;
      tiers.origins().forEach(origin -> origin.outliers().recordSuccess(weight, now));
    }
  }

  private static boolean reachedOrigin(Request request, Attempt attempt) {
    return attempt.outcome.detail() == Detail.FROM_ORIGIN
        || request.isKnownMiss(attempt.cache, attempt.source);
  }
}
