package tamarindroute.policy;

import tamarindroute.decision.Request;
import tamarindroute.numeric.DecayingValue;

/**
 * Limits retries to two per request, and to none while more than a tenth of the recent attempts are
 * rejected.
 */
final class RetryPolicy {

  /** Largest number of retries per request. */
  private static final int MAX_RETRIES = 2;

  /** Share of rejected attempts above which no request is retried. */
  private static final double OVERLOAD_SHARE = 0.1;

  /** Time constant of the decay of both counts. */
  private static final double TIME_CONSTANT_SECONDS = 3;

  private final DecayingValue ended = new DecayingValue(TIME_CONSTANT_SECONDS, 0);
  private final DecayingValue rejected = new DecayingValue(TIME_CONSTANT_SECONDS, 0);

  /** Records the end of an attempt, rejected or not. */
  void recordEnded(double now) {
    ended.add(1, now);
  }

  /** Records a rejected attempt. */
  void recordRejected(double now) {
    rejected.add(1, now);
  }

  /**
   * Whether the request may have a further attempt. A fill after a proven miss does not count as a
   * retry.
   */
  boolean allowsAttempt(Request request, double now) {
    boolean overloaded = rejected.valueAt(now) > 1 + OVERLOAD_SHARE * ended.valueAt(now);
    return request.attemptCount() <= (overloaded ? 0 : MAX_RETRIES);
  }
}
