package tamarindroute.decision;

/**
 * A cache's own word on its load; what it does not tell is not a number.
 *
 * @param busy the part of its cores that is busy, 1 for all
 * @param outstanding the requests that it has in hand, from all gateways together
 */
public record Load(double busy, double outstanding) {

  /** Whether it tells anything that is read. */
  public boolean told() {
    return !Double.isNaN(busy) || !Double.isNaN(outstanding);
  }
}
