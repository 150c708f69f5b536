package tamarindroute.decision;

/**
 * The load that a cache reports of itself; a value that it does not report is NaN.
 *
 * @param cpuUtilization busy share of its cores, 1 for all
 * @param outstandingRequests requests in flight at the cache, from all gateways together
 */
public record LoadReport(double cpuUtilization, double outstandingRequests) {

  /** Whether any value is reported. */
  public boolean hasValues() {
    return !Double.isNaN(cpuUtilization) || !Double.isNaN(outstandingRequests);
  }
}
