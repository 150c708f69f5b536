package tamarindroute.membership;

/**
 * Directed links of the model that are cut together, and the member that may be declared faulty
 * because of it.
 */
enum Partition {
  /** The link from member 0 to member 1. */
  ONE_LINK(0b000_000_010, Partition.NO_MEMBER),
  /** All links to member 2. */
  INTO_ONE(0b000_100_100, 2),
  /** All links from member 2. */
  OUT_OF_ONE(0b011_000_000, 2);

  /** Value of {@link #mayBeFaulty} if no member may be declared faulty. */
  static final int NO_MEMBER = -1;

  /** Cut links; the bit of a link is {@code from * 3 + to}. */
  private final int links;

  /** Index of the member that may be declared faulty, or {@link #NO_MEMBER}. */
  final int mayBeFaulty;

  Partition(int links, int mayBeFaulty) {
    this.links = links;
    this.mayBeFaulty = mayBeFaulty;
  }

  /** Whether the link between two members, by index, is cut. */
  boolean isCut(int from, int to) {
    int link = 1 << (from * ModelState.MEMBER_COUNT + to);
    return (links & link) != 0;
  }
}
