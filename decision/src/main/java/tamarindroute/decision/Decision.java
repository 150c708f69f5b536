package tamarindroute.decision;

import java.time.Duration;

/** What a gateway does with a view next. */
public sealed interface Decision
    permits Attempt, Decision.Wait, Decision.Cancel, Decision.Reject, Decision.Fail {

  /** Nothing for now; the view stays in hand. */
  record Wait() implements Decision {}

  /** Stop waiting for this trip; its outcome still comes. */
  record Cancel(Attempt attempt) implements Decision {}

  /** The final answer that a new try is harmless; comeBack is null where nothing is advised. */
  record Reject(Duration retryAfter) implements Decision {}

  /** The final answer that promises nothing. */
  record Fail() implements Decision {}
}
