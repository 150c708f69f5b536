package tamarindroute.membership;

import java.time.Duration;

/** What is to be done after a step, in the order told. */
public sealed interface Action {

  /** Send this; may be lost. */
  record Send(Address to, Message message) implements Action {}

  /** Another member's standing is a new one here. */
  record Became(Member about, Standing standing) implements Action {}

  /** One's own condition is a new one. */
  record Touch(State state) implements Action {}

  /**
   * It took a greater birth, as a later life than its own was here before; what it said before
   * counts no more.
   */
  record Reborn(Member self) implements Action {}

  /** How one stands to the others. */
  enum Condition {
    JOINING,
    IN_TOUCH,
    PAUSED,
    CUT_OFF,
    LEFT
  }

  /**
   * One's own condition.
   *
   * @param span for PAUSED: how long it did not run; else zero
   */
  record State(Condition condition, Duration span) {

    static State of(Condition condition) {
      return new State(condition, Duration.ZERO);
    }

    /** Whether what is held of the others may be acted on. */
    public boolean inTouch() {
      return condition == Condition.IN_TOUCH;
    }
  }
}
