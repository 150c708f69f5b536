package tamarindroute.membership;

/** Decides which directed links are cut. */
interface LinkFilter {
  boolean isCut(int from, int to);
}
