package tamarindroute.policy;

import tamarindroute.decision.PolicySettings;

/**
 * The number of transfers that the edges of the location, and its link for fills, carry at once
 * without slowing each other down.
 */
final class LocationCapacity {

  /**
   * Capacity of the link as a share of the capacity of the edges, used if the rate of the link is
   * unknown.
   */
  private static final double DEFAULT_LINK_SHARE = 0.45;

  private final PolicySettings settings;
  private final CacheTiers tiers;
  private final AdaptiveConcurrencyLimit limit;

  LocationCapacity(PolicySettings settings, CacheTiers tiers, AdaptiveConcurrencyLimit limit) {
    this.settings = settings;
    this.tiers = tiers;
    this.limit = limit;
  }

  /** Returns the number of transfers that the ready edges carry. */
  double ofEdges() {
    return limit.limit()
        * tiers.edges().stream().filter(CacheState::isReady).mapToDouble(CacheState::size).sum();
  }

  /** Returns the number of fills that the link into the location carries. */
  double ofInboundLink() {
    double configured = settings.inboundLinkCapacity();
    return configured > 0 ? configured : DEFAULT_LINK_SHARE * ofEdges();
  }
}
