package tamarindroute.policy;

import tamarindroute.decision.Attempt;
import tamarindroute.decision.Outcome.Detail;
import tamarindroute.decision.PolicySettings;

/**
 * Attributes a failed or late attempt to the cache that caused it. A fill follows a cache lookup
 * that has just shown the cache to work. The failure of a fill therefore counts against its source,
 * or against the origin behind that source. It counts against the cache itself if caches report
 * fill sources but the answer names none.
 */
final class FailureAttribution {

  /** Share of a failure's weight that counts against the origin behind a parent. */
  private static final double ORIGIN_SHARE_OF_FAILURE = 0.5;

  /**
   * Share of the weight of a late or timed-out attempt that counts against the origin behind a
   * parent.
   */
  private static final double ORIGIN_SHARE_OF_TIMEOUT = 0.25;

  private final PolicySettings settings;
  private final CacheTiers tiers;

  FailureAttribution(PolicySettings settings, CacheTiers tiers) {
    this.settings = settings;
    this.tiers = tiers;
  }

  /**
   * Records an attempt that the cache answered with a failure or a rejection, or whose connection
   * was lost.
   *
   * @param weight weight of the failure, 1 for a certain one
   * @param now seconds since the start of the instance
   */
  void recordFailure(Attempt attempt, double weight, double now) {
    Detail detail = attempt.outcome.detail();
    if (isFill(attempt) && (detail != Detail.UNKNOWN || !settings.reportsFillSource())) {
      recordSourceFailure(attempt, detail, weight, ORIGIN_SHARE_OF_FAILURE, now);
    } else {
      tiers.get(attempt.cache).outliers().recordFailure(weight, now);
    }
  }

  /**
   * Records an attempt that is late or timed out.
   *
   * @param weight weight of the event, relative to a failure
   * @param now seconds since the start of the instance
   */
  void recordTimeout(Attempt attempt, double weight, double now) {
    if (isFill(attempt)) {
      recordSourceFailure(attempt, Detail.UNKNOWN, weight, ORIGIN_SHARE_OF_TIMEOUT, now);
    } else {
      tiers.get(attempt.cache).outliers().recordFailure(weight, now);
    }
  }

  private static boolean isFill(Attempt attempt) {
    return attempt.source != attempt.cache;
  }

  private void recordSourceFailure(
      Attempt attempt, Detail detail, double weight, double originShare, double now) {
    CacheState cache = tiers.get(attempt.cache);
    CacheState source = cache.isParent() ? cache : tiers.get(attempt.source);
    boolean mayHaveContactedOrigin = source.isParent() && !attempt.onlyIfCached;
    if (mayHaveContactedOrigin && (detail == Detail.UNKNOWN || detail == Detail.ORIGIN_FAILED)) {
      tiers.origins().forEach(origin -> origin.outliers().recordFailure(weight * originShare, now));
    }
    if (!mayHaveContactedOrigin || detail != Detail.ORIGIN_FAILED) {
      source.outliers().recordFailure(weight, now);
    }
  }
}
