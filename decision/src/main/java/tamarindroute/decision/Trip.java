package tamarindroute.decision;

import java.time.Duration;
import java.util.List;

/** One sending of a view to a cache; the gateway fills in when it left and how it came back. */
public final class Trip implements Answer {

  public final Cache cache;

  /** Where a miss is filled from; the cache itself for no fill. */
  public final Cache source;

  /** 0 keeps no copy, 1 to 3 is the rank of the copy. */
  public final int rank;

  /** The oldest copy that will do; null for the profile's fresh time. */
  public final Duration oldest;

  public final boolean onlyHeld;
  public final boolean renew;

  /**
   * When it should have come back, and the gateway asks for a place again if it has not; null for
   * never.
   */
  public final Duration due;

  /** When the processes of both had started, as far as was told when this was decided. */
  public final Duration cacheUpSince;

  public final Duration sourceUpSince;

  public Duration sent;
  public Outcome outcome;

  public Trip(
      Cache cache,
      Cache source,
      int rank,
      Duration oldest,
      boolean onlyHeld,
      boolean renew,
      Duration due) {
    this.cache = cache;
    this.source = source;
    this.rank = rank;
    this.oldest = oldest;
    this.onlyHeld = onlyHeld;
    this.renew = renew;
    this.due = due;
    this.cacheUpSince = cache.upSince;
    this.sourceUpSince = source.upSince;
  }

  /** Whether it is out and should have come back by then. */
  public boolean lateAt(Duration now) {
    return outcome == null && due != null && due.compareTo(now) <= 0;
  }

  /**
   * The caches that it is sent to or makes send something: its own, and its source if that is
   * another.
   */
  public List<Cache> reached() {
    return source == cache ? List.of(cache) : List.of(cache, source);
  }
}
