package tamarindroute.decision;

/**
 * A lease on a part of what the cold caches of a tier bear.
 *
 * @param part of the whole, 0 to 1
 * @param until when it ends, in seconds of the instance's clock
 */
public record DealtShare(double part, double until) {

  /** None: the even share holds. */
  public static final DealtShare NONE = new DealtShare(0, 0);

  /**
   * How many even shares it is worth now; where it ended since the holder last looked, the less of
   * the two.
   *
   * @param sharers the gateways that share evenly without a lease
   * @param now seconds of the instance's clock
   * @param looked when the holder last asked, in the same seconds
   */
  public double evenShares(int sharers, double now, double looked) {
    double shares = part * sharers;
    return now < until ? shares : looked < until ? Math.min(1, shares) : 1;
  }
}
