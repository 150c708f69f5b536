package tamarindroute.policy;

import tamarindroute.decision.PolicySettings;

/**
 * The ratio test of the collaborative caching algorithm: an object is hot, and stored by several
 * edges, if its density exceeds the marginal density by more than what a copy less costs over what
 * a further copy saves.
 */
final class RatioTest {

  /** Hits before the marginal density is used. */
  private static final int MIN_SAMPLES = 50;

  /** Hits for which the marginal density moves in large steps. */
  private static final int FAST_SAMPLES = 200;

  private static final double FAST_STEP = 0.3;
  private static final double SLOW_STEP = 0.05;

  /** Steps down and up: a tenth of the hits are of lower density than the marginal. */
  private static final double DOWN = 0.9;

  private static final double UP = 0.1;

  /** Share of the bytes of known objects that copies of hot objects may take. */
  private static final double MAX_HOT_SHARE = 0.5;

  private final PolicySettings settings;
  private final CacheTiers tiers;
  private final LatencyEstimates latencies;
  private final ObjectPopularity popularity;
  private double marginalDensity;
  private int samples;

  RatioTest(
      PolicySettings settings,
      CacheTiers tiers,
      LatencyEstimates latencies,
      ObjectPopularity popularity) {
    this.settings = settings;
    this.tiers = tiers;
    this.latencies = latencies;
    this.popularity = popularity;
  }

  /** Tests an object and marks it as hot or not. */
  boolean test(ObjectStatistics object) {
    long edgeCount = tiers.readyEdgeCount();
    boolean hot = passes(object, edgeCount) && (object.isHot() || fitsHotShare(object, edgeCount));
    popularity.setHot(object, hot);
    return hot;
  }

  private boolean passes(ObjectStatistics object, long edgeCount) {
    return edgeCount > 1
        && settings.siblingFillAllowed()
        && samples >= MIN_SAMPLES
        && latencies.hitLatency() < latencies.fillLatency()
        && object.density() > densityThreshold(edgeCount);
  }

  private double densityThreshold(long edgeCount) {
    double hit = latencies.hitLatency();
    double fill = latencies.fillLatency();
    return marginalDensity * (edgeCount * fill - (edgeCount - 1) * hit) / hit;
  }

  private boolean fitsHotShare(ObjectStatistics object, long edgeCount) {
    double hotCopies = (popularity.hotKilobytes() + object.kilobytes()) * edgeCount;
    return hotCopies <= MAX_HOT_SHARE * popularity.totalKilobytes();
  }

  /**
   * Records a hit of an object of this density; moves the marginal density toward the quantile, so
   * that it ages.
   */
  void recordHit(double density) {
    if (density <= 0) {
      return;
    }
    double step = samples < FAST_SAMPLES ? FAST_STEP : SLOW_STEP;
    samples++;
    if (samples == 1) {
      marginalDensity = density;
    } else {
      double exponent = density < marginalDensity ? -step * DOWN : step * UP;
      marginalDensity *= Math.exp(exponent);
    }
  }
}
