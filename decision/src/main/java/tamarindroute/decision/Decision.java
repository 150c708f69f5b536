package tamarindroute.decision;

import java.time.Duration;

/** The next action of a gateway on a request. */
public sealed interface Decision
    permits Attempt, Decision.Wait, Decision.Cancel, Decision.Reject, Decision.Fail {

  /** The decision that nothing is to be done now. */
  Decision WAIT = new Wait();

  /** Does nothing now. The request stays open. */
  record Wait() implements Decision {}

  /**
   * Cancels an attempt. Its outcome is still reported to the policy.
   *
   * @param attempt the outstanding attempt to cancel
   */
  record Cancel(Attempt attempt) implements Decision {}

  /**
   * Ends the request with the answer that the client may safely send it again.
   *
   * @param retryAfter advised delay before the client sends the request again; null for no advice
   */
  record Reject(Duration retryAfter) implements Decision {}

  /**
   * Ends the request with an answer that promises nothing, since the request may have been
   * executed.
   */
  record Fail() implements Decision {}
}
