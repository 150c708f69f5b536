package tamarindroute.agreement.raft;

import io.microraft.MembershipChangeMode;
import io.microraft.Ordered;
import io.microraft.QueryPolicy;
import io.microraft.RaftConfig;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.RaftNodeStatus;
import io.microraft.RaftRole;
import io.microraft.exception.CannotReplicateException;
import io.microraft.exception.NotLeaderException;
import io.microraft.model.message.RaftMessage;
import io.microraft.report.RaftGroupMembers;
import io.microraft.report.RaftNodeReport;
import io.microraft.transport.Transport;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.zip.CRC32;
import tamarindroute.agreement.Agreement;
import tamarindroute.agreement.Command;
import tamarindroute.agreement.MembershipView;
import tamarindroute.agreement.ViewTransitions;
import tamarindroute.agreement.proto.WEnvelope;
import tamarindroute.agreement.wire.AgreementMessageCodec;
import tamarindroute.agreement.wire.DecodedMessage;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;

/** A voter of a group that was founded, over MicroRaft; all on the owner's thread. */
final class RaftAgreement implements Agreement {

  /** The library counts in whole seconds; a leader speaks each second, */
  private static final int HEARTBEAT_PERIOD_SECONDS = 1;

  /** and is taken for lost after three of them were missed: a pause below that changes nothing. */
  private static final int HEARTBEAT_TIMEOUT_SECONDS = 3;

  /** The least wait for votes; the library adds its chance to it. */
  private static final int ELECTION_TIMEOUT_MILLIS = 500;

  /** Entries between snapshots: a restart replays at most about so many. */
  private static final int SNAPSHOT_INTERVAL_ENTRIES = 1_000;

  /** Commands that are not agreed yet, at once; more are refused as busy. */
  private static final int MAX_PENDING_ENTRIES = 256;

  /**
   * A proposal or a reading that has heard nothing for so long is told so: two changes of the
   * leader.
   */
  private static final Duration OPERATION_TIMEOUT = Duration.ofSeconds(10);

  /**
   * Without a leader for so long, the library is begun anew from the store, as after a crash. Its
   * 0.7 never stands for election again once a trial vote was overtaken by the leader's return: two
   * such voters were leaderless for good.
   */
  private static final Duration LEADERLESS_RESTART_TIMEOUT = Duration.ofSeconds(10);

  private static final Duration TICK_PERIOD = Duration.ofSeconds(HEARTBEAT_PERIOD_SECONDS);

  private final EventLoop eventLoop;
  private final VoterTransport transport;
  private final PersistentRaftStore store;
  private final Member self;
  private final long groupId;
  private final ViewStateMachine stateMachine;
  private RaftNode raftNode;
  private final ReadIndexService readIndexService;
  private final Consumer<GroupStatus> onStatusChange;
  private final QueryPolicy queryPolicy;
  private GroupStatus status;
  private final Duration startedAt;
  private boolean closed;
  private boolean voterUpdateInProgress;
  private Optional<String> failure = Optional.empty();

  /**
   * In the place of one that was stuck: operators hear of one loss of the majority, not of many.
   */
  void continueFrom(GroupStatus before) {
    status = before;
  }

  /** Goes on where the store ends, or begins with these founders. */
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
    this.groupId = groupId(founders);
    this.stateMachine = new ViewStateMachine(groupId);
    this.onStatusChange = onStatusChange;
    this.queryPolicy = queryPolicy;
    this.self = store.self().orElse(fresh);
    this.startedAt = eventLoop.now();
    this.status =
        new GroupStatus(false, Optional.empty(), 0, List.of(), false, Optional.of(eventLoop.now()));
    RaftNode.RaftNodeBuilder builder =
        RaftNode.newBuilder()
            .setGroupId(groupId)
            .setConfig(config())
            .setTransport(new EnvelopeTransport())
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
      founders.forEach(one -> endpoints.add(new VoterEndpoint(one)));
      builder.setLocalEndpoint(new VoterEndpoint(fresh)).setInitialGroupMembers(endpoints);
    }
    this.raftNode = builder.build();
    this.readIndexService = new ReadIndexService(this, stateMachine, transport);
    raftNode.start();
    eventLoop.schedule(this::tick, TICK_PERIOD);
  }

  private static RaftConfig config() {
    return RaftConfig.newBuilder()
        .setLeaderHeartbeatPeriodSecs(HEARTBEAT_PERIOD_SECONDS)
        .setLeaderHeartbeatTimeoutSecs(HEARTBEAT_TIMEOUT_SECONDS)
        .setLeaderElectionTimeoutMillis(ELECTION_TIMEOUT_MILLIS)
        .setAppendEntriesRequestBatchSize(RaftMessageCodec.MAX_ENTRIES - 1)
        .setCommitCountToTakeSnapshot(SNAPSHOT_INTERVAL_ENTRIES)
        .setMaxPendingLogEntryCount(MAX_PENDING_ENTRIES)
        .setTransferSnapshotsFromFollowersEnabled(false)
        .setRaftNodeReportPublishPeriodSecs(HEARTBEAT_PERIOD_SECONDS)
        .build();
  }

  /** A group is known by its founders, so that no word goes over from one to another. */
  private static long groupId(List<Member> founders) {
    CRC32 low = new CRC32();
    CRC32 high = new CRC32();
    founders.stream()
        .sorted(Comparator.comparing(Member::address))
        .forEach(
            one -> {
              byte[] words = AgreementMessageCodec.toProto(one).toByteArray();
              low.update(words);
              high.update(words.length);
              high.update(words);
            });
    return Math.max(1, high.getValue() << 31 ^ low.getValue());
  }

  /**
   * A message has come; this address is that of whoever sealed it. What is not for this life is
   * dropped.
   */
  void onMessage(Address from, DecodedMessage decoded) {
    if (closed) {
      return;
    }
    if (decoded instanceof DecodedMessage.RaftEnvelope it) {
      onMessage(from, it);
    } else if (decoded instanceof DecodedMessage.ViewRequest ask) {
      readIndexService.onViewRequest(from, ask);
    } else if (decoded instanceof DecodedMessage.Proposal proposal) {
      propose(
          proposal.command(),
          outcome ->
              transport.send(
                  from,
                  AgreementMessageCodec.encodeProposalReply(proposal.proposalNumber(), outcome)));
    }
  }

  private void onMessage(Address from, DecodedMessage.RaftEnvelope it) {
    if (it.groupId() != groupId || !it.recipient().equals(self)) {
      return;
    }
    RaftMessage message;
    try {
      message = RaftMessageCodec.fromProto(groupId, it.message());
    } catch (AgreementMessageCodec.InvalidMessageException notOurs) {
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
  public void propose(Command command, Consumer<ProposalResult> outcome) {
    Optional<String> violation =
        ViewTransitions.findViolation(command)
            .or(
                () ->
                    AgreementMessageCodec.toProto(command).getSerializedSize()
                            > AgreementMessageCodec.MAX_COMMAND_BYTES
                        ? Optional.of(
                            "longer than " + AgreementMessageCodec.MAX_COMMAND_BYTES + " bytes")
                        : Optional.empty());
    if (violation.isPresent()) {
      outcome.accept(
          new ProposalResult(
              ProposalStatus.REJECTED,
              stateMachine.view().number(),
              violation.get(),
              Optional.empty()));
      return;
    }
    CompletableFuture<Ordered<ViewTransitions.Transition>> agreed = raftNode.replicate(command);
    completeOnce(
        agreed,
        step ->
            outcome.accept(
                new ProposalResult(
                    step.rejection().isPresent()
                        ? ProposalStatus.REJECTED
                        : ProposalStatus.COMMITTED,
                    step.view().number(),
                    step.rejection().orElse(""),
                    Optional.of(self))),
        failure -> outcome.accept(toResult(failure)));
  }

  private ProposalResult toResult(Throwable failure) {
    ProposalStatus fate = ProposalStatus.UNKNOWN;
    if (failure instanceof NotLeaderException || failure instanceof IllegalStateException) {
      fate = ProposalStatus.NOT_LEADER;
    } else if (failure instanceof CannotReplicateException) {
      fate = ProposalStatus.BUSY;
    }
    return new ProposalResult(
        fate, stateMachine.view().number(), String.valueOf(failure.getMessage()), leader());
  }

  @Override
  public void read(Consumer<Optional<MembershipView>> view) {
    CompletableFuture<Ordered<MembershipView>> read =
        raftNode.query(ViewStateMachine.READ, queryPolicy, Optional.empty(), Optional.empty());
    completeOnce(
        read, it -> view.accept(Optional.of(it)), failure -> view.accept(Optional.empty()));
  }

  /** One of both is called, once, at the latest after the longest wait. */
  private <T> void completeOnce(
      CompletableFuture<Ordered<T>> future, Consumer<T> done, Consumer<Throwable> failed) {
    boolean[] told = {false};
    future.whenComplete(
        (result, failure) -> {
          if (!told[0]) {
            told[0] = true;
            if (failure == null) {
              done.accept(result.getResult());
            } else {
              failed.accept(failure);
            }
          }
        });
    if (!told[0]) {
      eventLoop.schedule(
          () -> {
            if (!told[0]) {
              told[0] = true;
              failed.accept(new IOException("nothing heard for " + OPERATION_TIMEOUT));
            }
          },
          OPERATION_TIMEOUT);
    }
  }

  @Override
  public MembershipView localView() {
    return stateMachine.view();
  }

  @Override
  public GroupStatus status() {
    return status;
  }

  @Override
  public long term() {
    return raftNode.getTerm().getTerm();
  }

  Optional<Member> leader() {
    return Optional.ofNullable(raftNode.getTerm().getLeaderEndpoint()).map(VoterEndpoint::memberOf);
  }

  /** First without a vote, so that it has caught up before it counts; then with one. */
  @Override
  public void changeVoters(Member voter, boolean add, Consumer<ProposalResult> outcome) {
    VoterEndpoint endpoint = new VoterEndpoint(voter);
    RaftGroupMembers now = raftNode.getCommittedMembers();
    if (add == now.getVotingMembers().contains(endpoint)
        && (add || !now.getMembers().contains(endpoint))) {
      outcome.accept(
          new ProposalResult(ProposalStatus.COMMITTED, stateMachine.view().number(), "", leader()));
    } else if (!add) {
      changeMembership(endpoint, MembershipChangeMode.REMOVE_MEMBER, outcome);
    } else if (now.getVotingMembers().size() >= ViewTransitions.MAX_VOTERS) {
      outcome.accept(
          new ProposalResult(
              ProposalStatus.REJECTED, stateMachine.view().number(), "too many voters", leader()));
    } else if (now.getMembers().contains(endpoint)) {
      changeMembership(endpoint, MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER, outcome);
    } else {
      changeMembership(
          endpoint,
          MembershipChangeMode.ADD_LEARNER,
          added -> {
            if (added.status() == ProposalStatus.COMMITTED) {
              changeMembership(endpoint, MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER, outcome);
            } else {
              outcome.accept(added);
            }
          });
    }
  }

  private void changeMembership(
      VoterEndpoint endpoint, MembershipChangeMode mode, Consumer<ProposalResult> outcome) {
    long from = raftNode.getCommittedMembers().getLogIndex();
    completeOnce(
        raftNode.changeMembership(endpoint, mode, from),
        members ->
            outcome.accept(
                new ProposalResult(
                    ProposalStatus.COMMITTED, stateMachine.view().number(), "", leader())),
        failure -> outcome.accept(toResult(failure)));
  }

  private void tick() {
    if (closed) {
      return;
    }
    if (hasEnded()) {
      status =
          new GroupStatus(
              false,
              Optional.empty(),
              0,
              voters(raftNode.getCommittedMembers()),
              false,
              status.noQuorumSince().or(() -> Optional.of(eventLoop.now())));
      close();
      onStatusChange.accept(status);
      return;
    }
    eventLoop.schedule(this::tick, TICK_PERIOD);
    raftNode
        .getReport()
        .whenComplete(
            (report, failure) -> {
              if (failure == null && !closed) {
                onReport(report.getResult());
              }
            });
  }

  /**
   * Put out of the group, its store can't be written, or the library failed: it votes and answers
   * no more.
   */
  boolean hasEnded() {
    return closed
        || failure.isPresent()
        || store.hasFailed()
        || raftNode != null && raftNode.getStatus() == RaftNodeStatus.TERMINATED;
  }

  /** Nobody leads, and this node has had its time to find one. */
  boolean isStuck() {
    Duration since = status.noQuorumSince().orElse(eventLoop.now());
    return !hasEnded()
        && !status.isLeader()
        && eventLoop.now().compareTo(since.plus(LEADERLESS_RESTART_TIMEOUT)) >= 0
        && eventLoop.now().compareTo(startedAt.plus(LEADERLESS_RESTART_TIMEOUT)) >= 0;
  }

  /** Gives the store back; nothing is said from here on. What was proposed here ends as unknown. */
  GroupStatus releaseStore() {
    closed = true;
    return status;
  }

  /** Nothing is known of what a step that failed has left behind, so none comes after it. */
  private void onTaskFailure(RuntimeException thrown) {
    failure = Optional.of(thrown.toString());
  }

  /** Why it ended, if by itself. */
  Optional<String> failure() {
    return store.hasFailed() ? Optional.of("the store can't be written") : failure;
  }

  private void onReport(RaftNodeReport report) {
    boolean leads =
        report.getRole() == RaftRole.LEADER && report.getStatus() != RaftNodeStatus.TERMINATED;
    long oldestHeartbeat =
        eventLoop.now().toMillis()
            + EventLoopClock.START_MILLIS
            - TimeUnit.SECONDS.toMillis(HEARTBEAT_TIMEOUT_SECONDS);
    int reachableVoters = 1;
    for (RaftEndpoint voter : report.getEffectiveMembers().getVotingMembers()) {
      if (!voter.getId().equals(self)
          && report.getHeartbeatTimestamps().getOrDefault(voter, 0L) >= oldestHeartbeat) {
        reachableVoters++;
      }
    }
    boolean hasQuorum =
        leads
            ? reachableVoters >= report.getEffectiveMembers().getMajorityQuorumSize()
            : leader().isPresent()
                && report.getLeaderHeartbeatTimestamp().orElse(0L) >= oldestHeartbeat;
    Optional<Duration> since =
        hasQuorum
            ? Optional.empty()
            : status.noQuorumSince().or(() -> Optional.of(eventLoop.now()));
    List<Member> voters = voters(report.getCommittedMembers());
    GroupStatus next =
        new GroupStatus(
            leads,
            hasQuorum ? leader() : Optional.empty(),
            leads ? reachableVoters : 0,
            voters,
            report.getStatus() == RaftNodeStatus.UPDATING_RAFT_GROUP_MEMBER_LIST,
            since);
    boolean statusChanged = !next.equals(status);
    status = next;
    if (statusChanged) {
      onStatusChange.accept(next);
    }
    publishVoters(leads, voters);
  }

  /** The leader puts into the view who votes, whenever the group has changed. */
  private void publishVoters(boolean leads, List<Member> voters) {
    if (leads && !voterUpdateInProgress && !voters.equals(stateMachine.view().voters())) {
      voterUpdateInProgress = true;
      propose(
          new Command.SetVoters(stateMachine.view().number(), voters),
          outcome -> voterUpdateInProgress = false);
    }
  }

  private static List<Member> voters(RaftGroupMembers group) {
    return group.getVotingMembers().stream()
        .map(VoterEndpoint::memberOf)
        .sorted(Comparator.comparing(Member::address).thenComparingLong(Member::incarnation))
        .toList();
  }

  @Override
  public void close() {
    closed = true;
    store.closeQuietly();
  }

  /** The library's way out: each message in an envelope for one life of one voter. */
  private final class EnvelopeTransport implements Transport {
    @Override
    public void send(RaftEndpoint to, RaftMessage message) {
      if (!hasEnded()) {
        Member member = VoterEndpoint.memberOf(to);
        transport.send(
            member.address(),
            WEnvelope.newBuilder()
                .setGroup(groupId)
                .setTo(AgreementMessageCodec.toProto(member))
                .setRaft(RaftMessageCodec.toProto(message))
                .build()
                .toByteArray());
      }
    }

    @Override
    public boolean isReachable(RaftEndpoint endpoint) {
      return true;
    }
  }
}
