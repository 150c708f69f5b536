package tamarindroute.policy;

import static tamarindroute.numeric.Seconds.seconds;
import static tamarindroute.numeric.Seconds.toDuration;

import java.time.Duration;
import tamarindroute.decision.Decision;
import tamarindroute.decision.Request;

/**
 * Ends requests that are not sent any more; the advised retry delay is jittered, so that clients do
 * not return together.
 */
final class RejectionPolicy {

  /** Smallest part of the longest retry delay that is advised. */
  private static final double MIN_DELAY_SHARE = 0.5;

  private final Duration maxRetryAfter;
  private final RandomSequence random;

  /** Takes the longest retry delay that may be advised; null if none may be. */
  RejectionPolicy(Duration maxRetryAfter, RandomSequence random) {
    this.maxRetryAfter = maxRetryAfter;
    this.random = random;
  }

  /** Returns a rejection where a repetition is safe, else a failure. */
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
