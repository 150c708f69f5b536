package tamarindroute.policy;

import java.util.EnumMap;
import java.util.Map;
import tamarindroute.decision.Cache;
import tamarindroute.decision.QuotaGrant;

/** The latest quota grant of each tier. */
final class QuotaGrants {

  private final Map<Cache.Tier, QuotaGrant> byTier = new EnumMap<>(Cache.Tier.class);

  /** Replaces the grant of the tier. */
  void put(Cache.Tier tier, QuotaGrant grant) {
    byTier.put(tier, grant);
  }

  /**
   * Returns the latest grant of the tier, which may have expired; {@link QuotaGrant#NONE} if there
   * was none.
   */
  QuotaGrant get(Cache.Tier tier) {
    return byTier.getOrDefault(tier, QuotaGrant.NONE);
  }
}
