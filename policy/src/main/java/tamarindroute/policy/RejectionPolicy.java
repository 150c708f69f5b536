package tamarindroute.policy;

import static tamarindroute.numeric.Seconds.seconds;
import static tamarindroute.numeric.Seconds.toDuration;

import java.time.Duration;
import tamarindroute.decision.Decision;
import tamarindroute.decision.Request;

/**
 * Chooses the final decision for a request that is not sent again. The advised retry delay is
 * jittered, so that clients do not return all at once.
 */
final class RejectionPolicy {

  /** Smallest share of the longest retry delay that is advised. */
  private static final double MIN_DELAY_SHARE = 0.5;

  private final Duration maxRetryAfter;
  private final RandomSequence random;

  /**
   * Creates the policy.
   *
   * @param maxRetryAfter the longest retry delay that may be advised; null if none may be advised
   */
  RejectionPolicy(Duration maxRetryAfter, RandomSequence random) {
    this.maxRetryAfter = maxRetryAfter;
    this.random = random;
  }

  /** Returns a rejection if the client may safely send the request again, otherwise a failure. */
  Decision giveUp(Request request) {
    return IdempotencyGuard.isSafeToRepeat(request)
        ? new Decision.Reject(retryAfter())
        : new Decision.Fail();
  }

  private Duration retryAfter() {
    if (maxRetryAfter == null) {
      return null;
    }
    double share = MIN_DELAY_SHARE + (1 - MIN_DELAY_SHARE) * random.next();
    return toDuration(seconds(maxRetryAfter) * share);
  }
}
