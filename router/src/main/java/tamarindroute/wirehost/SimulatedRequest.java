package tamarindroute.wirehost;

import tamarindroute.decision.Attempt;
import tamarindroute.decision.Request;

/** A request that is not completed, or has attempts in flight. */
final class SimulatedRequest {

  /**
   * A timer's cookie has the request's id above these bits, and the generation of the timer in
   * them.
   */
  private static final int GENERATION_BITS = 24;

  private static final int GENERATION_MASK = (1 << GENERATION_BITS) - 1;

  final int requestId;
  final Request request;
  int attemptsInFlight;

  /** Incremented for each decision, so that timers set before it are ignored. */
  int timerGeneration;

  boolean finished;

  SimulatedRequest(int requestId, Request request) {
    this.requestId = requestId;
    this.request = request;
  }

  /** The id of the request whose timer has this cookie. */
  static int requestIdOf(long cookie) {
    return (int) (cookie >>> GENERATION_BITS);
  }

  /** The cookie of the timer for the next decision. */
  long timerCookie() {
    return (Integer.toUnsignedLong(requestId) << GENERATION_BITS)
        | (timerGeneration & GENERATION_MASK);
  }

  /** Whether the timer of this cookie was set after the last decision. */
  boolean isCurrentTimer(long cookie) {
    return (timerGeneration & GENERATION_MASK) == (cookie & GENERATION_MASK);
  }

  /** The attempt of this index; null if it was never sent or has ended. */
  Attempt attemptInFlight(int index) {
    if (index >= request.attempts.size()) {
      return null;
    }
    Attempt attempt = request.attempts.get(index);
    return attempt.outcome == null ? attempt : null;
  }
}
