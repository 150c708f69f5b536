package tamarindroute.versioning;

/**
 * The schema versions that a cache or fill source has reported. A request and its response have the
 * same version, so a version is usable only if the peer both reads and writes it.
 *
 * @param reads the request versions that the peer reads
 * @param writes the response versions that the peer writes
 */
public record PeerVersionRange(VersionSet reads, VersionSet writes) {

  /** The versions of a peer that reports none: it supports only the oldest. */
  public static final PeerVersionRange OLDEST =
      new PeerVersionRange(VersionSet.OLDEST, VersionSet.OLDEST);

  /** Returns the versions that the peer both reads and writes. */
  public VersionSet usable() {
    return reads.and(writes);
  }
}
