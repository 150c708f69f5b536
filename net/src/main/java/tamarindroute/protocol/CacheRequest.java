package tamarindroute.protocol;

import java.time.Duration;

/**
 * One attempt as it is written to a cache.
 *
 * @param requestClass name of the request class, as the client spelled it
 * @param objectId the object, as the client spelled it
 * @param part part of the object, from 0
 * @param timeLeft how long the gateway will wait; at least 1 ms is written
 * @param idempotencyKey the client's idempotency key; null if absent
 * @param fillSource id of the cache from which a miss is filled; null for no fill
 * @param copyRank rank at which a copy is kept, 0 to 3; 0 keeps none
 * @param maxCopyAge age of the oldest acceptable copy, at least 1 ms is written; null for the
 *     class's own
 * @param onlyIfCached whether the source gives only what it holds
 * @param revalidate whether a copy past its age is renewed in the background
 * @param clientCopyTag tag of the copy that the client holds; null if absent
 */
public record CacheRequest(
    String requestClass,
    String objectId,
    int part,
    Duration timeLeft,
    String idempotencyKey,
    String fillSource,
    int copyRank,
    Duration maxCopyAge,
    boolean onlyIfCached,
    boolean revalidate,
    String clientCopyTag) {}
