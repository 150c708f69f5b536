package tamarindroute.membership;

/** What is held of a member; a later one outweighs an earlier one of the same incarnation. */
public enum Standing {
  JOINING,
  ALIVE,
  SUSPECT,
  AWAY,
  LEFT
}
