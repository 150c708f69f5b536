package tamarindroute.agreement;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;

/**
 * Bootstrap of a voter group: how the configured addresses become one group of incarnations.
 *
 * <p>Each voter pledges itself, once and for good, to found the group with the incarnations that it
 * received offers from at all configured addresses. The group is established once all of them have
 * pledged to the same list. An incarnation therefore founds at most one group. A voter that lost
 * its store is a new incarnation and cannot found a second group beside a running one: it learns
 * the founders and waits to be admitted. A pledge must be persisted before it is offered.
 * Immutable.
 *
 * @param configuredVoters addresses of all voters, this one included, in order
 * @param pledgedFounders the founders that this voter has pledged to; empty before its pledge
 * @param receivedOffers the last offer of each other voter
 * @param founders founders of the established group, whether or not this voter is among them
 */
public record Bootstrap(
    Member self,
    List<Address> configuredVoters,
    List<Member> pledgedFounders,
    Map<Address, Offer> receivedOffers,
    Optional<List<Member>> founders) {

  /**
   * What a voter sends to all others until it votes.
   *
   * @param pledgedFounders the sender's pledge, or the founders if the group is established
   * @param founded whether the sender knows the group to be established
   */
  public record Offer(Member self, List<Member> pledgedFounders, boolean founded) {
    /** Copies the founders. */
    public Offer {
      pledgedFounders = List.copyOf(pledgedFounders);
    }
  }

  /** Copies the collections. */
  public Bootstrap {
    configuredVoters = List.copyOf(configuredVoters);
    pledgedFounders = List.copyOf(pledgedFounders);
    receivedOffers = Map.copyOf(receivedOffers);
  }

  /** Restores the state of a voter from its persisted pledge. */
  public static Bootstrap of(
      Member self,
      Collection<Address> configuredVoters,
      List<Member> pledgedFounders,
      boolean founded) {
    return new Bootstrap(
        self,
        configuredVoters.stream().sorted().distinct().toList(),
        pledgedFounders,
        Map.of(),
        founded ? Optional.of(pledgedFounders) : Optional.empty());
  }

  /** Returns this voter's current offer. */
  public Offer offer() {
    return new Offer(self, founders.orElse(pledgedFounders), founders.isPresent());
  }

  /** Returns whether the group is established without this voter. */
  public boolean awaitsAdmission() {
    return founders.isPresent() && !founders.get().contains(self);
  }

  /** Returns the state after an offer from this address. */
  public Bootstrap onOffer(Address from, Offer offer) {
    if (founders.isPresent() || !isFromOtherVoter(from, offer)) {
      return this;
    }
    if (offer.founded()) {
      return canJoin(offer) ? withFounders(offer.pledgedFounders()) : this;
    }
    Map<Address, Offer> offers = new TreeMap<>(receivedOffers);
    offers.put(from, offer);
    return new Bootstrap(self, configuredVoters, pledgedFounders, offers, founders)
        .pledgeIfComplete()
        .establishIfAgreed();
  }

  private boolean isFromOtherVoter(Address from, Offer offer) {
    return !from.equals(self.address())
        && configuredVoters.contains(from)
        && offer.self().address().equals(from);
  }

  /**
   * A voter that pledged to a different list stays out: that group may still be established by
   * voters that this one cannot reach.
   */
  private boolean canJoin(Offer offer) {
    boolean pledgedToSame = offer.pledgedFounders().equals(pledgedFounders);
    boolean unpledgedOutsider =
        pledgedFounders.isEmpty() && !offer.pledgedFounders().contains(self);
    return pledgedToSame || unpledgedOutsider;
  }

  private boolean hasOffersOfAll() {
    return receivedOffers.size() >= configuredVoters.size() - 1;
  }

  /** Pledges to the incarnations seen at all addresses, unless one has pledged to another list. */
  private Bootstrap pledgeIfComplete() {
    if (!pledgedFounders.isEmpty() || !hasOffersOfAll()) {
      return this;
    }
    List<Member> all = configuredVoters.stream().map(this::incarnationAt).toList();
    boolean noOtherPledge =
        receivedOffers.values().stream()
            .map(Offer::pledgedFounders)
            .allMatch(pledge -> pledge.isEmpty() || pledge.equals(all));
    return noOtherPledge
        ? new Bootstrap(self, configuredVoters, all, receivedOffers, founders)
        : this;
  }

  private Member incarnationAt(Address address) {
    return address.equals(self.address()) ? self : receivedOffers.get(address).self();
  }

  /** Establishes the group once all others have made the same pledge. */
  private Bootstrap establishIfAgreed() {
    boolean agreed =
        !pledgedFounders.isEmpty()
            && receivedOffers.size() == configuredVoters.size() - 1
            && receivedOffers.values().stream().allMatch(this::sharesPledge);
    return agreed ? withFounders(pledgedFounders) : this;
  }

  private boolean sharesPledge(Offer offer) {
    return offer.pledgedFounders().equals(pledgedFounders)
        && pledgedFounders.contains(offer.self());
  }

  private Bootstrap withFounders(List<Member> groupFounders) {
    return new Bootstrap(
        self, configuredVoters, pledgedFounders, receivedOffers, Optional.of(groupFounders));
  }
}
