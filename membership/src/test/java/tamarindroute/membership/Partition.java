package tamarindroute.membership;

/**
 * Directed links that are cut together, as bits {@code from * 3 + to}, and the member that may be
 * declared faulty because of it, or {@link #NOBODY}.
 */
enum Partition {
  ONE_LINK(0b000_000_010, Partition.NOBODY),
  INTO_ONE(0b000_100_100, 2),
  OUT_OF_ONE(0b011_000_000, 2);

  static final int NOBODY = -1;
  private final int links;
  final int excused;

  Partition(int links, int excused) {
    this.links = links;
    this.excused = excused;
  }

  boolean isCut(int from, int to) {
    int link = 1 << (from * ModelState.MEMBERS + to);
    return (links & link) != 0;
  }
}
