package tamarindroute.policy;

import tamarindroute.decision.LoadReport;
import tamarindroute.numeric.DecayingValue;

/**
 * Estimates the factor by which a transfer takes longer than on an idle cache. It consists of the
 * effect of concurrency, common to all caches, and the remaining slowness of this cache.
 */
final class SlowdownEstimate {

  /** Time constant of the decay of a reported utilization to 1. */
  private static final double UTILIZATION_TIME_CONSTANT_SECONDS = 4;

  /** Utilization below which concurrency does not slow a cache down. */
  private static final double SPARE_UTILIZATION = 0.7;

  /** Time constant of the decay of a cache's own slowness. 10 s let a slow cache be tried again. */
  private static final double SLOWNESS_TIME_CONSTANT_SECONDS = 10;

  /** Weight of a new hit in the slowness. */
  private static final double SLOWNESS_SAMPLE_WEIGHT = 0.2;

  /** Bounds for the measured slowness of one hit, as a factor. */
  private static final double MIN_RATIO = 0.05;

  private static final double MAX_RATIO = 20;

  private final ConcurrencyEstimate concurrency;
  private final AdaptiveConcurrencyLimit limit;
  private final DecayingValue cpuUtilization =
      new DecayingValue(UTILIZATION_TIME_CONSTANT_SECONDS, 1);

  /**
   * Logarithm of the slowdown that concurrency does not explain. Logarithms are averaged because
   * sizes scatter.
   */
  private final DecayingValue slowness = new DecayingValue(SLOWNESS_TIME_CONSTANT_SECONDS, 0);

  SlowdownEstimate(ConcurrencyEstimate concurrency, AdaptiveConcurrencyLimit limit) {
    this.concurrency = concurrency;
    this.limit = limit;
  }

  /** Records the utilization, if it is reported. */
  void onLoadReport(LoadReport report, double now) {
    if (!Double.isNaN(report.cpuUtilization())) {
      cpuUtilization.blendToward(report.cpuUtilization(), 1, now);
    }
  }

  /** Returns the utilization last reported, 0 to 1, decaying to 1 without reports. */
  double cpuUtilization(double now) {
    return cpuUtilization.valueAt(now);
  }

  /** Returns the factor by which a transfer from the cache takes longer, at least 1. */
  double factor(double now) {
    boolean spare = cpuUtilization.valueAt(now) < SPARE_UTILIZATION;
    double byConcurrency = spare ? 1 : limit.slowdown(concurrency.perUnit(now));
    return byConcurrency * Math.exp(Math.max(0, slowness.valueAt(now)));
  }

  /**
   * Records a hit.
   *
   * @param ratio its duration divided by its transfer time on an idle cache
   * @param perUnit the transfers per unit of size while it was served
   */
  void recordHit(double ratio, double perUnit, double now) {
    double unexplained = ratio / limit.slowdown(perUnit);
    double clamped = Math.max(MIN_RATIO, Math.min(MAX_RATIO, unexplained));
    slowness.blendToward(Math.log(clamped), SLOWNESS_SAMPLE_WEIGHT, now);
  }
}
