package tamarindroute.agreement.raft;

import io.microraft.QueryPolicy;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.RaftNodeStatus;
import io.microraft.model.message.RaftMessage;
import io.microraft.report.RaftNodeReport;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import tamarindroute.agreement.Agreement;
import tamarindroute.agreement.Command;
import tamarindroute.agreement.MembershipView;
import tamarindroute.agreement.wire.AgreementMessageCodec;
import tamarindroute.agreement.wire.DecodedMessage;
import tamarindroute.agreement.wire.InvalidMessageException;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;

/** A voter of an established group, over MicroRaft. Runs on the event loop. */
final class RaftAgreement implements Agreement {

  /**
   * A voter without a leader for so long restarts MicroRaft from the store, as after a crash.
   * Version 0.7 never stands for election again once a pre-vote was overtaken by the leader's
   * return, and two such voters would remain leaderless.
   */
  private static final Duration LEADERLESS_RESTART_TIMEOUT = Duration.ofSeconds(10);

  /** Between two looks at the node's report. */
  private static final Duration REPORT_PERIOD = RaftSettings.HEARTBEAT_PERIOD;

  private final EventLoop eventLoop;
  private final VoterTransport transport;
  private final PersistentRaftStore store;
  private final Member self;
  private final long groupId;
  private final Consumer<GroupStatus> onStatusChange;
  private final ViewStateMachine stateMachine;
  private final RaftNode raftNode;
  private final RaftOperations operations;
  private final ReadIndexService readIndexService;
  private final GroupStatusMonitor statusMonitor;
  private boolean closed;
  private boolean voterUpdateInProgress;
  private Optional<String> taskFailure = Optional.empty();

  /**
   * Continues from the store, or begins the group if the store has none.
   *
   * @param fresh this voter's identity if the store has no group
   * @param queryPolicy how reads are confirmed
   */
  @SuppressWarnings("FutureReturnValueIgnored") // Starts by a task of the event loop.
  RaftAgreement(
      EventLoop eventLoop,
      VoterTransport transport,
      PersistentRaftStore store,
      Member fresh,
      List<Member> founders,
      Consumer<GroupStatus> onStatusChange,
      QueryPolicy queryPolicy)
      throws IOException {
    this.eventLoop = eventLoop;
    this.transport = transport;
    this.store = store;
    this.onStatusChange = onStatusChange;
    this.self = store.self().orElse(fresh);
    this.groupId = GroupId.of(founders);
    this.stateMachine = new ViewStateMachine(groupId);
    this.statusMonitor = new GroupStatusMonitor(eventLoop, self);
    this.raftNode = buildNode(founders);
    this.operations = new RaftOperations(eventLoop, raftNode, stateMachine, self, queryPolicy);
    this.readIndexService = new ReadIndexService(operations, self, stateMachine, transport);
    raftNode.start();
    eventLoop.schedule(this::tick, REPORT_PERIOD);
  }

  private RaftNode buildNode(List<Member> founders) throws IOException {
    RaftNode.RaftNodeBuilder builder =
        RaftNode.newBuilder()
            .setGroupId(groupId)
            .setConfig(RaftSettings.config())
            .setTransport(new EnvelopeTransport(groupId, transport, () -> !hasEnded()))
            .setExecutor(new EventLoopExecutor(eventLoop, () -> !hasEnded(), this::onTaskFailure))
            .setStateMachine(stateMachine)
            .setStore(store)
            .setClock(new EventLoopClock(eventLoop))
            .setRandom(new DeterministicRandom(self.hashCode()))
            .setModelFactory(RaftModelCodec.MODEL_FACTORY);
    if (store.hasGroup()) {
      builder.setRestoredState(store.restoredState());
    } else {
      store.beginGroup(groupId);
      List<RaftEndpoint> endpoints = new ArrayList<>();
      founders.forEach(founder -> endpoints.add(new VoterEndpoint(founder)));
      builder.setLocalEndpoint(new VoterEndpoint(self)).setInitialGroupMembers(endpoints);
    }
    return builder.build();
  }

  /** Takes over the status of an agreement that was restarted. */
  void continueFrom(GroupStatus previous) {
    statusMonitor.continueFrom(previous);
  }

  /** Handles a message from the authenticated sender at this address. */
  void onMessage(Address from, DecodedMessage message) {
    if (closed) {
      return;
    }
    if (message instanceof DecodedMessage.RaftEnvelope envelope) {
      onRaftEnvelope(from, envelope);
    } else if (message instanceof DecodedMessage.ViewRequest request) {
      readIndexService.onViewRequest(from, request);
    } else if (message instanceof DecodedMessage.Proposal proposal) {
      propose(
          proposal.command(),
          result ->
              transport.send(
                  from,
                  AgreementMessageCodec.encodeProposalReply(proposal.proposalNumber(), result)));
    }
  }

  /** Drops messages for another group or incarnation, and those not sent by their author. */
  private void onRaftEnvelope(Address from, DecodedMessage.RaftEnvelope envelope) {
    if (envelope.groupId() != groupId || !envelope.recipient().equals(self)) {
      return;
    }
    RaftMessage message;
    try {
      message = RaftMessageDecoder.fromProto(groupId, envelope.message());
    } catch (InvalidMessageException malformed) {
      return;
    }
    if (VoterEndpoint.memberOf(message.getSender()).address().equals(from)) {
      raftNode.handle(message);
    }
  }

  @Override
  public Member self() {
    return self;
  }

  @Override
  public void propose(Command command, Consumer<ProposalResult> onResult) {
    operations.propose(command, onResult);
  }

  @Override
  public void read(Consumer<Optional<MembershipView>> onView) {
    operations.read(onView);
  }

  @Override
  public MembershipView localView() {
    return stateMachine.view();
  }

  @Override
  public GroupStatus status() {
    return statusMonitor.status();
  }

  @Override
  public long term() {
    return raftNode.getTerm().getTerm();
  }

  @Override
  public void changeVoters(Member voter, boolean add, Consumer<ProposalResult> onResult) {
    operations.changeVoters(voter, add, onResult);
  }

  @SuppressWarnings("FutureReturnValueIgnored") // Completes on the event loop.
  private void tick() {
    if (closed) {
      return;
    }
    if (hasEnded()) {
      statusMonitor.onStopped(raftNode.getCommittedMembers());
      close();
      onStatusChange.accept(status());
      return;
    }
    eventLoop.schedule(this::tick, REPORT_PERIOD);
    raftNode
        .getReport()
        .whenComplete(
            (report, failure) -> {
              if (failure == null && !closed) {
                onReport(report.getResult());
              }
            });
  }

  private void onReport(RaftNodeReport report) {
    if (statusMonitor.update(report, operations.leader())) {
      onStatusChange.accept(status());
    }
    publishVoters();
  }

  /** As leader, records the group's voters in the view whenever they have changed. */
  private void publishVoters() {
    List<Member> voters = status().voters();
    boolean outdated = !voters.equals(localView().voters());
    if (status().isLeader() && outdated && !voterUpdateInProgress) {
      voterUpdateInProgress = true;
      propose(
          new Command.SetVoters(localView().number(), voters),
          result -> voterUpdateInProgress = false);
    }
  }

  /** Returns whether this voter was closed, removed from the group, or has failed. */
  boolean hasEnded() {
    return closed
        || taskFailure.isPresent()
        || store.hasFailed()
        || (raftNode != null && raftNode.getStatus() == RaftNodeStatus.TERMINATED);
  }

  /** Returns whether the voter should be restarted because no leader is found. */
  boolean isStuck() {
    return !hasEnded() && statusMonitor.isLeaderlessFor(LEADERLESS_RESTART_TIMEOUT);
  }

  /**
   * Stops this voter but leaves its store open. Pending proposals end as unknown.
   *
   * @return the last status
   */
  GroupStatus releaseStore() {
    closed = true;
    return status();
  }

  /** A task that threw may have left the node inconsistent, so no further task is run. */
  private void onTaskFailure(RuntimeException failure) {
    taskFailure = Optional.of(failure.toString());
  }

  /** Returns why this voter stopped by itself; empty if it did not. */
  Optional<String> failure() {
    return store.hasFailed() ? Optional.of("store is not writable") : taskFailure;
  }

  @Override
  public void close() {
    closed = true;
    store.closeQuietly();
  }
}
