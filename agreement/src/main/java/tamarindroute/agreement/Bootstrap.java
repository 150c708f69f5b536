package tamarindroute.agreement;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;

/**
 * Owns how told addresses become a group of lives: each voter binds itself, once and for good, to
 * the lives that it has heard from all told addresses, and the group runs once all of them are
 * bound to the same. So a life founds with one group only, and one that lost its memory, being
 * another life, can't found beside a group that runs: it learns the group's founders and waits
 * outside to be taken in. Who is bound must have been kept before it is told. Immutable.
 *
 * @param configuredVoters all addresses that vote, this one among them
 * @param pledgedFounders whom this one is bound to found with; empty: nobody yet
 * @param receivedOffers the others' last offers, by address
 * @param founders of the group that runs, whether this one is among them or not
 */
public record Bootstrap(
    Member self,
    List<Address> configuredVoters,
    List<Member> pledgedFounders,
    Map<Address, Offer> receivedOffers,
    Optional<List<Member>> founders) {

  /** What one says to all others, again and again until it votes. */
  public record Offer(Member self, List<Member> pledgedFounders, boolean founded) {
    public Offer {
      pledgedFounders = List.copyOf(pledgedFounders);
    }
  }

  public Bootstrap {
    configuredVoters = List.copyOf(configuredVoters);
    pledgedFounders = List.copyOf(pledgedFounders);
    receivedOffers = Map.copyOf(receivedOffers);
  }

  /** As kept: not bound, bound, or of a group that runs. */
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

  public Offer offer() {
    return new Offer(self, founders.orElse(pledgedFounders), founders.isPresent());
  }

  /** Outside a group that runs, waiting to be taken in. */
  public boolean awaitsAdmission() {
    return founders.isPresent() && !founders.get().contains(self);
  }

  public Bootstrap receivedOffers(Address from, Offer offer) {
    if (founders.isPresent()
        || from.equals(self.address())
        || !configuredVoters.contains(from)
        || !offer.self().address().equals(from)) {
      return this;
    }
    if (offer.founded()) {
      // Bound to others that never ran, it stays: what it is bound to may run yet at whom it does
      // not hear.
      boolean joins =
          offer.pledgedFounders().equals(pledgedFounders)
              || pledgedFounders.isEmpty() && !offer.pledgedFounders().contains(self);
      return joins
          ? new Bootstrap(
              self,
              configuredVoters,
              pledgedFounders,
              receivedOffers,
              Optional.of(offer.pledgedFounders()))
          : this;
    }
    Map<Address, Offer> updatedOffers = new TreeMap<>(receivedOffers);
    updatedOffers.put(from, offer);
    return new Bootstrap(self, configuredVoters, pledgedFounders, updatedOffers, founders)
        .pledge()
        .establish();
  }

  /** All have spoken, and none is bound to another list than the one that all of them make. */
  private Bootstrap pledge() {
    if (!pledgedFounders.isEmpty() || receivedOffers.size() < configuredVoters.size() - 1) {
      return this;
    }
    List<Member> all =
        configuredVoters.stream()
            .map(one -> one.equals(self.address()) ? self : receivedOffers.get(one).self())
            .toList();
    boolean free =
        receivedOffers.values().stream()
            .allMatch(one -> one.pledgedFounders().isEmpty() || one.pledgedFounders().equals(all));
    return free ? new Bootstrap(self, configuredVoters, all, receivedOffers, founders) : this;
  }

  private Bootstrap establish() {
    boolean all =
        !pledgedFounders.isEmpty()
            && receivedOffers.size() == configuredVoters.size() - 1
            && receivedOffers.values().stream()
                .allMatch(
                    one ->
                        one.pledgedFounders().equals(pledgedFounders)
                            && pledgedFounders.contains(one.self()));
    return all
        ? new Bootstrap(
            self, configuredVoters, pledgedFounders, receivedOffers, Optional.of(pledgedFounders))
        : this;
  }
}
