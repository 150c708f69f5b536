package tamarindroute.agreement;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;

/**
 * State of one voter during the bootstrap of a voter group. The bootstrap determines which
 * incarnation at each configured address is a founder, that is, a first voter of the group.
 *
 * <p>Once a voter has received an offer from every other configured address, it pledges to a list
 * of founders: itself and the incarnations that sent the offers. A pledge is never changed. The
 * group is established once all founders have pledged to the same list. An incarnation therefore
 * founds at most one group. A voter that lost its store is a new incarnation and cannot found a
 * second group beside a running one: the new incarnation receives the founders of the running group
 * and waits to be admitted. The caller must persist a pledge before sending it in an offer.
 * Immutable.
 *
 * @param self identity of this voter
 * @param configuredVoters addresses of all voters, including this voter, in ascending order
 * @param pledgedFounders the founders that this voter has pledged to; empty before its pledge
 * @param receivedOffers the last offer of each other voter, by the voter's address
 * @param founders founders of the established group, whether or not this voter is among them; empty
 *     before the group is established
 */
public record Bootstrap(
    Member self,
    List<Address> configuredVoters,
    List<Member> pledgedFounders,
    Map<Address, Offer> receivedOffers,
    Optional<List<Member>> founders) {

  /**
   * Message that a voter sends to all other configured voters until it is a voter of the group.
   *
   * @param self identity of the sender
   * @param pledgedFounders the sender's pledge, or the founders if the group is established; empty
   *     before the sender's pledge
   * @param founded whether the group is established, as far as the sender has observed
   */
  public record Offer(Member self, List<Member> pledgedFounders, boolean founded) {
    /** Creates an offer with a copy of the founders. */
    public Offer {
      pledgedFounders = List.copyOf(pledgedFounders);
    }
  }

  /** Creates a state with copies of the collections. */
  public Bootstrap {
    configuredVoters = List.copyOf(configuredVoters);
    pledgedFounders = List.copyOf(pledgedFounders);
    receivedOffers = Map.copyOf(receivedOffers);
  }

  /**
   * Restores the state of a voter from its persisted pledge.
   *
   * @param configuredVoters addresses of all voters, in any order
   * @param pledgedFounders the persisted pledge; empty if there is none
   * @param founded whether the pledged founders have established the group
   */
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

  /** Returns whether the group is established and this voter is not one of its founders. */
  public boolean awaitsAdmission() {
    return founders.isPresent() && !founders.get().contains(self);
  }

  /**
   * Returns the state after receiving an offer. Offers from an address that is not another
   * configured voter's, or that name a sender at another address, are ignored.
   *
   * @param from authenticated address of the sender
   */
  public Bootstrap onOffer(Address from, Offer offer) {
    if (founders.isPresent() || !isFromOtherVoter(from, offer)) {
      return this;
    }
    if (offer.founded()) {
      return acceptsGroup(offer) ? withFounders(offer.pledgedFounders()) : this;
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
   * Returns whether this voter accepts the offered group as the established one. A voter accepts
   * the group of the list to which it has pledged. A voter without a pledge accepts a group of
   * which it is not a founder, and waits to be admitted. A voter that has pledged to another list
   * rejects the group: the group of that other list may still be established by voters that this
   * voter cannot reach.
   */
  private boolean acceptsGroup(Offer offer) {
    boolean pledgedToSame = offer.pledgedFounders().equals(pledgedFounders);
    boolean unpledgedOutsider =
        pledgedFounders.isEmpty() && !offer.pledgedFounders().contains(self);
    return pledgedToSame || unpledgedOutsider;
  }

  private boolean hasOffersOfAll() {
    return receivedOffers.size() >= configuredVoters.size() - 1;
  }

  /**
   * Pledges to this voter and the incarnations that sent the offers, once there is an offer from
   * every other configured address and no sender has pledged to a different list.
   */
  private Bootstrap pledgeIfComplete() {
    if (!pledgedFounders.isEmpty() || !hasOffersOfAll()) {
      return this;
    }
    List<Member> offeredFounders = configuredVoters.stream().map(this::incarnationAt).toList();
    boolean noOtherPledge =
        receivedOffers.values().stream()
            .map(Offer::pledgedFounders)
            .allMatch(pledge -> pledge.isEmpty() || pledge.equals(offeredFounders));
    return noOtherPledge
        ? new Bootstrap(self, configuredVoters, offeredFounders, receivedOffers, founders)
        : this;
  }

  private Member incarnationAt(Address address) {
    return address.equals(self.address()) ? self : receivedOffers.get(address).self();
  }

  /** Establishes the group once all other voters have made the same pledge as this voter. */
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
