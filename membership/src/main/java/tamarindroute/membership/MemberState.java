package tamarindroute.membership;

/** What is held of a member; a later one outweighs an earlier one of the same incarnation. */
public enum MemberState {
  JOINING,
  ALIVE,
  SUSPECT,
  AWAY,
  LEFT
}
