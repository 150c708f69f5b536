package tamarindroute.policy;

import tamarindroute.decision.LoadReport;
import tamarindroute.numeric.DecayingValue;

/** Estimates how many times longer than on an idle cache a transfer takes. */
final class SlowdownEstimate {

  /** Seconds in which a reported utilization decays to 1. */
  private static final double UTILIZATION_TIME_CONSTANT = 4;

  /** Below this utilization, concurrency does not slow a cache down. */
  private static final double SPARE_UTILIZATION = 0.7;

  /** Seconds in which the slowness of a cache itself is forgotten, so that it is tried again. */
  private static final double SLOWNESS_TIME_CONSTANT = 10;

  private static final double SLOWNESS_BLEND = 0.2;
  private static final double MIN_RATIO = 0.05;
  private static final double MAX_RATIO = 20;

  private final ConcurrencyEstimate concurrency;
  private final AdaptiveConcurrencyLimit limit;
  private final DecayingValue cpuUtilization = new DecayingValue(UTILIZATION_TIME_CONSTANT, 1);

  /**
   * Logarithm of the slowdown beyond what concurrency explains; logarithms because sizes scatter.
   */
  private final DecayingValue slowness = new DecayingValue(SLOWNESS_TIME_CONSTANT, 0);

  SlowdownEstimate(ConcurrencyEstimate concurrency, AdaptiveConcurrencyLimit limit) {
    this.concurrency = concurrency;
    this.limit = limit;
  }

  void onLoadReport(LoadReport report, double now) {
    if (!Double.isNaN(report.cpuUtilization())) {
      cpuUtilization.blendToward(report.cpuUtilization(), 1, now);
    }
  }

  /** Returns the latest reported utilization, decaying to 1. */
  double cpuUtilization(double now) {
    return cpuUtilization.valueAt(now);
  }

  /** Returns the factor by which a transfer there takes longer, at least 1. */
  double factor(double now) {
    boolean spare = cpuUtilization.valueAt(now) < SPARE_UTILIZATION;
    double byConcurrency = spare ? 1 : limit.slowdown(concurrency.perUnit(now));
    return byConcurrency * Math.exp(Math.max(0, slowness.valueAt(now)));
  }

  /**
   * Records a hit.
   *
   * @param ratio its duration over its transfer time
   * @param perUnit the concurrency it met
   */
  void recordHit(double ratio, double perUnit, double now) {
    double unexplained = ratio / limit.slowdown(perUnit);
    double clamped = Math.max(MIN_RATIO, Math.min(MAX_RATIO, unexplained));
    slowness.blendToward(Math.log(clamped), SLOWNESS_BLEND, now);
  }
}
