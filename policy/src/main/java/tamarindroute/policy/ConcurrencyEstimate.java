package tamarindroute.policy;

import tamarindroute.decision.Cache;
import tamarindroute.decision.LoadReport;
import tamarindroute.decision.PolicySettings;
import tamarindroute.numeric.DecayingValue;

/**
 * Estimates how many transfers a cache has in flight, from those of this gateway and the cache's
 * own reports.
 */
final class ConcurrencyEstimate {

  /** Seconds over which the own transfers are averaged. */
  private static final double AVERAGING_TIME = 3;

  /** Seconds for which a reported count holds. */
  private static final double REPORT_VALIDITY = 2;

  private static final double NEVER = -1e9;

  private final Cache cache;
  private final PolicySettings settings;
  private final CacheWeight weight;
  private final DecayingValue inFlight = new DecayingValue(AVERAGING_TIME, 0);
  private double reportedByOthers;
  private double reportedAt = NEVER;

  ConcurrencyEstimate(Cache cache, PolicySettings settings, CacheWeight weight) {
    this.cache = cache;
    this.settings = settings;
    this.weight = weight;
  }

  /** Changes the number of own transfers in flight. */
  void changeInFlight(double change, double now) {
    inFlight.shiftRest(change, now);
  }

  void onLoadReport(LoadReport report, double now) {
    if (!Double.isNaN(report.outstandingRequests())) {
      reportedByOthers = Math.max(0, report.outstandingRequests() - inFlight.rest());
      reportedAt = now;
    }
  }

  /**
   * Returns the transfers per unit of size that one more would share the cache with, itself
   * included; 0 for the origin. The other gateways are assumed to send as much as this one does on
   * average, or more if the cache recently reported so.
   */
  double perUnit(double now) {
    int otherGateways = settings.gatewaysSharing(cache.tier) - 1;
    double assumed = otherGateways * inFlight.valueAt(now);
    double reported = now < reportedAt + REPORT_VALIDITY ? reportedByOthers : 0;
    double others = Math.max(assumed, reported);
    return cache.tier == Cache.Tier.ORIGIN ? 0 : (inFlight.rest() + others + 1) / weight.size();
  }
}
