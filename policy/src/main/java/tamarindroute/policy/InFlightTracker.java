package tamarindroute.policy;

import tamarindroute.decision.Attempt;
import tamarindroute.decision.Cache;
import tamarindroute.decision.PolicySettings;
import tamarindroute.numeric.DecayingValue;

/** Counts the attempts in flight, per cache and, for fills, in the location. */
final class InFlightTracker {

  /** Seconds over which the own fills are averaged. */
  private static final double AVERAGING_TIME = 3;

  /** A fill takes about half the capacity of a hit at its cache, since it waits before it sends. */
  private static final double FILL_WEIGHT = 0.5;

  private final PolicySettings settings;
  private final CacheTiers tiers;
  private final DecayingValue fills = new DecayingValue(AVERAGING_TIME, 0);

  InFlightTracker(PolicySettings settings, CacheTiers tiers) {
    this.settings = settings;
    this.tiers = tiers;
  }

  void onSent(Attempt attempt, double now) {
    count(attempt, 1, now);
  }

  void onEnded(Attempt attempt, double now) {
    count(attempt, -1, now);
  }

  private void count(Attempt attempt, int change, double now) {
    boolean lookup = isCacheLookup(attempt);
    tiers
        .get(attempt.cache)
        .concurrency()
        .changeInFlight(lookup ? change : FILL_WEIGHT * change, now);
    fills.shiftRest(lookup ? 0 : change, now);
  }

  /** Whether the attempt takes what an edge holds, and fetches nothing from above. */
  private static boolean isCacheLookup(Attempt attempt) {
    return attempt.cache.tier == Cache.Tier.EDGE
        && (attempt.source == attempt.cache || attempt.onlyIfCached);
  }

  /** Estimates the fills of all gateways in the location, and one more. */
  double locationFills(double now) {
    return fills.rest() + (settings.zoneGatewayCount() - 1) * fills.valueAt(now) + 1;
  }
}
