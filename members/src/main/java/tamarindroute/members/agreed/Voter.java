package tamarindroute.members.agreed;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import tamarindroute.agreement.Agreement;
import tamarindroute.agreement.Command;
import tamarindroute.agreement.raft.EventLoop;
import tamarindroute.agreement.raft.RaftVoter;
import tamarindroute.agreement.raft.VoterTransport;
import tamarindroute.agreement.store.FileStorageMedium;
import tamarindroute.host.MonotonicClock;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;
import tamarindroute.net.Scheduler;

/**
 * This member's vote: opens its store, takes part in the agreement and, while it leads, proposes
 * the changes that its membership shows.
 *
 * <p>A voter with an empty store waits until the membership is connected: the other members know
 * whether its incarnation has to be raised, and an incarnation must never vote twice.
 */
final class Voter {

  /** A change of the leader takes up to five seconds and is not worth a line of its own. */
  private static final Duration QUORUM_LOSS_LOG_DELAY = Duration.ofSeconds(6);

  private final Scheduler scheduler;
  private final List<Address> configuredVoters;
  private final VoterTransport transport;
  private final FileStorageMedium store;
  private final boolean startedEmpty;

  /** Null until the store is opened. */
  private RaftVoter raftVoter;

  private ViewChangeBatcher batcher = ViewChangeBatcher.initial(MonotonicClock.now());
  private boolean failed;
  private boolean wasLeader;
  private boolean quorumLossLogged;
  private List<Member> loggedVoters = List.of();

  /**
   * Creates a voter; it is opened by {@link #tick}.
   *
   * @throws IOException if the store's file can't be opened or is in use
   */
  Voter(Scheduler scheduler, List<Address> configuredVoters, Path file, VoterTransport transport)
      throws IOException {
    this.scheduler = scheduler;
    this.configuredVoters = configuredVoters;
    this.transport = transport;
    this.startedEmpty = !Files.exists(file) || Files.size(file) == 0;
    this.store = new FileStorageMedium(file);
  }

  /**
   * Opens the store if it is time to, logs changes and proposes them as the leader.
   *
   * @throws IOException if the store is damaged; the voter is not opened again
   */
  void tick(AgreedViewService.LocalMembership localMembership, Duration now) throws IOException {
    if (failed) {
      return;
    }
    boolean connected = localMembership.isConnected();
    if (raftVoter == null && (!startedEmpty || connected)) {
      open(localMembership.self());
    }
    if (raftVoter == null) {
      return;
    }
    Agreement.GroupStatus status = raftVoter.status();
    logChanges(status, now);
    if (connected && status.isLeader() && status.noQuorumSince().isEmpty()) {
      proposeChanges(localMembership, now);
    } else {
      batcher = ViewChangeBatcher.initial(now);
    }
  }

  private void open(Member self) throws IOException {
    // Set while opening, so that a store that can't be opened is not tried again.
    failed = true;
    raftVoter =
        RaftVoter.open(
            new VoterEventLoop(), transport, store, self, configuredVoters, status -> {});
    failed = false;
    AgreedViewLog.votingStarted(raftVoter.self(), startedEmpty);
  }

  private void proposeChanges(AgreedViewService.LocalMembership localMembership, Duration now) {
    ViewChangeBatcher.Step step =
        batcher.step(raftVoter.localView(), localMembership.self(), localMembership.members(), now);
    batcher = step.next();
    step.change().ifPresent(this::propose);
  }

  private void propose(Command.MembershipChange change) {
    raftVoter.propose(
        change,
        result -> {
          if (result.status() == Agreement.ProposalStatus.REJECTED) {
            AgreedViewLog.changeRejected(change, result.reason());
          }
        });
  }

  private void logChanges(Agreement.GroupStatus status, Duration now) {
    Optional<String> failure = raftVoter.failure();
    if (failure.isPresent()) {
      failed = true;
      AgreedViewLog.votingStopped(failure.get());
      return;
    }
    if (status.isLeader() != wasLeader) {
      wasLeader = status.isLeader();
      AgreedViewLog.leadershipChanged(wasLeader);
    }
    if (!status.voters().equals(loggedVoters)) {
      loggedVoters = status.voters();
      AgreedViewLog.votersChanged(loggedVoters);
    }
    logQuorum(status.noQuorumSince(), now);
  }

  private void logQuorum(Optional<Duration> noQuorumSince, Duration now) {
    if (noQuorumSince.isEmpty()) {
      if (quorumLossLogged) {
        quorumLossLogged = false;
        AgreedViewLog.quorumRestored();
      }
      return;
    }
    Duration lostFor = now.minus(noQuorumSince.get());
    if (!quorumLossLogged && lostFor.compareTo(QUORUM_LOSS_LOG_DELAY) >= 0) {
      quorumLossLogged = true;
      AgreedViewLog.quorumLost(lostFor);
    }
  }

  void onMessage(Address from, byte[] message) {
    if (raftVoter != null) {
      raftVoter.onMessage(from, message);
    }
  }

  /** The agreement, once the store is open. */
  Optional<Agreement> agreement() {
    return Optional.ofNullable(raftVoter);
  }

  void close() throws IOException {
    if (raftVoter != null) {
      raftVoter.close();
    } else {
      store.close();
    }
  }

  /** Runs the agreement's tasks on the scheduler, by the monotonic clock. */
  private final class VoterEventLoop implements EventLoop {
    @Override
    public void execute(Runnable task) {
      scheduler.execute(task);
    }

    @Override
    public void schedule(Runnable task, Duration after) {
      scheduler.schedule(after, task);
    }

    @Override
    public Duration now() {
      return MonotonicClock.now();
    }
  }
}
