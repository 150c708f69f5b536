package tamarindroute.policy;

import tamarindroute.decision.Attempt;
import tamarindroute.decision.Outcome.Detail;
import tamarindroute.decision.PolicySettings;

/**
 * Charges a failure to the cache that caused it. A fill follows a lookup that has just proved the
 * cache sound, so its failure is taken to be the source's, or the origin's behind it, unless caches
 * report sources and named none.
 */
final class FailureAttribution {

  /** Part of a failure's weight that counts against the origin behind a parent. */
  private static final double ORIGIN_SHARE_OF_FAILURE = 0.5;

  /** The same for an attempt without an answer. */
  private static final double ORIGIN_SHARE_OF_SILENCE = 0.25;

  private final PolicySettings settings;
  private final CacheTiers tiers;

  FailureAttribution(PolicySettings settings, CacheTiers tiers) {
    this.settings = settings;
    this.tiers = tiers;
  }

  /** Charges an attempt that was answered with a failure, or broke. */
  void recordFailure(Attempt attempt, double weight, double now) {
    Detail detail = attempt.outcome.detail();
    if (isFill(attempt) && (detail != Detail.UNKNOWN || !settings.reportsFillSource())) {
      chargeSource(attempt, detail, weight, ORIGIN_SHARE_OF_FAILURE, now);
    } else {
      tiers.get(attempt.cache).outliers().recordFailure(weight, now);
    }
  }

  /** Charges an attempt that is late or timed out. */
  void recordSilence(Attempt attempt, double weight, double now) {
    if (isFill(attempt)) {
      chargeSource(attempt, Detail.UNKNOWN, weight, ORIGIN_SHARE_OF_SILENCE, now);
    } else {
      tiers.get(attempt.cache).outliers().recordFailure(weight, now);
    }
  }

  private static boolean isFill(Attempt attempt) {
    return attempt.source != attempt.cache;
  }

  private void chargeSource(
      Attempt attempt, Detail detail, double weight, double originShare, double now) {
    CacheState cache = tiers.get(attempt.cache);
    CacheState source = cache.isParent() ? cache : tiers.get(attempt.source);
    boolean mayAskOrigin = source.isParent() && !attempt.onlyIfCached;
    if (mayAskOrigin && (detail == Detail.UNKNOWN || detail == Detail.ORIGIN_FAILED)) {
      tiers.origins().forEach(origin -> origin.outliers().recordFailure(weight * originShare, now));
    }
    if (!mayAskOrigin || detail != Detail.ORIGIN_FAILED) {
      source.outliers().recordFailure(weight, now);
    }
  }
}
