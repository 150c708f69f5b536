package tamarindroute.members.agreed;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import tamarindroute.agreement.Agreement;
import tamarindroute.agreement.raft.EventLoop;
import tamarindroute.agreement.raft.RaftVoter;
import tamarindroute.agreement.raft.VoterTransport;
import tamarindroute.agreement.store.FileStorageMedium;
import tamarindroute.host.MonotonicClock;
import tamarindroute.log.Log;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;
import tamarindroute.net.Scheduler;

/**
 * A voter's part: its store, its side of the agreement, and as leader the proposals of what its
 * membership holds. A voter whose store is empty waits until others have let it in: they know if
 * its clock was set back, and an old birth must never be taken again.
 */
final class Voter {

  /** The change of a leader takes up to five seconds and is told by who leads next. */
  private static final Duration QUORUM_LOSS_LOG_DELAY = Duration.ofSeconds(6);

  private final Scheduler scheduler;
  private final List<Address> configuredVoters;
  private final VoterTransport transport;
  private final FileStorageMedium store;
  private final boolean startedEmpty;
  private Optional<RaftVoter> raftVoter = Optional.empty();
  private ViewChangeBatcher batcher = ViewChangeBatcher.initial(MonotonicClock.now());
  private boolean failed;
  private boolean wasLeader;
  private boolean quorumLossLogged;
  private List<Member> loggedVoters = List.of();

  Voter(Scheduler scheduler, List<Address> configuredVoters, Path file, VoterTransport transport)
      throws IOException {
    this.scheduler = scheduler;
    this.configuredVoters = configuredVoters;
    this.transport = transport;
    this.startedEmpty = !Files.exists(file) || Files.size(file) == 0;
    this.store = new FileStorageMedium(file);
  }

  void tick(AgreedViewService.LocalMembership localMembership, Duration now) throws IOException {
    if (failed) {
      return;
    }
    boolean connected = localMembership.isConnected();
    if (raftVoter.isEmpty() && (!startedEmpty || connected)) {
      open(localMembership.self());
    }
    if (raftVoter.isEmpty()) {
      return;
    }
    Agreement agreement = raftVoter.get();
    Agreement.GroupStatus status = agreement.status();
    logChanges(status, now);
    if (!connected || !status.isLeader() || status.noQuorumSince().isPresent()) {
      batcher = ViewChangeBatcher.initial(now);
      return;
    }
    ViewChangeBatcher.Step step =
        batcher.step(agreement.localView(), localMembership.self(), localMembership.members(), now);
    batcher = step.next();
    step.change()
        .ifPresent(
            change ->
                agreement.propose(
                    change,
                    result -> {
                      if (result.status() == Agreement.ProposalStatus.REJECTED) {
                        Log.change(
                            "agreed",
                            "cut of "
                                + change.removed().size()
                                + " out and "
                                + change.added().size()
                                + " in refused: "
                                + result.reason());
                      }
                    }));
  }

  private void open(Member self) throws IOException {
    failed = true;
    RaftVoter opened =
        RaftVoter.open(
            new VoterEventLoop(), transport, store, self, configuredVoters, status -> {});
    failed = false;
    raftVoter = Optional.of(opened);
    Log.change("agreed", "votes as " + opened.self() + (startedEmpty ? ", anew" : ""));
  }

  private void logChanges(Agreement.GroupStatus status, Duration now) {
    Optional<String> failure = raftVoter.flatMap(RaftVoter::failure);
    if (failure.isPresent()) {
      failed = true;
      Log.change("agreed", "votes no more: " + failure.get());
      return;
    }
    if (status.isLeader() != wasLeader) {
      wasLeader = status.isLeader();
      Log.change("agreed", wasLeader ? "leads" : "leads no more");
    }
    if (!status.voters().equals(loggedVoters)) {
      loggedVoters = status.voters();
      Log.change("agreed", "voters " + loggedVoters);
    }
    Optional<Duration> since = status.noQuorumSince();
    if (since.isPresent()
        && !quorumLossLogged
        && now.minus(since.get()).compareTo(QUORUM_LOSS_LOG_DELAY) >= 0) {
      quorumLossLogged = true;
      Log.change(
          "agreed",
          "no majority since " + now.minus(since.get()).toMillis() + " ms: nothing agreed moves");
    } else if (since.isEmpty() && quorumLossLogged) {
      quorumLossLogged = false;
      Log.change("agreed", "a majority again");
    }
  }

  void onMessage(Address from, byte[] message) {
    raftVoter.ifPresent(raftVoter -> raftVoter.onMessage(from, message));
  }

  Optional<Agreement> agreement() {
    return raftVoter.map(raftVoter -> raftVoter);
  }

  void close() throws IOException {
    if (raftVoter.isPresent()) {
      raftVoter.get().close();
    } else {
      store.close();
    }
  }

  /** The owner's thread and the monotonic clock. */
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
