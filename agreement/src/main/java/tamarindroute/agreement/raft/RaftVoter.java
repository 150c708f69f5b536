package tamarindroute.agreement.raft;

import io.microraft.QueryPolicy;
import java.io.IOException;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import tamarindroute.agreement.Agreement;
import tamarindroute.agreement.Bootstrap;
import tamarindroute.agreement.Command;
import tamarindroute.agreement.MembershipView;
import tamarindroute.agreement.ViewResponse;
import tamarindroute.agreement.store.StorageMedium;
import tamarindroute.agreement.wire.AgreementMessageCodec;
import tamarindroute.agreement.wire.DecodedMessage;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;

/**
 * A told voter, from its first start on: founds with the others, or learns that a group runs and
 * waits to be taken in; from then on the group's agreement. A leader puts in the place of a voter
 * whoever speaks from its address as a later life: the former one's memory is gone, or it would
 * have spoken itself.
 */
public final class RaftVoter implements Agreement {

  /** Between two offers; a founding takes a few of them. */
  private static final Duration OFFER_INTERVAL = Duration.ofSeconds(1);

  private final EventLoop eventLoop;
  private final VoterTransport transport;
  private final PersistentRaftStore store;
  private final Consumer<GroupStatus> onStatusChange;
  private final QueryPolicy queryPolicy;
  private final Duration startedAt;
  private Bootstrap bootstrap;
  private RaftAgreement raftAgreement;

  /**
   * As far as was known when the library was begun anew; it learns again what is agreed only from a
   * leader.
   */
  private MembershipView lastKnownView = MembershipView.initial(0);

  private boolean replacementInProgress;
  private boolean closed;
  private Optional<String> ownFailure = Optional.empty();

  /**
   * Opens the store and starts.
   *
   * @param fresh who this is if the store is empty: a birth that was never used at this address
   * @param configuredVoters the addresses of all voters, told alike to all of them
   * @param onStatusChange told what this voter knows of its group, when it changes
   * @throws IOException the store is damaged, of another address, or can't be written
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

  /** A test hands in another way of reading, to see that its checker finds it. */
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
    if (store.pledgedSelf().isEmpty()) {
      store.pledge(fresh, List.of());
    }
    Member self = store.pledgedSelf().get();
    if (!self.address().equals(fresh.address())) {
      store.close();
      throw new IOException("the store is " + self + "'s, not of " + fresh.address());
    }
    this.bootstrap =
        Bootstrap.of(self, configuredVoters, store.pledgedFounders(), store.hasGroup());
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

  /** The library anew, from the store. */
  private void restartRaft() {
    lastKnownView = localView();
    GroupStatus before = raftAgreement.releaseStore();
    try {
      startRaft();
      raftAgreement.continueFrom(before);
    } catch (IOException unwritten) {
      ownFailure = Optional.of(unwritten.toString());
      close();
    }
  }

  private void tick() {
    if (closed) {
      return;
    }
    eventLoop.schedule(this::tick, OFFER_INTERVAL);
    if (raftAgreement != null && raftAgreement.isStuck()) {
      restartRaft();
    }
    if (raftAgreement == null
        || !raftAgreement.hasEnded() && !raftAgreement.status().voters().contains(self())) {
      bootstrap.configuredVoters().stream()
          .filter(one -> !one.equals(self().address()))
          .forEach(this::sendOffer);
    }
  }

  private void sendOffer(Address to) {
    Bootstrap.Offer offer = bootstrap.offer();
    transport.send(
        to,
        AgreementMessageCodec.encodeOffer(offer.self(), offer.pledgedFounders(), offer.founded()));
  }

  /** A message has come; this address is that of whoever sealed it. */
  public void onMessage(Address from, byte[] message) {
    if (closed) {
      return;
    }
    DecodedMessage decoded = DecodedMessage.decode(message).orElse(null);
    if (decoded instanceof DecodedMessage.BootstrapOffer offered) {
      onOffer(from, offered);
    } else if (raftAgreement != null) {
      raftAgreement.onMessage(from, decoded);
    } else if (decoded instanceof DecodedMessage.ViewRequest ask) {
      transport.send(
          from,
          AgreementMessageCodec.encodeViewReply(
              ViewResponse.notLeader(ask.requestNumber(), Optional.empty())));
    } else if (decoded instanceof DecodedMessage.Proposal proposal) {
      transport.send(
          from, AgreementMessageCodec.encodeProposalReply(proposal.proposalNumber(), noGroupYet()));
    }
  }

  private void onOffer(Address from, DecodedMessage.BootstrapOffer it) {
    if (raftAgreement != null) {
      replaceVoter(from, it.self());
      if (!it.founded() && !it.self().equals(self())) {
        sendOffer(from);
      }
      return;
    }
    Bootstrap next =
        bootstrap.receivedOffers(
            from, new Bootstrap.Offer(it.self(), it.pledgedFounders(), it.founded()));
    try {
      if (!next.pledgedFounders().equals(bootstrap.pledgedFounders())) {
        store.pledge(self(), next.pledgedFounders());
      }
      bootstrap = next;
      if (bootstrap.founders().isPresent()) {
        if (bootstrap.awaitsAdmission()) {
          store.pledge(self(), bootstrap.founders().get());
        }
        startRaft();
      }
    } catch (IOException unwritten) {
      ownFailure = Optional.of(unwritten.toString());
      close();
      onStatusChange.accept(status());
    }
  }

  /** One change at a time: first out with whose memory is gone, then in with its successor. */
  private void replaceVoter(Address from, Member successor) {
    boolean known = raftAgreement.status().voters().contains(successor);
    boolean configuredVoters =
        bootstrap.configuredVoters().contains(from) && successor.address().equals(from);
    if (replacementInProgress
        || known
        || !configuredVoters
        || !raftAgreement.status().isLeader()
        || successor.equals(self())) {
      return;
    }
    Optional<Member> former =
        raftAgreement.status().voters().stream()
            .filter(one -> one.address().equals(from))
            .findFirst();
    if (former.isPresent() && former.get().incarnation() > successor.incarnation()) {
      return;
    }
    replacementInProgress = true;
    raftAgreement.changeVoters(
        former.orElse(successor), former.isEmpty(), done -> replacementInProgress = false);
  }

  /** Why it stopped by itself, for operators: the store can't be written, or the library failed. */
  public Optional<String> failure() {
    return raftAgreement == null ? ownFailure : raftAgreement.failure();
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
    return new ProposalResult(ProposalStatus.NOT_LEADER, 0, "no group yet", Optional.empty());
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
    return raftAgreement == null || raftAgreement.localView().number() < lastKnownView.number()
        ? lastKnownView
        : raftAgreement.localView();
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
