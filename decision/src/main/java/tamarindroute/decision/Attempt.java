package tamarindroute.decision;

import java.time.Duration;
import java.util.List;

/** One sending of a view to a cache; the gateway fills in when it left and how it came back. */
public final class Attempt implements Decision {

  public final Cache cache;

  /** Where a miss is filled from; the cache itself for no fill. */
  public final Cache source;

  /** 0 keeps no copy, 1 to 3 is the rank of the copy. */
  public final int rank;

  /** The oldest copy that will do; null for the profile's fresh time. */
  public final Duration maxCopyAge;

  public final boolean onlyIfCached;
  public final boolean revalidate;

  /**
   * When it should have come back, and the gateway asks for a place again if it has not; null for
   * never.
   */
  public final Duration expectedBy;

  /** When the processes of both had started, as far as was told when this was decided. */
  public final Duration cacheStartedAt;

  public final Duration sourceStartedAt;

  public Duration sentAt;
  public Outcome outcome;

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

  /** Whether it is out and should have come back by then. */
  public boolean isLate(Duration now) {
    return outcome == null && expectedBy != null && expectedBy.compareTo(now) <= 0;
  }

  /**
   * The caches that it is sent to or makes send something: its own, and its source if that is
   * another.
   */
  public List<Cache> contactedCaches() {
    return source == cache ? List.of(cache) : List.of(cache, source);
  }
}
