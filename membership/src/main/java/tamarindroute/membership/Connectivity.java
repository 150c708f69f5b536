package tamarindroute.membership;

/** How a member stands to the others, in its own judgement. */
public enum Connectivity {
  /** Not admitted by any other member yet. */
  JOINING,
  /** Answered by others and regarded as alive by them. */
  CONNECTED,
  /** Was not running for a while and has not been answered since. */
  PAUSED,
  /** Not answered by anybody, or regarded as faulty by others in spite of its refutation. */
  ISOLATED,
  /** Has left in order. */
  LEFT
}
