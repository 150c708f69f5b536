package tamarindroute.policy;

/**
 * Slow running means of the wait for the first byte, for the location as a whole. All in seconds.
 */
final class LatencyEstimates {

  private static final double INITIAL_HIT_LATENCY = 0.005;
  private static final double INITIAL_FILL_LATENCY = 0.05;
  private static final double MIN_LATENCY = 0.0005;

  /** Growth of the minimum per hit, so that it follows a rising latency. */
  private static final double MINIMUM_GROWTH = 1.01;

  private static final double STEP = 0.05;

  /** A sample counts at most so many times the mean. */
  private static final double MAX_SAMPLE_FACTOR = 4;

  private double hitLatency = INITIAL_HIT_LATENCY;
  private double fillLatency = INITIAL_FILL_LATENCY;
  private double minHitLatency = INITIAL_HIT_LATENCY;

  /** Returns the wait for hits and copies of siblings; d of the paper. */
  double hitLatency() {
    return hitLatency;
  }

  /** Returns the wait for fills from parents and the origin; D of the paper. */
  double fillLatency() {
    return fillLatency;
  }

  /** Returns the shortest wait for a hit of late. */
  double minHitLatency() {
    return minHitLatency;
  }

  /**
   * Records the wait for a hit.
   *
   * @param atHome whether it was at the edge that the object is hashed to; only these count for the
   *     mean
   */
  void recordHit(double wait, boolean atHome) {
    minHitLatency = Math.min(Math.max(MIN_LATENCY, wait), MINIMUM_GROWTH * minHitLatency);
    if (atHome) {
      hitLatency = blend(hitLatency, wait);
    }
  }

  /** Records the wait for a fill from a sibling. */
  void recordSiblingFill(double wait) {
    hitLatency = blend(hitLatency, wait);
  }

  /** Records the wait for a fill from a parent or the origin. */
  void recordUpstreamFill(double wait) {
    fillLatency = blend(fillLatency, wait);
  }

  private static double blend(double mean, double sample) {
    return mean + STEP * (Math.max(MIN_LATENCY, Math.min(sample, MAX_SAMPLE_FACTOR * mean)) - mean);
  }
}
