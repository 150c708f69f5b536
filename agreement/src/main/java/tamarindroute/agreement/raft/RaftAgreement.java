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
import tamarindroute.agreement.Ledger;
import tamarindroute.agreement.View;
import tamarindroute.agreement.proto.WEnvelope;
import tamarindroute.agreement.wire.Heard;
import tamarindroute.agreement.wire.Words;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;

/** A voter of a group that was founded, over MicroRaft; all on the owner's thread. */
final class RaftAgreement implements Agreement {

  /** The library counts in whole seconds; a leader speaks each second, */
  private static final int HEARTBEAT_SECONDS = 1;

  /** and is taken for lost after three of them were missed: a pause below that changes nothing. */
  private static final int LOST_SECONDS = 3;

  /** The least wait for votes; the library adds its chance to it. */
  private static final int ELECTION_MILLIS = 500;

  /** Entries between snapshots: a restart replays at most about so many. */
  private static final int SNAPSHOT_EVERY = 1_000;

  /** Commands that are not agreed yet, at once; more are refused as busy. */
  private static final int PENDING_MOST = 256;

  /**
   * A proposal or a reading that has heard nothing for so long is told so: two changes of the
   * leader.
   */
  private static final Duration WAIT_MOST = Duration.ofSeconds(10);

  /**
   * Without a leader for so long, the library is begun anew from the store, as after a crash. Its
   * 0.7 never stands for election again once a trial vote was overtaken by the leader's return: two
   * such voters were leaderless for good.
   */
  private static final Duration STUCK = Duration.ofSeconds(10);

  private static final Duration TICK = Duration.ofSeconds(HEARTBEAT_SECONDS);

  private final Owner owner;
  private final Post post;
  private final Kept kept;
  private final Member self;
  private final long group;
  private final Machine machine;
  private RaftNode node;
  private final Desk desk;
  private final Consumer<State> changed;
  private final QueryPolicy reading;
  private State state;
  private final Duration begun;
  private boolean closed;
  private boolean telling;
  private Optional<String> failure = Optional.empty();

  /**
   * In the place of one that was stuck: operators hear of one loss of the majority, not of many.
   */
  void after(State before) {
    state = before;
  }

  /** Goes on where the store ends, or begins with these founders. */
  RaftAgreement(
      Owner owner,
      Post post,
      Kept kept,
      Member fresh,
      List<Member> founders,
      Consumer<State> changed,
      QueryPolicy reading)
      throws IOException {
    this.owner = owner;
    this.post = post;
    this.kept = kept;
    this.group = group(founders);
    this.machine = new Machine(group);
    this.changed = changed;
    this.reading = reading;
    this.self = kept.self().orElse(fresh);
    this.begun = owner.now();
    this.state = new State(false, Optional.empty(), 0, List.of(), false, Optional.of(owner.now()));
    RaftNode.RaftNodeBuilder builder =
        RaftNode.newBuilder()
            .setGroupId(group)
            .setConfig(config())
            .setTransport(new Way())
            .setExecutor(new OwnerExecutor(owner, () -> !ended(), this::broken))
            .setStateMachine(machine)
            .setStore(kept)
            .setClock(new OwnerClock(owner))
            .setRandom(new Chance(self.hashCode()))
            .setModelFactory(Wire.MODELS);
    if (kept.runs()) {
      builder.setRestoredState(kept.restored());
    } else {
      kept.begin(group);
      List<RaftEndpoint> seats = new ArrayList<>();
      founders.forEach(one -> seats.add(new Seat(one)));
      builder.setLocalEndpoint(new Seat(fresh)).setInitialGroupMembers(seats);
    }
    this.node = builder.build();
    this.desk = new Desk(this, machine, post);
    node.start();
    owner.schedule(this::tick, TICK);
  }

  private static RaftConfig config() {
    return RaftConfig.newBuilder()
        .setLeaderHeartbeatPeriodSecs(HEARTBEAT_SECONDS)
        .setLeaderHeartbeatTimeoutSecs(LOST_SECONDS)
        .setLeaderElectionTimeoutMillis(ELECTION_MILLIS)
        .setAppendEntriesRequestBatchSize(Messages.ENTRIES_MOST - 1)
        .setCommitCountToTakeSnapshot(SNAPSHOT_EVERY)
        .setMaxPendingLogEntryCount(PENDING_MOST)
        .setTransferSnapshotsFromFollowersEnabled(false)
        .setRaftNodeReportPublishPeriodSecs(HEARTBEAT_SECONDS)
        .build();
  }

  /** A group is known by its founders, so that no word goes over from one to another. */
  private static long group(List<Member> founders) {
    CRC32 low = new CRC32();
    CRC32 high = new CRC32();
    founders.stream()
        .sorted(Comparator.comparing(Member::address))
        .forEach(
            one -> {
              byte[] words = Words.to(one).toByteArray();
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
  void received(Address from, Heard heard) {
    if (closed) {
      return;
    }
    if (heard instanceof Heard.OfLibrary it) {
      received(from, it);
    } else if (heard instanceof Heard.Ask ask) {
      desk.asked(from, ask);
    } else if (heard instanceof Heard.Proposal proposal) {
      propose(
          proposal.command(),
          outcome -> post.send(from, Words.outcome(proposal.number(), outcome)));
    }
  }

  private void received(Address from, Heard.OfLibrary it) {
    if (it.group() != group || !it.to().equals(self)) {
      return;
    }
    RaftMessage message;
    try {
      message = Messages.from(group, it.message());
    } catch (Words.Unbelievable notOurs) {
      return;
    }
    if (Seat.of(message.getSender()).address().equals(from)) {
      node.handle(message);
    }
  }

  @Override
  public Member self() {
    return self;
  }

  @Override
  public void propose(Command command, Consumer<Outcome> outcome) {
    Optional<String> wrong =
        Ledger.bounded(command)
            .or(
                () ->
                    Words.to(command).getSerializedSize() > Words.COMMAND_MOST
                        ? Optional.of("longer than " + Words.COMMAND_MOST + " bytes")
                        : Optional.empty());
    if (wrong.isPresent()) {
      outcome.accept(
          new Outcome(Fate.REFUSED, machine.view().number(), wrong.get(), Optional.empty()));
      return;
    }
    CompletableFuture<Ordered<Ledger.Step>> agreed = node.replicate(command);
    once(
        agreed,
        step ->
            outcome.accept(
                new Outcome(
                    step.refusal().isPresent() ? Fate.REFUSED : Fate.AGREED,
                    step.view().number(),
                    step.refusal().orElse(""),
                    Optional.of(self))),
        failure -> outcome.accept(failed(failure)));
  }

  private Outcome failed(Throwable failure) {
    Fate fate = Fate.UNKNOWN;
    if (failure instanceof NotLeaderException || failure instanceof IllegalStateException) {
      fate = Fate.ELSEWHERE;
    } else if (failure instanceof CannotReplicateException) {
      fate = Fate.BUSY;
    }
    return new Outcome(
        fate, machine.view().number(), String.valueOf(failure.getMessage()), leader());
  }

  @Override
  public void read(Consumer<Optional<View>> view) {
    CompletableFuture<Ordered<View>> read =
        node.query(Machine.READ, reading, Optional.empty(), Optional.empty());
    once(read, it -> view.accept(Optional.of(it)), failure -> view.accept(Optional.empty()));
  }

  /** One of both is called, once, at the latest after the longest wait. */
  private <T> void once(
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
      owner.schedule(
          () -> {
            if (!told[0]) {
              told[0] = true;
              failed.accept(new IOException("nothing heard for " + WAIT_MOST));
            }
          },
          WAIT_MOST);
    }
  }

  @Override
  public View view() {
    return machine.view();
  }

  @Override
  public State state() {
    return state;
  }

  @Override
  public long term() {
    return node.getTerm().getTerm();
  }

  Optional<Member> leader() {
    return Optional.ofNullable(node.getTerm().getLeaderEndpoint()).map(Seat::of);
  }

  /** First without a vote, so that it has caught up before it counts; then with one. */
  @Override
  public void change(Member voter, boolean in, Consumer<Outcome> outcome) {
    Seat seat = new Seat(voter);
    RaftGroupMembers now = node.getCommittedMembers();
    if (in == now.getVotingMembers().contains(seat) && (in || !now.getMembers().contains(seat))) {
      outcome.accept(new Outcome(Fate.AGREED, machine.view().number(), "", leader()));
    } else if (!in) {
      step(seat, MembershipChangeMode.REMOVE_MEMBER, outcome);
    } else if (now.getVotingMembers().size() >= Ledger.VOTERS_MOST) {
      outcome.accept(
          new Outcome(Fate.REFUSED, machine.view().number(), "too many voters", leader()));
    } else if (now.getMembers().contains(seat)) {
      step(seat, MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER, outcome);
    } else {
      step(
          seat,
          MembershipChangeMode.ADD_LEARNER,
          added -> {
            if (added.fate() == Fate.AGREED) {
              step(seat, MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER, outcome);
            } else {
              outcome.accept(added);
            }
          });
    }
  }

  private void step(Seat seat, MembershipChangeMode mode, Consumer<Outcome> outcome) {
    long from = node.getCommittedMembers().getLogIndex();
    once(
        node.changeMembership(seat, mode, from),
        members -> outcome.accept(new Outcome(Fate.AGREED, machine.view().number(), "", leader())),
        failure -> outcome.accept(failed(failure)));
  }

  private void tick() {
    if (closed) {
      return;
    }
    if (ended()) {
      state =
          new State(
              false,
              Optional.empty(),
              0,
              voters(node.getCommittedMembers()),
              false,
              state.noMajoritySince().or(() -> Optional.of(owner.now())));
      close();
      changed.accept(state);
      return;
    }
    owner.schedule(this::tick, TICK);
    node.getReport()
        .whenComplete(
            (report, failure) -> {
              if (failure == null && !closed) {
                told(report.getResult());
              }
            });
  }

  /**
   * Put out of the group, its store can't be written, or the library failed: it votes and answers
   * no more.
   */
  boolean ended() {
    return closed
        || failure.isPresent()
        || kept.failed()
        || node != null && node.getStatus() == RaftNodeStatus.TERMINATED;
  }

  /** Nobody leads, and this node has had its time to find one. */
  boolean stuck() {
    Duration since = state.noMajoritySince().orElse(owner.now());
    return !ended()
        && !state.leads()
        && owner.now().compareTo(since.plus(STUCK)) >= 0
        && owner.now().compareTo(begun.plus(STUCK)) >= 0;
  }

  /** Gives the store back; nothing is said from here on. What was proposed here ends as unknown. */
  State leave() {
    closed = true;
    return state;
  }

  /** Nothing is known of what a step that failed has left behind, so none comes after it. */
  private void broken(RuntimeException thrown) {
    failure = Optional.of(thrown.toString());
  }

  /** Why it ended, if by itself. */
  Optional<String> failure() {
    return kept.failed() ? Optional.of("the store can't be written") : failure;
  }

  private void told(RaftNodeReport report) {
    boolean leads =
        report.getRole() == RaftRole.LEADER && report.getStatus() != RaftNodeStatus.TERMINATED;
    long oldest =
        owner.now().toMillis() + OwnerClock.START - TimeUnit.SECONDS.toMillis(LOST_SECONDS);
    int reached = 1;
    for (RaftEndpoint voter : report.getEffectiveMembers().getVotingMembers()) {
      if (!voter.getId().equals(self)
          && report.getHeartbeatTimestamps().getOrDefault(voter, 0L) >= oldest) {
        reached++;
      }
    }
    boolean led =
        leads
            ? reached >= report.getEffectiveMembers().getMajorityQuorumSize()
            : leader().isPresent() && report.getLeaderHeartbeatTimestamp().orElse(0L) >= oldest;
    Optional<Duration> since =
        led ? Optional.empty() : state.noMajoritySince().or(() -> Optional.of(owner.now()));
    List<Member> voters = voters(report.getCommittedMembers());
    State next =
        new State(
            leads,
            led ? leader() : Optional.empty(),
            leads ? reached : 0,
            voters,
            report.getStatus() == RaftNodeStatus.UPDATING_RAFT_GROUP_MEMBER_LIST,
            since);
    boolean news = !next.equals(state);
    state = next;
    if (news) {
      changed.accept(next);
    }
    tellVoters(leads, voters);
  }

  /** The leader puts into the view who votes, whenever the group has changed. */
  private void tellVoters(boolean leads, List<Member> voters) {
    if (leads && !telling && !voters.equals(machine.view().voters())) {
      telling = true;
      propose(new Command.Voters(machine.view().number(), voters), outcome -> telling = false);
    }
  }

  private static List<Member> voters(RaftGroupMembers group) {
    return group.getVotingMembers().stream()
        .map(Seat::of)
        .sorted(Comparator.comparing(Member::address).thenComparingLong(Member::birth))
        .toList();
  }

  @Override
  public void close() {
    closed = true;
    kept.closeQuietly();
  }

  /** The library's way out: each message in an envelope for one life of one voter. */
  private final class Way implements Transport {
    @Override
    public void send(RaftEndpoint to, RaftMessage message) {
      if (!ended()) {
        Member member = Seat.of(to);
        post.send(
            member.address(),
            WEnvelope.newBuilder()
                .setGroup(group)
                .setTo(Words.to(member))
                .setRaft(Messages.to(message))
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
