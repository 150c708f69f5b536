package tamarindroute.members.shares;

import java.util.Set;
import tamarindroute.decision.Cache;
import tamarindroute.membership.Address;
import tamarindroute.shares.SharedQuota;

/**
 * One bound and those who share it, told alike to all members: the edges of a location, or the
 * parents.
 *
 * @param number by which members name it to each other
 * @param quota its gateways are as many as the decisions of each are told
 */
public record QuotaDefinition(
    int number, Cache.Tier tier, SharedQuota quota, Set<Address> gateways) {

  public QuotaDefinition {
    gateways = Set.copyOf(gateways);
  }
}
