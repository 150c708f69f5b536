package tamarindroute.membership;

/** Decides which directed links between simulated nodes are cut. */
interface LinkFilter {
  /** Whether messages from one node to another, by index, are lost. */
  boolean isCut(int from, int to);
}
