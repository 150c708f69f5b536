package tamarindroute.decision;

import java.time.Duration;
import java.util.List;

/**
 * The sending of a request to a cache. The gateway sets {@link #sentAt} and {@link #outcome}; the
 * rest is fixed.
 */
public final class Attempt implements Decision {

  public final Cache cache;

  /** Where the cache fetches the object from on a miss; the cache itself if it must not. */
  public final Cache source;

  /** Retention rank of the copy the cache keeps, 1 to 3; 0 keeps none. */
  public final int rank;

  /** Oldest copy that may be served; null for the maximum age of the request class. */
  public final Duration maxCopyAge;

  /** Whether the source answers from its own copies only. */
  public final boolean onlyIfCached;

  /** Whether a copy past its maximum age is revalidated in the background. */
  public final boolean revalidate;

  /**
   * When the gateway requests a further decision if the attempt is still outstanding; null for
   * never.
   */
  public final Duration expectedBy;

  /** {@link Cache#startedAt} of the cache when the attempt was decided. */
  public final Duration cacheStartedAt;

  /** {@link Cache#startedAt} of the source when the attempt was decided. */
  public final Duration sourceStartedAt;

  /** When the gateway sent the attempt; null before. */
  public Duration sentAt;

  /** How it ended; null while it is outstanding. */
  public Outcome outcome;

  /** Creates an attempt that is not sent yet; the parameters are the fields of the same names. */
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

  /** Whether it is outstanding and was expected to end by now. */
  public boolean isLate(Duration now) {
    return outcome == null && expectedBy != null && expectedBy.compareTo(now) <= 0;
  }

  /**
   * Returns the caches that the attempt puts load on: its own, and its source if that is another.
   */
  public List<Cache> contactedCaches() {
    return source == cache ? List.of(cache) : List.of(cache, source);
  }
}
