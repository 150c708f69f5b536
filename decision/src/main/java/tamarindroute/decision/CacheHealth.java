package tamarindroute.decision;

/**
 * What the module holds of a cache just now, for a front that steers clients there and carries no
 * views itself.
 *
 * @param ready whether the list lets work be sent there
 * @param cold whether it started lately and is not warm yet
 * @param ejected whether its outcomes speak against it
 * @param failureEvidence how much they do, from 0
 * @param maxConcurrentTransfers the transfers that this instance may have under way there at once,
 *     by its share of what a cold cache bears; infinite where it is warm. It only grows until the
 *     cache starts anew
 * @param cpuUtilization the part of its cores that it last told as busy; fades to 1 where it tells
 *     nothing
 * @param weight the transfers that its link carries at once without one slowing another
 */
public record CacheHealth(
    boolean ready,
    boolean cold,
    boolean ejected,
    double failureEvidence,
    double maxConcurrentTransfers,
    double cpuUtilization,
    double weight) {}
