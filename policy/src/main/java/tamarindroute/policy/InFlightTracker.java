package tamarindroute.policy;

import tamarindroute.decision.Attempt;
import tamarindroute.decision.Cache;
import tamarindroute.decision.PolicySettings;
import tamarindroute.numeric.DecayingValue;

/**
 * Counts the attempts of this gateway in flight per cache, and its fills in flight in the location.
 */
final class InFlightTracker {

  /** Time constant of the mean of this gateway's fills: 3 s average over some tens of requests. */
  private static final double AVERAGING_SECONDS = 3;

  /**
   * Weight of a fill in the transfers of its cache. A fill takes about half the capacity of a hit,
   * since it waits for its source before it sends.
   */
  private static final double FILL_WEIGHT = 0.5;

  private final PolicySettings settings;
  private final CacheTiers tiers;
  private final DecayingValue fills = new DecayingValue(AVERAGING_SECONDS, 0);

  InFlightTracker(PolicySettings settings, CacheTiers tiers) {
    this.settings = settings;
    this.tiers = tiers;
  }

  /** Counts an attempt as in flight. */
  void onSent(Attempt attempt, double now) {
    count(attempt, 1, now);
  }

  /** Stops counting an attempt that was counted as in flight. */
  void onEnded(Attempt attempt, double now) {
    count(attempt, -1, now);
  }

  private void count(Attempt attempt, int change, double now) {
    boolean copiesOnly = readsCopiesOnly(attempt);
    tiers
        .get(attempt.cache)
        .concurrency()
        .changeInFlight(copiesOnly ? change : FILL_WEIGHT * change, now);
    fills.shiftRest(copiesOnly ? 0 : change, now);
  }

  /**
   * Whether the attempt is sent to an edge and reads only copies that caches hold, without a fill
   * from the origin. Only such an attempt counts with its full weight at the cache.
   */
  private static boolean readsCopiesOnly(Attempt attempt) {
    return attempt.cache.tier == Cache.Tier.EDGE
        && (attempt.source == attempt.cache || attempt.onlyIfCached);
  }

  /**
   * Returns the estimated fills of all gateways in the location, including one that would be
   * started now. Each other gateway is assumed to have as many in flight as this one has on
   * average.
   */
  double locationFills(double now) {
    return fills.rest() + (settings.zoneGatewayCount() - 1) * fills.valueAt(now) + 1;
  }
}
