package tamarindroute.decision;

/**
 * A lease on a part of what the cold caches of a tier bear.
 *
 * @param share of the whole, 0 to 1
 * @param expiresAt when it ends, in seconds of the instance's clock
 */
public record QuotaGrant(double share, double expiresAt) {

  /** None: the even share holds. */
  public static final QuotaGrant NONE = new QuotaGrant(0, 0);

  /**
   * How many even shares it is worth now; where it ended since the holder last looked, the less of
   * the two.
   *
   * @param gatewayCount the gateways that share evenly without a lease
   * @param now seconds of the instance's clock
   * @param lastCheckedAt when the holder last asked, in the same seconds
   */
  public double toEvenShares(int gatewayCount, double now, double lastCheckedAt) {
    double evenShares = share * gatewayCount;
    return now < expiresAt ? evenShares : lastCheckedAt < expiresAt ? Math.min(1, evenShares) : 1;
  }
}
