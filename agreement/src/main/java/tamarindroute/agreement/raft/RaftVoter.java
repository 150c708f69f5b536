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
 * A configured voter. Until it has a group, it bootstraps one together with the other configured
 * voters, or receives the founders of a running group and waits to be admitted. After that it takes
 * part in the Raft consensus of the group, which is implemented by the MicroRaft library. Runs on
 * the event loop.
 */
public final class RaftVoter implements Agreement {

  /**
   * Interval between bootstrap offers, and between checks whether MicroRaft must be restarted. A
   * bootstrap takes a few rounds of offers.
   */
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
   * The view before MicroRaft was last restarted. The restarted node applies the committed log
   * entries again only after a leader has sent it the commit index.
   */
  private MembershipView lastKnownView = MembershipView.initial(0);

  private boolean closed;
  private Optional<String> storeFailure = Optional.empty();

  /**
   * Opens the store and starts the voter.
   *
   * @param medium holds the voter's store
   * @param newIdentity this voter's identity if the store is empty, with an incarnation that was
   *     never used at its address
   * @param configuredVoters addresses of all voters, the same list at each voter
   * @param onStatusChange called with the group's status whenever it has changed
   * @throws IOException if the store is corrupted, belongs to another address or cannot be written
   */
  public static RaftVoter open(
      EventLoop eventLoop,
      VoterTransport transport,
      StorageMedium medium,
      Member newIdentity,
      Collection<Address> configuredVoters,
      Consumer<GroupStatus> onStatusChange)
      throws IOException {
    return new RaftVoter(
        eventLoop,
        transport,
        medium,
        newIdentity,
        configuredVoters,
        onStatusChange,
        QueryPolicy.LINEARIZABLE);
  }

  /** Opens a voter with a given query policy. Tests of the consistency checkers use a weak one. */
  RaftVoter(
      EventLoop eventLoop,
      VoterTransport transport,
      StorageMedium medium,
      Member newIdentity,
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
    this.bootstrap = BootstrapCoordinator.restore(transport, store, newIdentity, configuredVoters);
    this.voterReplacement = new VoterReplacement(bootstrap.self(), bootstrap.configuredVoters());
    if (store.hasGroup()) {
      startRaft();
    }
    runPeriodicTasks();
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

  /**
   * Restarts MicroRaft if it has had no leader for too long, and sends offers while this voter
   * needs to be admitted to a group. Runs every {@link #OFFER_INTERVAL}.
   */
  private void runPeriodicTasks() {
    if (closed) {
      return;
    }
    eventLoop.schedule(this::runPeriodicTasks, OFFER_INTERVAL);
    if (raftAgreement != null && raftAgreement.needsRestart()) {
      restartRaft();
    }
    if (needsAdmission()) {
      bootstrap.sendOffers();
    }
  }

  /**
   * Returns whether this voter has no group yet, or has one in which it is not a voter. False after
   * the voter has stopped.
   */
  private boolean needsAdmission() {
    if (raftAgreement == null) {
      return true;
    }
    return !raftAgreement.hasEnded() && !raftAgreement.status().voters().contains(self());
  }

  /**
   * Handles an encoded message. A message that is malformed or exceeds a limit is ignored.
   *
   * @param from address of the authenticated sender
   */
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

  /** Rejects a view request or a proposal because the group is not established yet. */
  private void rejectWithoutGroup(Address from, DecodedMessage message) {
    if (message instanceof DecodedMessage.ViewRequest request) {
      ViewResponse response = ViewResponse.notLeader(request.requestNumber(), Optional.empty());
      transport.send(from, AgreementMessageCodec.encodeViewReply(response));
    } else if (message instanceof DecodedMessage.Proposal proposal) {
      transport.send(
          from, AgreementMessageCodec.encodeProposalReply(proposal.proposalNumber(), noGroupYet()));
    }
  }

  /**
   * Handles an offer. A voter with a group lets {@link VoterReplacement} admit the sender if
   * needed, and answers a sender without a group with an offer that contains the founders.
   */
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

  /** Returns the failure that this voter stopped after; empty if it has not failed. */
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
