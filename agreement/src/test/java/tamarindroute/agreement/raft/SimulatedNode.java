package tamarindroute.agreement.raft;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import tamarindroute.agreement.Agreement;
import tamarindroute.agreement.ViewLease;
import tamarindroute.agreement.store.InMemoryStorageMedium;
import tamarindroute.agreement.wire.AgreementMessageCodec;
import tamarindroute.agreement.wire.DecodedMessage;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;

/**
 * One process of a {@link SimulatedCluster} with its clock and disk. The process is a voter, a
 * member that holds the view under a lease, or both.
 */
final class SimulatedNode implements EventLoop {

  final Address address;
  InMemoryStorageMedium disk = new InMemoryStorageMedium();

  /** Null while the process is down or is not a voter. */
  RaftVoter voter;

  ViewLease lease;
  boolean paused;

  /** Number of starts and kills. Events of an earlier incarnation are dropped. */
  int incarnation;

  final List<Agreement.GroupStatus> statusChanges = new ArrayList<>();
  private final SimulatedCluster cluster;
  private final List<SimulatedCluster.Event> deferred = new ArrayList<>();

  /**
   * Nanoseconds of this clock per microsecond of virtual time. The clock's rate is wrong by up to
   * four in a thousand either way.
   */
  private final long clockNanosPerMicro;

  /** Virtual time by which this clock is ahead of the cluster's. */
  private final long clockOffsetMicros;

  SimulatedNode(SimulatedCluster cluster, Address address) {
    this.cluster = cluster;
    this.address = address;
    this.clockNanosPerMicro = 996L + cluster.randomBelow(9);
    this.clockOffsetMicros = cluster.randomBelow(1_000_000);
    this.lease = ViewLease.initial(new Member(address, 1));
  }

  /**
   * Starts a voter from the disk.
   *
   * @param voterIncarnation the voter's incarnation if the disk is empty
   */
  void start(long voterIncarnation) {
    incarnation++;
    try {
      voter =
          new RaftVoter(
              this,
              (to, message) -> cluster.send(address, to, message),
              disk,
              new Member(address, voterIncarnation),
              cluster.configuredVoters(),
              statusChanges::add,
              cluster.queryPolicy);
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  /** Stops the process. A random number of the bytes that were not forced remains on the disk. */
  void kill() {
    incarnation++;
    voter = null;
    deferred.clear();
    paused = false;
    disk = disk.crashed(cluster.randomBelow(200));
  }

  void setPaused(boolean newPaused) {
    paused = newPaused;
    if (!paused) {
      deferred.forEach(cluster::resume);
      deferred.clear();
    }
  }

  /** Keeps an event until this node is resumed. */
  void defer(SimulatedCluster.Event event) {
    deferred.add(event);
  }

  Agreement.GroupStatus lastStatusChange() {
    return statusChanges.get(statusChanges.size() - 1);
  }

  /**
   * Restarts a member that holds the view, while responses to its earlier requests may still be on
   * their way.
   */
  void restartHolder(List<Address> voters) {
    incarnation++;
    lease = ViewLease.initial(new Member(address, incarnation + 1));
    holdView(voters);
  }

  /** Holds the view under a lease from now on, and acts on the view from time to time. */
  void holdView(List<Address> voters) {
    schedule(() -> holdView(voters), Duration.ofMillis(200 + cluster.randomBelow(200)));
    act();
    if (lease.isRequestDue(now(), SimulatedCluster.LEASE)) {
      Address to = lease.nextVoter(voters);
      lease = lease.requestSent(now());
      cluster.send(address, to, AgreementMessageCodec.encodeViewRequest(lease));
    }
  }

  private void act() {
    if (lease.validView(now()).isEmpty()) {
      cluster.refusedActCount++;
    } else {
      cluster.onAct(address, lease.validView(now()).get().number());
    }
  }

  void onMessage(Address from, byte[] message) {
    if (paused) {
      throw new IllegalStateException(address + " is paused and received a message");
    }
    if (DecodedMessage.decode(message).orElse(null) instanceof DecodedMessage.ViewReply reply) {
      lease = lease.onResponse(reply.response());
    } else if (voter != null) {
      voter.onMessage(from, message);
    }
  }

  @Override
  public void execute(Runnable task) {
    cluster.schedule(0, this, task);
  }

  @Override
  public void schedule(Runnable task, Duration delay) {
    cluster.schedule(delay.toNanos() / clockNanosPerMicro, this, task);
  }

  @Override
  public Duration now() {
    return Duration.ofNanos((clockOffsetMicros + cluster.nowMicros) * clockNanosPerMicro);
  }
}
