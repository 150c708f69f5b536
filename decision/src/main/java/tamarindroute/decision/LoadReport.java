package tamarindroute.decision;

/**
 * A cache's own word on its load; what it does not tell is not a number.
 *
 * @param cpuUtilization the part of its cores that is busy, 1 for all
 * @param outstandingRequests the requests that it has in hand, from all gateways together
 */
public record LoadReport(double cpuUtilization, double outstandingRequests) {

  /** Whether it tells anything that is read. */
  public boolean hasValues() {
    return !Double.isNaN(cpuUtilization) || !Double.isNaN(outstandingRequests);
  }
}
