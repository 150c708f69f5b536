package tamarindroute.policy;

import tamarindroute.decision.PolicySettings;

/**
 * The ratio test of the collaborative caching algorithm. An object is hot, and stored by several
 * edges, if its density exceeds the marginal density by more than a factor. The density of an
 * object is its requests per second and kB. The marginal density is the density that a tenth of the
 * recent hits stay below. The factor is the cost of one copy less, of an object of marginal
 * density, divided by the saving of one further copy of the object.
 */
final class RatioTest {

  /** Number of hits before the marginal density is used. */
  private static final int MIN_SAMPLES = 50;

  /** Number of hits for which the marginal density moves in large steps. */
  private static final int FAST_SAMPLES = 200;

  /** Step of the marginal density for the first hits, on a logarithmic scale. */
  private static final double FAST_STEP = 0.3;

  /** Step of the marginal density for later hits, on a logarithmic scale. */
  private static final double SLOW_STEP = 0.05;

  /**
   * Weight of a step down. With a weight of 0.1 for a step up, the marginal density settles where a
   * tenth of the hits are of lower density.
   */
  private static final double STEP_DOWN_WEIGHT = 0.9;

  /** Weight of a step up. */
  private static final double STEP_UP_WEIGHT = 0.1;

  /** Largest share of the bytes of all known objects that the copies of hot objects may take. */
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

  /**
   * Returns whether the object is hot, and marks it accordingly. An object that was not hot becomes
   * so only if the copies of hot objects do not exceed their share of the bytes.
   */
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
   * Records a hit of an object of this density and moves the marginal density one step toward the
   * density that a tenth of the hits stay below. The influence of old hits fades with each step.
   *
   * @param density requests per second and kB; a density of 0 is ignored
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
      double exponent =
          density < marginalDensity ? -step * STEP_DOWN_WEIGHT : step * STEP_UP_WEIGHT;
      marginalDensity *= Math.exp(exponent);
    }
  }
}
