package tamarindroute.policy;

import tamarindroute.numeric.DecayingValue;

/**
 * Ejects a cache that fails, and readmits it after successful probes. It guards against caches that
 * fail fast, hang or are gone. The algorithm is a sequential probability ratio test. The evidence
 * is the logarithm of the likelihood ratio between a faulty cache, which fails 4 in 10 requests,
 * and a working one, which fails 1 in 50.
 */
final class OutlierDetector {

  /** Time constant of the decay of the evidence. */
  private static final double EVIDENCE_TIME_CONSTANT_SECONDS = 20;

  /** Evidence of one failure: ln(0.4 / 0.02), rounded. */
  private static final double FAILURE_EVIDENCE = 3;

  /** Evidence that one success removes: ln(0.98 / 0.6), rounded. */
  private static final double SUCCESS_EVIDENCE = 0.5;

  /** Upper bound of the evidence. It limits how many successes it takes to readmit a cache. */
  private static final double MAX_EVIDENCE = 9;

  /** Evidence from which a cache is ejected. */
  private static final double EJECTION_THRESHOLD = 6;

  /** Evidence below which an ejected cache is readmitted. */
  private static final double READMISSION_THRESHOLD = 3;

  /** Weight of a success of an ejected cache, relative to one of a cache in use. */
  private static final double PROBE_SUCCESS_FACTOR = 4;

  /** Time from the ejection to the first probe. */
  private static final double FIRST_PROBE_DELAY_SECONDS = 1;

  /** Longest time between probes. The delay doubles with each failure until then. */
  private static final double MAX_PROBE_DELAY_SECONDS = 4;

  /** Time to the next probe after a success. */
  private static final double PROBE_DELAY_AFTER_SUCCESS_SECONDS = 0.25;

  private final DecayingValue evidence = new DecayingValue(EVIDENCE_TIME_CONSTANT_SECONDS, 0);
  private boolean ejected;
  private double lastProbeAt;
  private double probeDelay;

  /** Clears the evidence and readmits the cache. */
  void reset() {
    evidence.reset(0);
    ejected = false;
  }

  boolean isEjected() {
    return ejected;
  }

  /** Returns the evidence that the cache is faulty, at least 0. */
  double evidence(double now) {
    return evidence.valueAt(now);
  }

  /**
   * Records a failure.
   *
   * @param weight 1 for a failure that the cache certainly caused, less if another cache may have
   *     caused it
   * @param now seconds since the start of the instance
   */
  void recordFailure(double weight, double now) {
    evidence.add(Math.min(MAX_EVIDENCE - evidence.valueAt(now), FAILURE_EVIDENCE * weight), now);
    if (ejected || evidence.lastValue() >= EJECTION_THRESHOLD) {
      probeDelay =
          ejected ? Math.min(MAX_PROBE_DELAY_SECONDS, probeDelay * 2) : FIRST_PROBE_DELAY_SECONDS;
      ejected = true;
      lastProbeAt = now;
    }
  }

  /**
   * Records a success.
   *
   * @param weight 1 for an answer that the cache certainly gave, less if another cache may have
   *     given it
   * @param now seconds since the start of the instance
   */
  void recordSuccess(double weight, double now) {
    double factor = ejected ? PROBE_SUCCESS_FACTOR : 1;
    evidence.add(Math.max(-evidence.valueAt(now), -(factor * SUCCESS_EVIDENCE * weight)), now);
    probeDelay = PROBE_DELAY_AFTER_SUCCESS_SECONDS;
    ejected &= evidence.lastValue() >= READMISSION_THRESHOLD;
  }

  /** Whether the cache is ejected and the delay before its next probe has passed. */
  boolean isProbeDue(double now) {
    return ejected && now >= lastProbeAt + probeDelay;
  }

  /** Records that a probe is sent, which starts the delay before the next one. */
  void onProbe(double now) {
    lastProbeAt = now;
  }
}
