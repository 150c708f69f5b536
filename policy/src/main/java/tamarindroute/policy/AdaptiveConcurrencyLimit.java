package tamarindroute.policy;

import tamarindroute.decision.PolicySettings.WeightMeaning;

/**
 * An adaptive concurrency limit: the number of transfers per unit of a cache's size that do not
 * slow each other down. With a limit of c, n concurrent transfers are expected to last n / c times
 * as long as one. Hits at a concurrency above the average are compared with hits at a lower one. If
 * they took no longer, the limit is at least the concurrency they met, otherwise it is lowered in
 * proportion. Durations are averaged as logarithms to dampen outliers.
 */
final class AdaptiveConcurrencyLimit {

  /** Limit per unit of size where weights state the size of a cache. */
  private static final double CONFIGURED_LIMIT = 1;

  /** A configured limit is used until hits contradict it by more than this factor. */
  private static final double CONFIGURED_TOLERANCE_FACTOR = 2;

  /**
   * Initial limit per unit where weights do not state sizes. It exceeds any real concurrency, so
   * that there is no limit until hits show queueing.
   */
  private static final double UNLIMITED = 1e6;

  /**
   * Smallest ratio of the duration of hits above the average concurrency to hits below it that
   * lowers the limit. A smaller difference proves nothing.
   */
  private static final double MIN_QUEUEING_RATIO = 1.25;

  /**
   * Largest ratio of the duration of hits above the average concurrency to the transfer time that
   * proves spare capacity. Hits that are all slow, at low concurrency too, do not prove it.
   */
  private static final double MAX_UNDISTURBED_RATIO = 1.05;

  /**
   * Smallest weight of a new sample in the running means. Until it is reached, they are plain
   * means.
   */
  private static final double MIN_STEP = 0.03;

  /** Bounds for the measured ratio of a duration to its transfer time. */
  private static final double MIN_RATIO = 0.05;

  private static final double MAX_RATIO = 20;

  /** Number of hits before the limit may be lowered. */
  private static final int SAMPLES_BEFORE_LOWERING = 50;

  /** Share of the way toward the measured limit that one hit lowers the limit. */
  private static final double LOWERING_STEP = 0.05;

  /**
   * Largest ratio of the limit to the concurrency of slow hits. It brings an unlimited value into
   * range at once.
   */
  private static final double MAX_LIMIT_TO_CONCURRENCY = 4;

  /** Share of the average concurrency that counts as proven where no limit is configured. */
  private static final double PROVEN_SHARE = 0.7;

  private final double initialLimit;
  private final double toleranceFactor;
  private final boolean configured;
  private double limit;
  private double averageConcurrency;
  private double logDurationBelowAverage;
  private double logDurationAboveAverage;
  private double concurrencyAboveAverage;
  private int samples;

  private AdaptiveConcurrencyLimit(
      double initialLimit, double toleranceFactor, boolean configured) {
    this.initialLimit = initialLimit;
    this.toleranceFactor = toleranceFactor;
    this.configured = configured;
    limit = initialLimit;
  }

  /** Returns a new limit for caches whose weights have this meaning. */
  static AdaptiveConcurrencyLimit of(WeightMeaning meaning) {
    return meaning == WeightMeaning.OFF
        ? new AdaptiveConcurrencyLimit(UNLIMITED, 1, false)
        : new AdaptiveConcurrencyLimit(CONFIGURED_LIMIT, CONFIGURED_TOLERANCE_FACTOR, true);
  }

  /** Returns the number of transfers per unit of size that do not slow each other down. */
  double limit() {
    return limit < initialLimit * toleranceFactor && limit > initialLimit / toleranceFactor
        ? initialLimit
        : limit;
  }

  /**
   * Returns the factor by which a transfer takes longer at this concurrency per unit, at least 1.
   */
  double slowdown(double concurrency) {
    return Math.max(1, concurrency / limit());
  }

  /**
   * Returns the part of the limit that hits have proven. It is at most the configured limit. Where
   * none is configured, it is at most a share of the average concurrency, but at least 1.
   */
  double provenLimit() {
    return Math.min(
        limit(), configured ? CONFIGURED_LIMIT : Math.max(1, PROVEN_SHARE * averageConcurrency));
  }

  /**
   * Records a hit and adjusts the limit.
   *
   * @param concurrency the transfers per unit of size while the hit was served
   * @param ratio its duration divided by its transfer time on an idle cache
   * @param sizeKnown whether the transfer time was computed from a known size
   */
  void sample(double concurrency, double ratio, boolean sizeKnown) {
    double step = Math.max(MIN_STEP, 1.0 / ++samples);
    double logDuration = Math.log(Math.max(MIN_RATIO, Math.min(MAX_RATIO, ratio)));
    averageConcurrency += step * (concurrency - averageConcurrency);
    if (concurrency <= averageConcurrency) {
      logDurationBelowAverage += step * (logDuration - logDurationBelowAverage);
      return;
    }
    logDurationAboveAverage += step * (logDuration - logDurationAboveAverage);
    concurrencyAboveAverage += step * (concurrency - concurrencyAboveAverage);
    adjust(Math.exp(logDurationAboveAverage - logDurationBelowAverage), sizeKnown);
  }

  /**
   * Adjusts the limit.
   *
   * @param slowerRatio duration of hits above the average concurrency divided by that of hits below
   *     it
   */
  private void adjust(double slowerRatio, boolean sizeKnown) {
    if (slowerRatio >= MIN_QUEUEING_RATIO) {
      if (samples > SAMPLES_BEFORE_LOWERING) {
        limit = Math.min(limit, MAX_LIMIT_TO_CONCURRENCY * concurrencyAboveAverage);
        limit += LOWERING_STEP * (concurrencyAboveAverage / slowerRatio - limit);
      }
    } else if (!sizeKnown || Math.exp(logDurationAboveAverage) < MAX_UNDISTURBED_RATIO) {
      limit = Math.max(limit, concurrencyAboveAverage);
    }
  }
}
