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

/** A voter of an established group, implemented by a MicroRaft node. Runs on the event loop. */
final class RaftAgreement implements Agreement {

  /**
   * A voter that has had no leader for this time restarts MicroRaft from the store, as after a
   * crash. In MicroRaft 0.7, a node whose pre-vote was interrupted by the return of the leader
   * never becomes a candidate again, so two such voters would remain without a leader for good.
   */
  private static final Duration LEADERLESS_RESTART_TIMEOUT = Duration.ofSeconds(10);

  /** Period at which the node's report is read. */
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
   * Starts a MicroRaft node from the stored state, or as a founder of a new group if the store has
   * none.
   *
   * @param newIdentity this voter's identity if the store has no group
   * @param founders founders of the group, which its identifier is computed from
   * @param onStatusChange called with the group's status whenever it has changed
   * @param queryPolicy how MicroRaft confirms reads
   * @throws IOException if the store cannot be written
   */
  @SuppressWarnings("FutureReturnValueIgnored") // The node starts by a task of the event loop.
  RaftAgreement(
      EventLoop eventLoop,
      VoterTransport transport,
      PersistentRaftStore store,
      Member newIdentity,
      List<Member> founders,
      Consumer<GroupStatus> onStatusChange,
      QueryPolicy queryPolicy)
      throws IOException {
    this.eventLoop = eventLoop;
    this.transport = transport;
    this.store = store;
    this.onStatusChange = onStatusChange;
    this.self = store.self().orElse(newIdentity);
    this.groupId = GroupId.of(founders);
    this.stateMachine = new ViewStateMachine(groupId);
    this.statusMonitor = new GroupStatusMonitor(eventLoop, self);
    this.raftNode = buildNode(founders);
    this.operations = new RaftOperations(eventLoop, raftNode, stateMachine, self, queryPolicy);
    this.readIndexService = new ReadIndexService(operations, self, stateMachine, transport);
    raftNode.start();
    eventLoop.schedule(this::pollReport, REPORT_PERIOD);
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

  /** Takes over the last status of the node that this one replaces. */
  void continueFrom(GroupStatus previous) {
    statusMonitor.continueFrom(previous);
  }

  /**
   * Handles a message. Messages of other kinds than consensus messages, view requests and proposals
   * are ignored.
   *
   * @param from address of the authenticated sender
   * @param message the decoded message; null if it could not be decoded
   */
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

  /**
   * Handles a consensus message. Messages for another group or another incarnation, and messages
   * whose Raft sender is not at the authenticated address, are dropped.
   */
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

  /** Reads the node's report and schedules the next reading, or closes a voter that has ended. */
  @SuppressWarnings("FutureReturnValueIgnored") // The report completes on the event loop.
  private void pollReport() {
    if (closed) {
      return;
    }
    if (hasEnded()) {
      statusMonitor.onStopped(raftNode.getCommittedMembers());
      close();
      onStatusChange.accept(status());
      return;
    }
    eventLoop.schedule(this::pollReport, REPORT_PERIOD);
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

  /** If this voter is the leader, records the group's voters in the view when they have changed. */
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

  /**
   * Returns whether this voter was closed, was removed from the group or has failed. It neither
   * votes nor responds from then on.
   */
  boolean hasEnded() {
    return closed
        || taskFailure.isPresent()
        || store.hasFailed()
        || (raftNode != null && raftNode.getStatus() == RaftNodeStatus.TERMINATED);
  }

  /**
   * Returns whether MicroRaft should be restarted because no leader was found within the timeout.
   */
  boolean needsRestart() {
    return !hasEnded() && statusMonitor.isLeaderlessFor(LEADERLESS_RESTART_TIMEOUT);
  }

  /**
   * Stops this voter but leaves its store open. Pending proposals get the status {@code UNKNOWN}.
   *
   * @return the last status
   */
  GroupStatus releaseStore() {
    closed = true;
    return status();
  }

  /** Records that a task threw. No further task is run, as the node may be inconsistent. */
  private void onTaskFailure(RuntimeException failure) {
    taskFailure = Optional.of(failure.toString());
  }

  /** Returns the failure that this voter stopped after; empty if it has not failed. */
  Optional<String> failure() {
    return store.hasFailed() ? Optional.of("store is not writable") : taskFailure;
  }

  @Override
  public void close() {
    closed = true;
    store.closeQuietly();
  }
}
