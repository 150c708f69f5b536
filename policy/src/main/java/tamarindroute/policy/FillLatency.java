package tamarindroute.policy;

import tamarindroute.numeric.DecayingValue;

/**
 * The wait for the first byte of a fill from one source; forgotten within seconds, so that the
 * source is tried again.
 */
final class FillLatency {

  private static final double TIME_CONSTANT = 10;
  private static final double BLEND = 0.2;

  /** A sample counts at most so many times the estimate. */
  private static final double MAX_SAMPLE_FACTOR = 4;

  private final DecayingValue wait = new DecayingValue(TIME_CONSTANT, 0);

  /** Returns the expected wait in seconds; 0 if nothing was measured recently. */
  double estimate(double now) {
    return wait.valueAt(now);
  }

  /**
   * Records a wait.
   *
   * @param sample seconds
   * @param typical the usual wait for fills of the location, in seconds
   */
  void record(double sample, double typical, double now) {
    double mostCounted = MAX_SAMPLE_FACTOR * Math.max(typical, wait.valueAt(now));
    wait.blendToward(Math.min(sample, mostCounted), BLEND, now);
  }
}
