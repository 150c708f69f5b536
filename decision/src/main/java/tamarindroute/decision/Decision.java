package tamarindroute.decision;

import java.time.Duration;

/** What a gateway does next with a request. */
public sealed interface Decision
    permits Attempt, Decision.Wait, Decision.Cancel, Decision.Reject, Decision.Fail {

  /** The decision to do nothing for now. */
  Decision WAIT = new Wait();

  /** Do nothing for now and keep the request. */
  record Wait() implements Decision {}

  /**
   * Stop waiting for an attempt. Its outcome is still reported.
   *
   * @param attempt the outstanding attempt to cancel
   */
  record Cancel(Attempt attempt) implements Decision {}

  /**
   * End the request and report to the client that sending it again is harmless.
   *
   * @param retryAfter how long the client is advised to wait first; null for no advice
   */
  record Reject(Duration retryAfter) implements Decision {}

  /** End the request without a promise: it may have been executed. */
  record Fail() implements Decision {}
}
