package tamarindroute.policy;

import tamarindroute.decision.PolicySettings.WeightMeaning;

/**
 * An adaptive concurrency limit: how many undisturbed transfers a unit of a cache's size carries. n
 * transfers over a limit of c are taken to last n / c times as long. Hits that met many others are
 * compared with hits that met few: if they took no longer, the concurrency they met is within the
 * limit, otherwise the limit is lowered in proportion. Durations are averaged as logarithms, which
 * dampens outliers.
 */
final class AdaptiveConcurrencyLimit {

  /** The limit per unit that weights configure. */
  private static final double CONFIGURED = 1;

  /** Configured limits hold until hits contradict them by more than this factor. */
  private static final double CONFIGURED_TRUST = 2;

  /** The limit where weights say nothing: none, until hits show queueing. */
  private static final double UNLIMITED = 1e6;

  /** From this ratio on, hits among many are slower than hits among few. */
  private static final double SLOWER = 1.25;

  /** Below this ratio to an idle cache, hits prove spare capacity. */
  private static final double UNDISTURBED = 1.05;

  private static final double MIN_STEP = 0.03;
  private static final double MIN_RATIO = 0.05;
  private static final double MAX_RATIO = 20;
  private static final int SAMPLES_BEFORE_LOWERING = 50;
  private static final double LOWERING_STEP = 0.05;
  private static final double MAX_LIMIT_TO_CONCURRENCY = 4;

  /** Part of the average concurrency that counts as proven where nothing is configured. */
  private static final double PROVEN_SHARE = 0.7;

  private final double initialLimit;
  private final double trust;
  private final boolean configured;
  private double limit;
  private double averageConcurrency;
  private double logDurationBelowAverage;
  private double logDurationAboveAverage;
  private double concurrencyAboveAverage;
  private int samples;

  private AdaptiveConcurrencyLimit(double initialLimit, double trust, boolean configured) {
    this.initialLimit = initialLimit;
    this.trust = trust;
    this.configured = configured;
    limit = initialLimit;
  }

  /** Creates a limit for caches whose weights have this meaning. */
  static AdaptiveConcurrencyLimit of(WeightMeaning meaning) {
    return meaning == WeightMeaning.OFF
        ? new AdaptiveConcurrencyLimit(UNLIMITED, 1, false)
        : new AdaptiveConcurrencyLimit(CONFIGURED, CONFIGURED_TRUST, true);
  }

  /** Returns the transfers per unit that do not slow each other down. */
  double limit() {
    return limit < initialLimit * trust && limit > initialLimit / trust ? initialLimit : limit;
  }

  /** Returns how many times longer a transfer takes at this concurrency per unit, at least 1. */
  double slowdown(double concurrency) {
    return Math.max(1, concurrency / limit());
  }

  /**
   * Returns the limit as far as it is proven: no more than configured, or most of what was met
   * where nothing is.
   */
  double provenLimit() {
    return Math.min(
        limit(), configured ? CONFIGURED : Math.max(1, PROVEN_SHARE * averageConcurrency));
  }

  /**
   * Records a hit.
   *
   * @param concurrency the transfers per unit that it met
   * @param ratio its duration over its transfer time
   * @param sizeKnown whether the transfer time follows from a known size
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
   * Adjusts the limit by how many times longer hits above the average concurrency take than those
   * below it.
   */
  private void adjust(double slowerRatio, boolean sizeKnown) {
    if (slowerRatio >= SLOWER) {
      if (samples > SAMPLES_BEFORE_LOWERING) {
        limit = Math.min(limit, MAX_LIMIT_TO_CONCURRENCY * concurrencyAboveAverage);
        limit += LOWERING_STEP * (concurrencyAboveAverage / slowerRatio - limit);
      }
    } else if (!sizeKnown || Math.exp(logDurationAboveAverage) < UNDISTURBED) {
      limit = Math.max(limit, concurrencyAboveAverage);
    }
  }
}
