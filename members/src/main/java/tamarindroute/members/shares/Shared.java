package tamarindroute.members.shares;

import java.util.Set;
import tamarindroute.decision.Cache;
import tamarindroute.membership.Address;
import tamarindroute.shares.Bound;

/**
 * One bound and those who share it, told alike to all members: the edges of a location, or the
 * parents.
 *
 * @param number by which members name it to each other
 * @param bound its gateways are as many as the decisions of each are told
 */
public record Shared(int number, Cache.Tier tier, Bound bound, Set<Address> told) {

  public Shared {
    told = Set.copyOf(told);
  }
}
