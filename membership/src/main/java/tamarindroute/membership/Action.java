package tamarindroute.membership;

import java.time.Duration;

/** What is to be done after a step, in the order told. */
public sealed interface Action {

  /** Send this; may be lost. */
  record Send(Address to, Message message) implements Action {}

  /** Another member's standing is a new one here. */
  record StateChanged(Member member, MemberState state) implements Action {}

  /** One's own condition is a new one. */
  record StatusChanged(LocalStatus status) implements Action {}

  /**
   * It took a greater birth, as a later life than its own was here before; what it said before
   * counts no more.
   */
  record IncarnationRaised(Member self) implements Action {}

  /** How one stands to the others. */
  enum Connectivity {
    JOINING,
    IN_TOUCH,
    PAUSED,
    CUT_OFF,
    LEFT
  }

  /**
   * One's own condition.
   *
   * @param pausedFor for PAUSED: how long it did not run; else zero
   */
  record LocalStatus(Connectivity connectivity, Duration pausedFor) {

    static LocalStatus of(Connectivity condition) {
      return new LocalStatus(condition, Duration.ZERO);
    }

    /** Whether what is held of the others may be acted on. */
    public boolean isConnected() {
      return connectivity == Connectivity.IN_TOUCH;
    }
  }
}
