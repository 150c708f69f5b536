package tamarindroute.members.shares;

import java.util.Set;
import tamarindroute.decision.Cache;
import tamarindroute.membership.Address;
import tamarindroute.shares.SharedQuota;

/**
 * A shared quota and the gateways that share it; has to be the same at all members.
 *
 * @param number identifies the quota in messages
 * @param tier the caches that the quota limits the use of
 * @param quota its number of gateways is that which the routing policies are configured with
 * @param gateways the addresses of those that share it
 */
public record QuotaDefinition(
    int number, Cache.Tier tier, SharedQuota quota, Set<Address> gateways) {

  /** Copies the gateways. */
  public QuotaDefinition {
    gateways = Set.copyOf(gateways);
  }
}
