package tamarindroute.membership;

/** Connectivity of the local member to the other members, as judged by the local member itself. */
public enum Connectivity {
  /** Not admitted by any other member yet. */
  JOINING,
  /** Answered by other members and regarded as alive by them, or the only member. */
  CONNECTED,
  /** The process did not run for a while, and no other member has answered it since. */
  PAUSED,
  /** No other member answers, or several still suspect the local member after its refutation. */
  ISOLATED,
  /** The local member has announced that it leaves. */
  LEFT
}
