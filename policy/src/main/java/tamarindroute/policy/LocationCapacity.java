package tamarindroute.policy;

import tamarindroute.decision.PolicySettings;

/**
 * How many undisturbed transfers the edges of the location, and its link for fills, carry at once.
 */
final class LocationCapacity {

  /** Capacity of a link of unknown rate, as a share of that of the edges. */
  private static final double DEFAULT_LINK_SHARE = 0.45;

  private final PolicySettings settings;
  private final CacheTiers tiers;
  private final AdaptiveConcurrencyLimit limit;

  LocationCapacity(PolicySettings settings, CacheTiers tiers, AdaptiveConcurrencyLimit limit) {
    this.settings = settings;
    this.tiers = tiers;
    this.limit = limit;
  }

  /** Returns the transfers that the ready edges carry. */
  double ofEdges() {
    return limit.limit()
        * tiers.edges().stream().filter(CacheState::isReady).mapToDouble(CacheState::size).sum();
  }

  /** Returns the fills that the link into the location carries. */
  double ofInboundLink() {
    double configured = settings.inboundLinkCapacity();
    return configured > 0 ? configured : DEFAULT_LINK_SHARE * ofEdges();
  }
}
