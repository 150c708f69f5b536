package tamarindroute.policy;

/** Running means of the time to the first byte over the whole location, in seconds. */
final class LatencyEstimates {

  /** Mean wait of hits until the first one is measured. */
  private static final double INITIAL_HIT_LATENCY_SECONDS = 0.005;

  /** Mean wait of upstream fills until the first one is measured. */
  private static final double INITIAL_FILL_LATENCY_SECONDS = 0.05;

  /** Shortest wait that is recorded. */
  private static final double MIN_LATENCY_SECONDS = 0.0005;

  /** Factor by which the minimum grows with each hit, so that it follows a rising latency. */
  private static final double MINIMUM_GROWTH_FACTOR = 1.01;

  /** Weight of a new sample in the running means. */
  private static final double SAMPLE_WEIGHT = 0.05;

  /** A sample is limited to this multiple of the mean. */
  private static final double MAX_SAMPLE_FACTOR = 4;

  private double hitLatency = INITIAL_HIT_LATENCY_SECONDS;
  private double fillLatency = INITIAL_FILL_LATENCY_SECONDS;
  private double minHitLatency = INITIAL_HIT_LATENCY_SECONDS;

  /** Returns the mean wait for hits and for copies of sibling edges, d in the ratio test. */
  double hitLatency() {
    return hitLatency;
  }

  /** Returns the mean wait for fills from parents and the origin, D in the ratio test. */
  double fillLatency() {
    return fillLatency;
  }

  /** Returns the shortest recent wait for a hit. */
  double minHitLatency() {
    return minHitLatency;
  }

  /**
   * Records the wait for a hit.
   *
   * @param wait seconds
   * @param atHome whether the hit was at the hashed edge of the object. Only these hits change the
   *     mean
   */
  void recordHit(double wait, boolean atHome) {
    minHitLatency =
        Math.min(Math.max(MIN_LATENCY_SECONDS, wait), MINIMUM_GROWTH_FACTOR * minHitLatency);
    if (atHome) {
      hitLatency = blend(hitLatency, wait);
    }
  }

  /** Records the wait for a fill from a sibling edge, in seconds. */
  void recordSiblingFill(double wait) {
    hitLatency = blend(hitLatency, wait);
  }

  /** Records the wait for a fill from a parent or the origin, in seconds. */
  void recordUpstreamFill(double wait) {
    fillLatency = blend(fillLatency, wait);
  }

  private static double blend(double mean, double sample) {
    return mean
        + SAMPLE_WEIGHT
            * (Math.max(MIN_LATENCY_SECONDS, Math.min(sample, MAX_SAMPLE_FACTOR * mean)) - mean);
  }
}
