package tamarindroute.agreement.raft;

import io.microraft.QueryPolicy;
import java.io.IOException;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import tamarindroute.agreement.Agreement;
import tamarindroute.agreement.Command;
import tamarindroute.agreement.MembershipView;
import tamarindroute.agreement.ViewResponse;
import tamarindroute.agreement.store.StorageMedium;
import tamarindroute.agreement.wire.AgreementMessageCodec;
import tamarindroute.agreement.wire.DecodedMessage;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;

/**
 * A configured voter, from its first start on. Bootstraps the group together with the other
 * configured voters, or learns that a group is running and waits to be admitted; from then on takes
 * part in the group's agreement. Runs on the event loop.
 */
public final class RaftVoter implements Agreement {

  /** Period of bootstrap offers, and of the check for a voter without a leader. */
  private static final Duration OFFER_INTERVAL = Duration.ofSeconds(1);

  private final EventLoop eventLoop;
  private final VoterTransport transport;
  private final PersistentRaftStore store;
  private final Consumer<GroupStatus> onStatusChange;
  private final QueryPolicy queryPolicy;
  private final VoterReplacement voterReplacement;
  private final Duration startedAt;
  private final BootstrapCoordinator bootstrap;

  /** Null until the group is established. */
  private RaftAgreement raftAgreement;

  /**
   * The view before MicroRaft was last restarted. The restarted node knows the committed entries
   * again only once it hears from a leader.
   */
  private MembershipView lastKnownView = MembershipView.initial(0);

  private boolean closed;
  private Optional<String> storeFailure = Optional.empty();

  /**
   * Opens the store and starts.
   *
   * @param fresh this voter's identity if the store is empty: an incarnation that was never used at
   *     its address
   * @param configuredVoters addresses of all voters, the same at each of them
   * @param onStatusChange called with the group's status when it has changed
   * @throws IOException if the store is corrupted, belongs to another address or cannot be written
   */
  public static RaftVoter open(
      EventLoop eventLoop,
      VoterTransport transport,
      StorageMedium medium,
      Member fresh,
      Collection<Address> configuredVoters,
      Consumer<GroupStatus> onStatusChange)
      throws IOException {
    return new RaftVoter(
        eventLoop,
        transport,
        medium,
        fresh,
        configuredVoters,
        onStatusChange,
        QueryPolicy.LINEARIZABLE);
  }

  /** Opens a voter with another query policy, for tests of the consistency checker. */
  RaftVoter(
      EventLoop eventLoop,
      VoterTransport transport,
      StorageMedium medium,
      Member fresh,
      Collection<Address> configuredVoters,
      Consumer<GroupStatus> onStatusChange,
      QueryPolicy queryPolicy)
      throws IOException {
    this.eventLoop = eventLoop;
    this.transport = transport;
    this.store = PersistentRaftStore.open(medium);
    this.onStatusChange = onStatusChange;
    this.queryPolicy = queryPolicy;
    this.startedAt = eventLoop.now();
    this.bootstrap = BootstrapCoordinator.restore(transport, store, fresh, configuredVoters);
    this.voterReplacement = new VoterReplacement(bootstrap.self(), bootstrap.configuredVoters());
    if (store.hasGroup()) {
      startRaft();
    }
    tick();
  }

  private void startRaft() throws IOException {
    raftAgreement =
        new RaftAgreement(
            eventLoop,
            transport,
            store,
            bootstrap.self(),
            bootstrap.founders().get(),
            onStatusChange,
            queryPolicy);
  }

  private void restartRaft() {
    lastKnownView = localView();
    GroupStatus previous = raftAgreement.releaseStore();
    try {
      startRaft();
      raftAgreement.continueFrom(previous);
    } catch (IOException notWritable) {
      onStoreFailure(notWritable);
    }
  }

  private void onStoreFailure(IOException failure) {
    storeFailure = Optional.of(failure.toString());
    close();
  }

  private void tick() {
    if (closed) {
      return;
    }
    eventLoop.schedule(this::tick, OFFER_INTERVAL);
    if (raftAgreement != null && raftAgreement.isStuck()) {
      restartRaft();
    }
    if (needsAdmission()) {
      bootstrap.sendOffers();
    }
  }

  /** Returns whether there is no group yet, or it runs without this voter. */
  private boolean needsAdmission() {
    if (raftAgreement == null) {
      return true;
    }
    return !raftAgreement.hasEnded() && !raftAgreement.status().voters().contains(self());
  }

  /** Handles a message from the authenticated sender at this address. */
  public void onMessage(Address from, byte[] message) {
    if (closed) {
      return;
    }
    DecodedMessage decoded = DecodedMessage.decode(message).orElse(null);
    if (decoded instanceof DecodedMessage.BootstrapOffer offer) {
      onOffer(from, offer);
    } else if (raftAgreement != null) {
      raftAgreement.onMessage(from, decoded);
    } else {
      rejectWithoutGroup(from, decoded);
    }
  }

  private void rejectWithoutGroup(Address from, DecodedMessage message) {
    if (message instanceof DecodedMessage.ViewRequest request) {
      ViewResponse response = ViewResponse.notLeader(request.requestNumber(), Optional.empty());
      transport.send(from, AgreementMessageCodec.encodeViewReply(response));
    } else if (message instanceof DecodedMessage.Proposal proposal) {
      transport.send(
          from, AgreementMessageCodec.encodeProposalReply(proposal.proposalNumber(), noGroupYet()));
    }
  }

  private void onOffer(Address from, DecodedMessage.BootstrapOffer offer) {
    if (raftAgreement == null) {
      advanceBootstrap(from, offer);
      return;
    }
    voterReplacement.onOffer(raftAgreement, from, offer.self());
    if (!offer.founded() && !offer.self().equals(self())) {
      bootstrap.sendOffer(from);
    }
  }

  private void advanceBootstrap(Address from, DecodedMessage.BootstrapOffer offer) {
    try {
      bootstrap.onOffer(from, offer);
      if (bootstrap.founders().isPresent()) {
        startRaft();
      }
    } catch (IOException notWritable) {
      onStoreFailure(notWritable);
      onStatusChange.accept(status());
    }
  }

  /** Returns why this voter stopped by itself; empty if it did not. */
  public Optional<String> failure() {
    return raftAgreement == null ? storeFailure : raftAgreement.failure();
  }

  @Override
  public Member self() {
    return bootstrap.self();
  }

  @Override
  public void propose(Command command, Consumer<ProposalResult> onResult) {
    if (raftAgreement == null) {
      onResult.accept(noGroupYet());
    } else {
      raftAgreement.propose(command, onResult);
    }
  }

  private static ProposalResult noGroupYet() {
    return new ProposalResult(
        ProposalStatus.NOT_LEADER, 0, "voter group is not established yet", Optional.empty());
  }

  @Override
  public void read(Consumer<Optional<MembershipView>> onView) {
    if (raftAgreement == null) {
      onView.accept(Optional.empty());
    } else {
      raftAgreement.read(onView);
    }
  }

  @Override
  public MembershipView localView() {
    if (raftAgreement == null) {
      return lastKnownView;
    }
    MembershipView current = raftAgreement.localView();
    return current.number() < lastKnownView.number() ? lastKnownView : current;
  }

  @Override
  public GroupStatus status() {
    return raftAgreement == null
        ? new GroupStatus(false, Optional.empty(), 0, List.of(), false, Optional.of(startedAt))
        : raftAgreement.status();
  }

  @Override
  public long term() {
    return raftAgreement == null ? 0 : raftAgreement.term();
  }

  @Override
  public void changeVoters(Member voter, boolean add, Consumer<ProposalResult> onResult) {
    if (raftAgreement == null) {
      onResult.accept(noGroupYet());
    } else {
      raftAgreement.changeVoters(voter, add, onResult);
    }
  }

  @Override
  public void close() {
    closed = true;
    if (raftAgreement != null) {
      raftAgreement.close();
    } else {
      store.closeQuietly();
    }
  }
}
