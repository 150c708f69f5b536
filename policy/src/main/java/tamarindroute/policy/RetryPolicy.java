package tamarindroute.policy;

import tamarindroute.decision.Request;
import tamarindroute.numeric.DecayingValue;

/** Limits retries: two per request, none while many attempts are rejected. */
final class RetryPolicy {

  private static final int MAX_RETRIES = 2;

  /** Share of rejected attempts above which nothing is retried. */
  private static final double OVERLOAD_SHARE = 0.1;

  /** Seconds in which attempts are forgotten. */
  private static final double TIME_CONSTANT = 3;

  private final DecayingValue ended = new DecayingValue(TIME_CONSTANT, 0);
  private final DecayingValue rejected = new DecayingValue(TIME_CONSTANT, 0);

  void recordEnded(double now) {
    ended.add(1, now);
  }

  void recordRejected(double now) {
    rejected.add(1, now);
  }

  /** Whether the request may have a further attempt; a fill after a proven miss is not a retry. */
  boolean allowsAttempt(Request request, double now) {
    boolean overloaded = rejected.valueAt(now) > 1 + OVERLOAD_SHARE * ended.valueAt(now);
    return request.attemptCount() <= (overloaded ? 0 : MAX_RETRIES);
  }
}
