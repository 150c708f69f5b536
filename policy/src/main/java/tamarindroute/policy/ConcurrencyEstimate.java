package tamarindroute.policy;

import tamarindroute.decision.Cache;
import tamarindroute.decision.LoadReport;
import tamarindroute.decision.PolicySettings;
import tamarindroute.numeric.DecayingValue;

/**
 * Estimates the number of transfers in flight at one cache, from the transfers of this gateway and
 * the load reports of the cache.
 */
final class ConcurrencyEstimate {

  /**
   * Time constant of the mean of this gateway's transfers: 3 s average over some tens of requests.
   */
  private static final double AVERAGING_SECONDS = 3;

  /** Time for which a reported count is used. */
  private static final double REPORT_VALIDITY_SECONDS = 2;

  /** A time before any report, in seconds since the start of the instance. */
  private static final double NEVER = -1e9;

  private final Cache cache;
  private final PolicySettings settings;
  private final CacheWeight weight;
  private final DecayingValue inFlight = new DecayingValue(AVERAGING_SECONDS, 0);

  /** The reported count less this gateway's own transfers. */
  private double reportedTransfersOfOthers;

  private double reportedAt = NEVER;

  ConcurrencyEstimate(Cache cache, PolicySettings settings, CacheWeight weight) {
    this.cache = cache;
    this.settings = settings;
    this.weight = weight;
  }

  /**
   * Changes the number of transfers that this gateway has in flight at the cache.
   *
   * @param change transfers started, or ended if negative. A fill counts as a fraction of a
   *     transfer
   */
  void changeInFlight(double change, double now) {
    inFlight.shiftRest(change, now);
  }

  /** Records the number of requests in flight at the cache, if it is reported. */
  void onLoadReport(LoadReport report, double now) {
    if (!Double.isNaN(report.outstandingRequests())) {
      reportedTransfersOfOthers = Math.max(0, report.outstandingRequests() - inFlight.rest());
      reportedAt = now;
    }
  }

  /**
   * Returns the number of transfers per unit of size, including one that would be started now; 0
   * for the origin. Each other gateway is assumed to have as many in flight as this one has on
   * average. A higher number in a recent load report replaces that assumption.
   */
  double perUnit(double now) {
    int otherGateways = settings.gatewaysSharing(cache.tier) - 1;
    double assumed = otherGateways * inFlight.valueAt(now);
    double reported = now < reportedAt + REPORT_VALIDITY_SECONDS ? reportedTransfersOfOthers : 0;
    double others = Math.max(assumed, reported);
    return cache.tier == Cache.Tier.ORIGIN ? 0 : (inFlight.rest() + others + 1) / weight.size();
  }
}
