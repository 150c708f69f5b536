package tamarindroute.membership;

/**
 * State of a member in the view of another member. Of two updates with the same refutation number,
 * the one whose state is declared later in this enum takes precedence.
 */
public enum MemberState {
  /** Has requested admission and has not sent any message as a member yet. */
  JOINING,
  /** Answers probes. */
  ALIVE,
  /** Reported by at least one observer because it does not answer. It may refute the suspicion. */
  SUSPECT,
  /** Declared failed by several observers. It becomes alive again only by a refutation. */
  FAULTY,
  /** Has announced that it leaves. Final for this incarnation. */
  LEFT
}
