package tamarindroute.decision;

import java.time.Duration;
import java.util.List;

/**
 * Decides where requests are sent. A front calls the policy for every event that concerns a request
 * and carries out the returned {@link Decision}. The policy itself does no I/O.
 *
 * <p>All times are durations since the start of the instance and never decrease from call to call.
 * Before its next call a front adds each attempt that it sends to {@link Request#attempts} and sets
 * {@link Attempt#sentAt}. When an attempt has ended, the front sets {@link Attempt#outcome}.
 */
public interface RoutingPolicy {

  /**
   * Decides on a request at its arrival, and again each time that the delay of {@link
   * #nextDecisionDelay} has passed.
   *
   * @return an attempt to send, a cancellation, a wait or the end of the request
   */
  Decision route(Request request, Duration now);

  /**
   * Reports the outcome of an attempt and decides what follows.
   *
   * @param attempt an attempt of the request whose outcome is set
   * @return the next decision. It is a cancellation or a wait if the request is completed
   */
  Decision onOutcome(Request request, Attempt attempt, Duration now);

  /**
   * Checks whether an attempt that waited for its connection may still be sent.
   *
   * @return false if the attempt must not be sent. Its outcome is then {@link
   *     Outcome.Result#NOT_SENT}
   */
  boolean mayStillSend(Request request, Attempt attempt, Duration now);

  /**
   * Returns the delay before {@link #route} is to be called again; null if the next decision
   * follows an outcome.
   */
  Duration nextDecisionDelay(Request request, Duration now);

  /**
   * Replaces the endpoint list.
   *
   * @param caches all caches, including those that are gone, in the order of their {@link
   *     Cache#stableId}
   */
  void onEndpoints(List<Cache> caches, Duration now);

  /** Reports a purge. Copies from before it are no longer served. */
  void onPurge(Purge purge, Duration now);

  /** Reports the load of a cache as stated by the cache itself. */
  void onLoadReport(Cache cache, LoadReport report, Duration now);

  /**
   * Grants this instance a share of the load that each cold cache of a tier may get, in place of
   * the even share of the instance. A later grant for the same tier replaces it. After the end of
   * the grant the even share applies again. The figures of {@link #cacheHealth} do not depend on
   * grants.
   *
   * @param share share of the load of all gateways, 0 to 1; other values are clamped to this range
   * @param expiresAt end of the grant, since the start of the instance
   */
  void onQuotaGrant(Cache.Tier tier, double share, Duration expiresAt, Duration now);

  /**
   * Returns the policy's current assessment of a cache, for fronts that do not carry requests
   * themselves.
   *
   * @return the assessment; null if the cache is not on the endpoint list
   */
  CacheHealth cacheHealth(Cache cache, Duration now);

  /**
   * Returns the edges of the location in the order of preference for an object that one edge
   * stores. The first one is the hashed edge of the object.
   */
  List<Cache> rankedCaches(long objectId);

  /**
   * Reports the result of an active health check of a cache. Results that neither confirm nor
   * question the health of the cache are ignored.
   */
  void onHealthCheck(Cache cache, Outcome.Result result, Duration now);
}
