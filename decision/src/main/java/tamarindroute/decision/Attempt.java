package tamarindroute.decision;

import java.time.Duration;
import java.util.List;

/**
 * One attempt to serve a request: it is sent to one cache. The gateway sets {@link #sentAt} and
 * {@link #outcome}. All other fields are fixed when the attempt is decided.
 */
public final class Attempt implements Decision {

  /** The cache that the attempt is sent to. */
  public final Cache cache;

  /**
   * The cache or origin from which {@link #cache} fetches the object on a miss; {@link #cache}
   * itself if it must not fetch the object.
   */
  public final Cache source;

  /** Retention rank of the copy that the cache stores, 1 to 3; 0 if no copy is stored. */
  public final int rank;

  /**
   * Maximum age of a copy that may be served; null if the maximum age of the request class applies.
   */
  public final Duration maxCopyAge;

  /** Whether the source answers only from copies that it holds. */
  public final boolean onlyIfCached;

  /** Whether the cache revalidates a copy past its maximum age in the background. */
  public final boolean revalidate;

  /**
   * Time after which the attempt is late and the gateway requests a further decision; null if the
   * attempt is never late.
   */
  public final Duration expectedBy;

  /**
   * Value of {@link Cache#startedAt} of the cache at the decision; null if the start time was
   * unknown.
   */
  public final Duration cacheStartedAt;

  /**
   * Value of {@link Cache#startedAt} of the source at the decision; null if the start time was
   * unknown.
   */
  public final Duration sourceStartedAt;

  /** Time at which the gateway sent the attempt; null before that. */
  public Duration sentAt;

  /** How the attempt ended; null while it is outstanding. */
  public Outcome outcome;

  /** Creates an attempt that has not been sent. The parameters are the fields of the same names. */
  public Attempt(
      Cache cache,
      Cache source,
      int rank,
      Duration maxCopyAge,
      boolean onlyIfCached,
      boolean revalidate,
      Duration expectedBy) {
    this.cache = cache;
    this.source = source;
    this.rank = rank;
    this.maxCopyAge = maxCopyAge;
    this.onlyIfCached = onlyIfCached;
    this.revalidate = revalidate;
    this.expectedBy = expectedBy;
    this.cacheStartedAt = cache.startedAt;
    this.sourceStartedAt = source.startedAt;
  }

  /** Whether the attempt is outstanding and its expected time has passed. */
  public boolean isLate(Duration now) {
    return outcome == null && expectedBy != null && expectedBy.compareTo(now) <= 0;
  }

  /** Returns the caches that carry load of the attempt: its cache and, if different, its source. */
  public List<Cache> contactedCaches() {
    return source == cache ? List.of(cache) : List.of(cache, source);
  }
}
