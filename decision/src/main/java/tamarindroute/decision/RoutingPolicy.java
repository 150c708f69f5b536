package tamarindroute.decision;

import java.time.Duration;
import java.util.List;

/**
 * What a front asks of its decision module, and what it tells it. All times are spans since the
 * instance's start. A gateway notes each trip it sends in the view, with its time, and each outcome
 * in the trip, before it asks on.
 */
public interface RoutingPolicy {

  /**
   * Where to send this view, or not yet, or never. Asked at its arrival and when a wait is over.
   */
  Decision route(Request request, Duration now);

  /**
   * What follows after this trip's outcome; when the view is over, the answer can only be a recall.
   */
  Decision onOutcome(Request request, Attempt attempt, Duration now);

  /**
   * Whether a trip that had to wait for its connection may be begun now; if not, its outcome is
   * NOT_SENT.
   */
  boolean mayStillSend(Request request, Attempt attempt, Duration now);

  /** How long to wait before asking for a place again; null if only an outcome matters. */
  Duration nextDecisionDelay(Request request, Duration now);

  /** The caches on the list as it is now, the gone among them, ordered by their marks. */
  void onEndpoints(List<Cache> caches, Duration now);

  void onPurge(Purge purge, Duration now);

  void onLoadReport(Cache cache, LoadReport report, Duration now);

  /**
   * Until then this instance's part of what each cold cache of the tier bears is this one, from 0
   * to 1, in place of its even share; past it the even share again, by itself. A later word
   * replaces it. Names keep the even share.
   */
  void onQuotaGrant(Cache.Tier tier, double share, Duration expiresAt, Duration now);

  /**
   * What is held of a cache; null for one that the list does not name. For fronts that carry no
   * views.
   */
  CacheHealth cacheHealth(Cache cache, Duration now);

  /** The location's edges as the ordinary path ranks them for an object: its hashed home first. */
  List<Cache> rankedCaches(long objectId);

  /**
   * How a probe of a cache came back, where that speaks for or against the cache and nothing else.
   */
  void onHealthCheck(Cache cache, Outcome.Result result, Duration now);
}
