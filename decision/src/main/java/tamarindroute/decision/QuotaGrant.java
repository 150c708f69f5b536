package tamarindroute.decision;

/**
 * A quota grant: a lease on a share of the load that the cold caches of one tier may get. It
 * replaces the even share of each gateway until it expires.
 *
 * @param share share of the load of all gateways, 0 to 1
 * @param expiresAt end of the lease, in seconds since the start of the instance
 */
public record QuotaGrant(double share, double expiresAt) {

  /** No grant: the even share applies. */
  public static final QuotaGrant NONE = new QuotaGrant(0, 0);

  /**
   * Returns the grant as a multiple of the even share; 1 after its end. If the lease has expired
   * since the last check, the smaller of the granted and the even share applies to the time in
   * between.
   *
   * @param gatewayCount number of gateways that share evenly without a lease
   * @param now seconds since the start of the instance
   * @param lastCheckedAt time of the holder's previous call, in seconds since the start of the
   *     instance
   */
  public double toEvenShares(int gatewayCount, double now, double lastCheckedAt) {
    double evenShares = share * gatewayCount;
    if (now < expiresAt) {
      return evenShares;
    }
    return lastCheckedAt < expiresAt ? Math.min(1, evenShares) : 1;
  }
}
