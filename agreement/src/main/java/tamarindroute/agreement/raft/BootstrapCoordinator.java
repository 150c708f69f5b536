package tamarindroute.agreement.raft;

import java.io.IOException;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import tamarindroute.agreement.Bootstrap;
import tamarindroute.agreement.wire.AgreementMessageCodec;
import tamarindroute.agreement.wire.DecodedMessage;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;

/** A voter's {@link Bootstrap}, with its pledge kept in the store, and the offers that it sends. */
final class BootstrapCoordinator {

  private final VoterTransport transport;
  private final PersistentRaftStore store;
  private Bootstrap bootstrap;

  private BootstrapCoordinator(
      VoterTransport transport, PersistentRaftStore store, Bootstrap bootstrap) {
    this.transport = transport;
    this.store = store;
    this.bootstrap = bootstrap;
  }

  /**
   * Restores the bootstrap from the store.
   *
   * @param fresh this voter's identity if the store is new
   * @throws IOException if the store belongs to another address, in which case it is closed, or
   *     cannot be written
   */
  static BootstrapCoordinator restore(
      VoterTransport transport,
      PersistentRaftStore store,
      Member fresh,
      Collection<Address> configuredVoters)
      throws IOException {
    if (store.pledgedSelf().isEmpty()) {
      store.pledge(fresh, List.of());
    }
    Member self = store.pledgedSelf().get();
    if (!self.address().equals(fresh.address())) {
      store.close();
      throw new IOException("store belongs to " + self + ", not to " + fresh.address());
    }
    Bootstrap restored =
        Bootstrap.of(self, configuredVoters, store.pledgedFounders(), store.hasGroup());
    return new BootstrapCoordinator(transport, store, restored);
  }

  Member self() {
    return bootstrap.self();
  }

  List<Address> configuredVoters() {
    return bootstrap.configuredVoters();
  }

  /** Returns the founders of the established group; empty until there is one. */
  Optional<List<Member>> founders() {
    return bootstrap.founders();
  }

  /** Sends the current offer to all other configured voters. */
  void sendOffers() {
    for (Address voter : bootstrap.configuredVoters()) {
      if (!voter.equals(self().address())) {
        sendOffer(voter);
      }
    }
  }

  void sendOffer(Address to) {
    Bootstrap.Offer offer = bootstrap.offer();
    transport.send(
        to,
        AgreementMessageCodec.encodeOffer(offer.self(), offer.pledgedFounders(), offer.founded()));
  }

  /** Handles an offer. A pledge that follows from it is recorded before it is offered. */
  void onOffer(Address from, DecodedMessage.BootstrapOffer message) throws IOException {
    Bootstrap.Offer offer =
        new Bootstrap.Offer(message.self(), message.pledgedFounders(), message.founded());
    Bootstrap next = bootstrap.onOffer(from, offer);
    if (!next.pledgedFounders().equals(bootstrap.pledgedFounders())) {
      store.pledge(self(), next.pledgedFounders());
    }
    bootstrap = next;
    if (bootstrap.awaitsAdmission()) {
      store.pledge(self(), bootstrap.founders().get());
    }
  }
}
