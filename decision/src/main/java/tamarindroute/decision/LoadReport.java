package tamarindroute.decision;

/**
 * The load that a cache reports of itself. A value that is not reported is NaN.
 *
 * @param cpuUtilization busy share of the cache's cores, 0 to 1
 * @param outstandingRequests requests in flight at the cache, from all gateways together
 */
public record LoadReport(double cpuUtilization, double outstandingRequests) {

  /** Whether at least one value is reported. */
  public boolean hasValues() {
    return !Double.isNaN(cpuUtilization) || !Double.isNaN(outstandingRequests);
  }
}
