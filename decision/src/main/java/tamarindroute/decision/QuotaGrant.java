package tamarindroute.decision;

/**
 * A lease on a share of what the cold caches of one tier may be sent, in place of the even share of
 * each gateway.
 *
 * @param share share of the whole, 0 to 1
 * @param expiresAt end of the lease, in seconds since the start of the instance
 */
public record QuotaGrant(double share, double expiresAt) {

  /** No lease: the even share holds. */
  public static final QuotaGrant NONE = new QuotaGrant(0, 0);

  /**
   * Converts the grant to a multiple of the even share. If the lease expired since the last check,
   * the smaller of the granted and the even share counts for the time in between.
   *
   * @param gatewayCount gateways that share evenly without a lease
   * @param now seconds since the start of the instance
   * @param lastCheckedAt when the holder last called this, in the same seconds
   */
  public double toEvenShares(int gatewayCount, double now, double lastCheckedAt) {
    double evenShares = share * gatewayCount;
    if (now < expiresAt) {
      return evenShares;
    }
    return lastCheckedAt < expiresAt ? Math.min(1, evenShares) : 1;
  }
}
