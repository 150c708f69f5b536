package tamarindroute.versioning;

import java.util.Collection;
import java.util.OptionalInt;

/**
 * Selects the schema version of one request. For each cache, and for each pair of cache and fill
 * source, it returns the newest version that the client and both peers support. It never returns a
 * version that the client has not reported as readable.
 *
 * <p>The routing policy ranks the caches. A request is therefore not rejected because of its
 * version while a cache that supports the version has capacity.
 */
public final class VersionNegotiation {

  /** Result for a cache, or a cache with a fill source, that shares no version with the request. */
  public static final int NO_VERSION = VersionSet.NO_VERSION;

  private final VersionSet allowed;

  private VersionNegotiation(VersionSet allowed) {
    this.allowed = allowed;
  }

  /**
   * Creates the negotiation of a request whose attempts may each use a different version, because
   * the request is idempotent or has not been attempted yet.
   *
   * @param client the versions that the client reads
   * @param usable the versions that the fleet version allows
   */
  public static VersionNegotiation anyVersion(VersionSet client, VersionSet usable) {
    return new VersionNegotiation(client.and(usable));
  }

  /**
   * Creates the negotiation of a keyed request that must keep the version of its first attempt,
   * regardless of what the fleet version allows now. Caches would not recognize a retry in another
   * version as the same request.
   *
   * @param client the versions that the client reads
   * @param firstVersion the version of the first attempt; empty if the request may have been
   *     attempted in an unknown version, so that no version is safe
   */
  public static VersionNegotiation sameVersion(VersionSet client, OptionalInt firstVersion) {
    if (firstVersion.isEmpty()) {
      return new VersionNegotiation(VersionSet.NONE);
    }
    return new VersionNegotiation(client.and(VersionSet.of(firstVersion.getAsInt())));
  }

  /** Returns the newest version for a cache lookup, or {@link #NO_VERSION}. */
  public int lookupVersion(PeerVersionRange cache) {
    return allowed.and(cache.usable()).newest();
  }

  /**
   * Returns the newest version for an attempt that the cache fills from the source, or {@link
   * #NO_VERSION}. The cache forwards the response of the source, so both must support the version.
   */
  public int fillVersion(PeerVersionRange cache, PeerVersionRange source) {
    return allowed.and(cache.usable()).and(source.usable()).newest();
  }

  /**
   * Whether any of the caches shares a version with the request. If none does, the request is
   * answered at once with the {@link #supported} versions.
   */
  public boolean isPossible(Collection<PeerVersionRange> caches) {
    return caches.stream().anyMatch(cache -> lookupVersion(cache) != NO_VERSION);
  }

  /**
   * Returns all versions that at least one of the caches supports, for the response to a client
   * that shares no version with any of them.
   */
  public static VersionSet supported(Collection<PeerVersionRange> caches) {
    return caches.stream().map(PeerVersionRange::usable).reduce(VersionSet.NONE, VersionSet::or);
  }
}
