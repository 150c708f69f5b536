package tamarindroute.policy;

import tamarindroute.numeric.DecayingValue;

/**
 * Moving average of the time to the first byte of fills from one source. It decays to 0 within
 * seconds, so that a slow source is tried again.
 */
final class FillLatency {

  /** Time constant of the decay. 10 s let a slow cache be tried again. */
  private static final double TIME_CONSTANT_SECONDS = 10;

  /** Weight of a new sample in the moving average. */
  private static final double SAMPLE_WEIGHT = 0.2;

  /** A sample is limited to this multiple of the estimate. */
  private static final double MAX_SAMPLE_FACTOR = 4;

  private final DecayingValue wait = new DecayingValue(TIME_CONSTANT_SECONDS, 0);

  /** Returns the expected wait in seconds; 0 if nothing was measured recently. */
  double estimate(double now) {
    return wait.valueAt(now);
  }

  /**
   * Records the wait of one fill.
   *
   * @param sample seconds
   * @param typical mean wait for upstream fills of the location, in seconds
   */
  void record(double sample, double typical, double now) {
    double maxSample = MAX_SAMPLE_FACTOR * Math.max(typical, wait.valueAt(now));
    wait.blendToward(Math.min(sample, maxSample), SAMPLE_WEIGHT, now);
  }
}
