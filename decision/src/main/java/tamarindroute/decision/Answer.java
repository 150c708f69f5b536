package tamarindroute.decision;

import java.time.Duration;

/** What a gateway does with a view next. */
public sealed interface Answer
    permits Trip, Answer.NotYet, Answer.Recall, Answer.Dismissal, Answer.Termination {

  /** Nothing for now; the view stays in hand. */
  record NotYet() implements Answer {}

  /** Stop waiting for this trip; its outcome still comes. */
  record Recall(Trip trip) implements Answer {}

  /** The final answer that a new try is harmless; comeBack is null where nothing is advised. */
  record Dismissal(Duration comeBack) implements Answer {}

  /** The final answer that promises nothing. */
  record Termination() implements Answer {}
}
