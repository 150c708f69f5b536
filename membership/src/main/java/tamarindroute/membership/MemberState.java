package tamarindroute.membership;

/**
 * State of a member in the view of another. Of two updates with the same refutation number the one
 * with the later constant takes precedence.
 */
public enum MemberState {
  /** Has asked to join and has not sent anything as a member yet. */
  JOINING,
  /** Answers probes. */
  ALIVE,
  /** Reported by at least one observer for not answering; may still refute that. */
  SUSPECT,
  /** Declared failed by several observers; comes back only by refuting it. */
  FAULTY,
  /** Has left in order; final for this incarnation. */
  LEFT
}
