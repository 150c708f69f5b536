package tamarindroute.policy;

import tamarindroute.numeric.DecayingValue;

/**
 * Ejects a cache that fails, and readmits it after successful probes. A sequential probability
 * ratio test: the evidence is the logarithm of how much better the outcomes fit a faulty cache,
 * which fails 4 in 10, than a sound one, which fails 1 in 50.
 */
final class OutlierDetector {

  /** Seconds in which evidence is forgotten. */
  private static final double EVIDENCE_TIME_CONSTANT = 20;

  private static final double FAILURE_EVIDENCE = 3;
  private static final double SUCCESS_EVIDENCE = 0.5;
  private static final double MAX_EVIDENCE = 9;
  private static final double EJECTION_THRESHOLD = 6;
  private static final double READMISSION_THRESHOLD = 3;

  /** Successes of an ejected cache count so many times. */
  private static final double PROBE_SUCCESS_FACTOR = 4;

  private static final double FIRST_PROBE_DELAY = 1;
  private static final double MAX_PROBE_DELAY = 4;
  private static final double PROBE_DELAY_AFTER_SUCCESS = 0.25;

  private final DecayingValue evidence = new DecayingValue(EVIDENCE_TIME_CONSTANT, 0);
  private boolean ejected;
  private double lastProbeAt;
  private double probeDelay;

  /** Forgets all evidence. */
  void reset() {
    evidence.reset(0);
    ejected = false;
  }

  boolean isEjected() {
    return ejected;
  }

  /** Returns the evidence against the cache, from 0. */
  double evidence(double now) {
    return evidence.valueAt(now);
  }

  /**
   * Records a failure.
   *
   * @param weight 1 for a failure that surely is the cache's, less where others may have caused it
   */
  void recordFailure(double weight, double now) {
    evidence.add(Math.min(MAX_EVIDENCE - evidence.valueAt(now), FAILURE_EVIDENCE * weight), now);
    if (ejected || evidence.lastValue() >= EJECTION_THRESHOLD) {
      probeDelay = ejected ? Math.min(MAX_PROBE_DELAY, probeDelay * 2) : FIRST_PROBE_DELAY;
      ejected = true;
      lastProbeAt = now;
    }
  }

  /** Records a success; the weight is as for failures. */
  void recordSuccess(double weight, double now) {
    double factor = ejected ? PROBE_SUCCESS_FACTOR : 1;
    evidence.add(Math.max(-evidence.valueAt(now), -(factor * SUCCESS_EVIDENCE * weight)), now);
    probeDelay = PROBE_DELAY_AFTER_SUCCESS;
    ejected &= evidence.lastValue() >= READMISSION_THRESHOLD;
  }

  /** Whether the cache is ejected and due for a probe. */
  boolean isProbeDue(double now) {
    return ejected && now >= lastProbeAt + probeDelay;
  }

  void onProbe(double now) {
    lastProbeAt = now;
  }
}
