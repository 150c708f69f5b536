package tamarindroute.decision;

/**
 * The policy's current assessment of a cache, for a front that directs clients to caches and does
 * not carry their requests.
 *
 * @param ready whether the endpoint list allows new requests to the cache
 * @param cold whether the cache has started recently and has not warmed up
 * @param ejected whether outlier detection has ejected the cache
 * @param failureEvidence evidence that the cache is faulty, at least 0
 * @param maxConcurrentTransfers number of transfers that this instance may have in flight at the
 *     cache, within its even share of the capacity of a cold cache; infinite for a warm cache. The
 *     number only grows until the cache restarts
 * @param cpuUtilization busy share of the cache's cores as last reported, 0 to 1; decays to 1
 *     without reports
 * @param weight relative capacity from the endpoint list
 */
public record CacheHealth(
    boolean ready,
    boolean cold,
    boolean ejected,
    double failureEvidence,
    double maxConcurrentTransfers,
    double cpuUtilization,
    double weight) {}
