package tamarindroute.versioning;

import java.util.Collection;
import java.util.OptionalInt;

/**
 * The schema versions that one request may use. For each cache, and each fill source behind it, it
 * yields the newest version in which the request may go there, if there is one. The ranking of
 * caches stays the routing policy's; so no request is rejected for its version while a cache that
 * supports it has capacity.
 */
public final class VersionNegotiation {

  /** The result where a cache, or a cache with this source, is unsuitable for the request. */
  public static final int NO_VERSION = VersionSet.NO_VERSION;

  private final VersionSet allowed;

  private VersionNegotiation(VersionSet allowed) {
    this.allowed = allowed;
  }

  /**
   * For a request whose every attempt may use another version, because it is idempotent or was not
   * attempted yet.
   *
   * @param client the versions that the client reads
   * @param usable the versions that the fleet's version allows
   */
  public static VersionNegotiation anyVersion(VersionSet client, VersionSet usable) {
    return new VersionNegotiation(client.and(usable));
  }

  /**
   * For a keyed request that must keep the version of its first attempt, whatever the fleet's
   * version allows now: caches would not recognize a repeat in another version.
   *
   * @param client the versions that the client reads
   * @param firstVersion the version of the first attempt; empty if an attempt may have been made in
   *     an unknown one, so that none is right
   */
  public static VersionNegotiation sameVersion(VersionSet client, OptionalInt firstVersion) {
    if (firstVersion.isEmpty()) {
      return new VersionNegotiation(VersionSet.NONE);
    }
    return new VersionNegotiation(client.and(VersionSet.of(firstVersion.getAsInt())));
  }

  /** The newest version for a cache lookup, or {@link #NO_VERSION}. */
  public int lookupVersion(PeerVersionRange cache) {
    return allowed.and(cache.usable()).newest();
  }

  /**
   * The newest version for an attempt with a fill, or {@link #NO_VERSION}. The cache passes on the
   * source's answer, so both must support it.
   */
  public int fillVersion(PeerVersionRange cache, PeerVersionRange source) {
    return allowed.and(cache.usable()).and(source.usable()).newest();
  }

  /** Whether any of these caches could take the request. */
  public boolean isPossible(Collection<PeerVersionRange> caches) {
    return caches.stream().anyMatch(cache -> lookupVersion(cache) != NO_VERSION);
  }

  /** All versions that these caches support: what a client is told that shares none of them. */
  public static VersionSet supported(Collection<PeerVersionRange> caches) {
    return caches.stream().map(PeerVersionRange::usable).reduce(VersionSet.NONE, VersionSet::or);
  }
}
