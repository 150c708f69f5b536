package tamarindroute.decision;

import java.time.Duration;
import java.util.List;

/**
 * Decides where requests are sent. A front calls it for every event that concerns a request and
 * carries out the {@link Decision}s; the policy itself does no I/O.
 *
 * <p>All times are durations since the start of the instance and never go back. Before the next
 * call a front adds each attempt it sends to {@link Request#attempts}, sets {@link Attempt#sentAt},
 * and on its return {@link Attempt#outcome}.
 */
public interface RoutingPolicy {

  /**
   * Decides on a request at its arrival, and again each time {@link #nextDecisionDelay} has passed.
   *
   * @return an attempt to send, or what else to do with the request
   */
  Decision route(Request request, Duration now);

  /**
   * Reports the outcome of an attempt.
   *
   * @return what follows; only a cancellation or a wait if the request is completed
   */
  Decision onOutcome(Request request, Attempt attempt, Duration now);

  /**
   * Checks again whether an attempt that waited for its connection may be sent.
   *
   * @return false if it must not be sent; its outcome is then {@link Outcome.Result#NOT_SENT}
   */
  boolean mayStillSend(Request request, Attempt attempt, Duration now);

  /**
   * Returns how long to wait before {@link #route} is called again; null if the next decision
   * follows an outcome.
   */
  Duration nextDecisionDelay(Request request, Duration now);

  /**
   * Replaces the endpoint list.
   *
   * @param caches all caches, those that are gone included, in the order of their {@link
   *     Cache#stableId}
   */
  void onEndpoints(List<Cache> caches, Duration now);

  /** Reports a purge; copies from before it are not served any more. */
  void onPurge(Purge purge, Duration now);

  /** Reports what a cache said about its load. */
  void onLoadReport(Cache cache, LoadReport report, Duration now);

  /**
   * Grants this instance a share of what each cold cache of a tier may be sent, in place of its
   * even share. A later grant for the same tier replaces it; after its end the even share holds
   * again. Figures of {@link #cacheHealth} ignore grants.
   *
   * @param share share of the whole, 0 to 1; other values are clamped
   * @param expiresAt end of the grant
   */
  void onQuotaGrant(Cache.Tier tier, double share, Duration expiresAt, Duration now);

  /**
   * Returns the policy's current view of a cache, for fronts that do not carry requests themselves.
   *
   * @return null if the cache is not on the endpoint list
   */
  CacheHealth cacheHealth(Cache cache, Duration now);

  /**
   * Returns the edges of the location in the order of preference for an object that is kept once.
   */
  List<Cache> rankedCaches(long objectId);

  /** Reports the result of an active health check of a cache. */
  void onHealthCheck(Cache cache, Outcome.Result result, Duration now);
}
