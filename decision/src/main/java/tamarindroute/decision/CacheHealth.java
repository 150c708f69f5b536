package tamarindroute.decision;

/**
 * The policy's current view of a cache, for a front that directs clients to caches without carrying
 * their requests.
 *
 * @param ready whether the endpoint list allows new requests there
 * @param cold whether it started recently and has not warmed up
 * @param ejected whether outlier detection has taken it out of use
 * @param failureEvidence weight of the evidence against it, from 0
 * @param maxConcurrentTransfers transfers that this instance may have in flight there within its
 *     even share of what a cold cache can take; infinite for a warm cache. Grows until the cache
 *     restarts
 * @param cpuUtilization busy share of its cores as last reported; decays to 1 without reports
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
