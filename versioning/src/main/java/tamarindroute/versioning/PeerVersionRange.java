package tamarindroute.versioning;

/**
 * The schema versions that a cache or fill source has reported. A request and its answer have the
 * same version, so only those that the peer both reads and writes are usable.
 *
 * @param reads the versions of requests that it reads
 * @param writes the versions of answers that it writes
 */
public record PeerVersionRange(VersionSet reads, VersionSet writes) {

  /** Of a peer that reports nothing. */
  public static final PeerVersionRange OLDEST =
      new PeerVersionRange(VersionSet.OLDEST, VersionSet.OLDEST);

  /** The versions that the peer both reads and writes. */
  public VersionSet usable() {
    return reads.and(writes);
  }
}
