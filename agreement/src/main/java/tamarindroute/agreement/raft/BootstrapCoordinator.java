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

/**
 * Runs the bootstrap of one voter: sends and receives offers, and persists the voter's pledge
 * before it is sent.
 */
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
   * Restores the bootstrap state from the store.
   *
   * @param newIdentity this voter's identity if the store is new
   * @throws IOException if the store belongs to another address, in which case the store is closed,
   *     or cannot be written
   */
  static BootstrapCoordinator restore(
      VoterTransport transport,
      PersistentRaftStore store,
      Member newIdentity,
      Collection<Address> configuredVoters)
      throws IOException {
    if (store.pledgedSelf().isEmpty()) {
      store.pledge(newIdentity, List.of());
    }
    Member self = store.pledgedSelf().get();
    if (!self.address().equals(newIdentity.address())) {
      store.close();
      throw new IOException(
          "store belongs to " + self + ", expected address " + newIdentity.address());
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

  /** Returns the founders of the established group; empty if no group is established yet. */
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

  /**
   * Handles an offer. A pledge or the founders of an established group that follow from the offer
   * are persisted before this voter sends its next offer.
   */
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
