package tamarindroute.agreement.raft;

import io.microraft.QueryPolicy;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.zip.CRC32;
import tamarindroute.agreement.Agreement;
import tamarindroute.agreement.ViewLease;
import tamarindroute.agreement.proto.WRaft;
import tamarindroute.agreement.store.InMemoryStorageMedium;
import tamarindroute.agreement.wire.AgreementMessageCodec;
import tamarindroute.agreement.wire.DecodedMessage;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;

/**
 * Voters and members in virtual time: one order of events for a seed, ways that lose and are cut,
 * clocks that differ.
 */
final class SimulatedCluster {

  static final Duration LEASE = ReadIndexService.LEASE_DURATION;

  final List<Member> founders = new ArrayList<>();
  final Map<Address, Node> nodes = new HashMap<>();
  final Set<List<Address>> brokenLinks = new HashSet<>();
  final List<String> violations = new ArrayList<>();

  /** When each number of the view was first seen agreed by anyone. */
  final TreeMap<Long, Long> firstCommittedMicros = new TreeMap<>();

  final Map<List<Object>, Member> votes = new HashMap<>();
  int lossPercent;

  /** The library's last message to and from each. */
  final Map<Address, byte[]> lastMessageTo = new HashMap<>();

  final Map<Address, byte[]> lastMessageFrom = new HashMap<>();
  int actCount;
  int refusedActCount;
  private final QueryPolicy queryPolicy;
  long nowMicros;

  private record Event(long atMicros, long order, Node node, int incarnation, Runnable task) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (one, other) ->
              one.atMicros != other.atMicros
                  ? Long.compare(one.atMicros, other.atMicros)
                  : Long.compare(one.order, other.order));
  private final long seed;
  private long order;
  private long randomDraws;

  SimulatedCluster(long seed, int voters) {
    this(seed, voters, QueryPolicy.LINEARIZABLE);
  }

  SimulatedCluster(long seed, int voters, QueryPolicy queryPolicy) {
    this.seed = seed;
    this.queryPolicy = queryPolicy;
    for (int i = 0; i < voters; i++) {
      founders.add(new Member(address(i), 100 + i));
    }
    founders.forEach(one -> node(one.address()).start(one.incarnation()));
  }

  List<Address> configuredVoters() {
    return founders.stream().map(Member::address).toList();
  }

  static Address address(int i) {
    return new Address("10.0.0." + i, 7000);
  }

  Node node(int i) {
    return node(address(i));
  }

  private Node node(Address address) {
    return nodes.computeIfAbsent(address, Node::new);
  }

  int randomBelow(int below) {
    CRC32 sum = new CRC32();
    sum.update(ByteBuffer.allocate(16).putLong(seed).putLong(randomDraws++).flip());
    return (int) (sum.getValue() % below);
  }

  void setLinkBroken(int from, int to, boolean is) {
    List<Address> way = List.of(address(from), address(to));
    if (is) {
      brokenLinks.add(way);
    } else {
      brokenLinks.remove(way);
    }
  }

  void setIsolated(int one, int of, boolean is) {
    for (int other = 0; other < of; other++) {
      if (other != one) {
        setLinkBroken(one, other, is);
        setLinkBroken(other, one, is);
      }
    }
  }

  private void at(long time, Node node, Runnable task) {
    events.add(new Event(time, order++, node, node.incarnation, task));
  }

  private void send(Address from, Address to, byte[] message) {
    checkVotes(from, to, message);
    Node target = nodes.get(to);
    if (target == null
        || brokenLinks.contains(List.of(from, to))
        || randomBelow(100) < lossPercent) {
      return;
    }
    long way = 1_000 + randomBelow(20_000);
    events.add(
        new Event(nowMicros + way, order++, target, -1, () -> target.received(from, message)));
    if (lossPercent > 0 && randomBelow(100) < lossPercent) {
      events.add(
          new Event(
              nowMicros + 3 * way, order++, target, -1, () -> target.received(from, message)));
    }
  }

  /** A voter gives its vote to one candidate a term, whatever it forgot. */
  private void checkVotes(Address from, Address to, byte[] message) {
    DecodedMessage heard = DecodedMessage.decode(message).orElse(null);
    if (heard instanceof DecodedMessage.RaftEnvelope) {
      lastMessageTo.put(to, message);
      lastMessageFrom.put(from, message);
    }
    if (heard instanceof DecodedMessage.RaftEnvelope it
        && it.message().getFlag()
        && it.message().getKind() == WRaft.Kind.VOTE_RESPONSE) {
      Member voter = AgreementMessageCodec.fromProto(it.message().getSender());
      Member before = votes.putIfAbsent(List.of(voter, it.message().getTerm()), it.recipient());
      if (before != null && !before.equals(it.recipient())) {
        violations.add(voter + " voted twice in term " + it.message().getTerm());
      }
    }
  }

  boolean step() {
    Event event = events.poll();
    if (event == null) {
      return false;
    }
    nowMicros = Math.max(nowMicros, event.atMicros);
    Node node = event.node;
    if (event.incarnation >= 0 && event.incarnation != node.incarnation) {
      return true;
    }
    if (node.paused) {
      node.backlog.add(event);
      return true;
    }
    event.task.run();
    if (node.voter != null) {
      if (node.voter.failure().isPresent() && !node.disk.full) {
        violations.add(node.address + " stopped: " + node.voter.failure().get());
      }
      long number = node.voter.localView().number();
      Map.Entry<Long, Long> last = firstCommittedMicros.lastEntry();
      for (long next = last == null ? 1 : last.getKey() + 1; next <= number; next++) {
        firstCommittedMicros.put(next, nowMicros);
      }
    }
    return true;
  }

  void run(Duration span) {
    until(span, () -> false);
  }

  boolean until(Duration span, BooleanSupplier met) {
    long end = nowMicros + span.toNanos() / 1_000;
    while (!met.getAsBoolean()) {
      if (events.isEmpty() || events.peek().atMicros > end) {
        nowMicros = end;
        return met.getAsBoolean();
      }
      step();
    }
    return true;
  }

  Optional<Node> leader() {
    return nodes.values().stream()
        .filter(
            one ->
                one.voter != null
                    && !one.paused
                    && one.voter.status().isLeader()
                    && one.voter.status().noQuorumSince().isEmpty())
        .findFirst();
  }

  Node awaitLeader() {
    if (!until(Duration.ofSeconds(60), () -> leader().isPresent())) {
      throw new AssertionError("no leader within a minute, seed " + seed);
    }
    return leader().get();
  }

  /** One process: its clock, its disk; a voter, a member that holds the view, or both. */
  final class Node implements EventLoop {

    final Address address;
    InMemoryStorageMedium disk = new InMemoryStorageMedium();
    RaftVoter voter;
    ViewLease lease;
    boolean paused;
    int incarnation;
    final List<Agreement.GroupStatus> statusChanges = new ArrayList<>();
    private final List<Event> backlog = new ArrayList<>();

    /** Clocks differ by up to four in a thousand, either way, and start anywhere. */
    private final long perMille = 996 + randomBelow(9);

    private final long offset = randomBelow(1_000_000);

    Node(Address address) {
      this.address = address;
      this.lease = ViewLease.initial(new Member(address, 1));
    }

    void start(long birth) {
      incarnation++;
      try {
        voter =
            new RaftVoter(
                this,
                (to, message) -> SimulatedCluster.this.send(address, to, message),
                disk,
                new Member(address, birth),
                configuredVoters(),
                statusChanges::add,
                queryPolicy);
      } catch (IOException failed) {
        throw new UncheckedIOException(failed);
      }
    }

    /** Gone at once; of what was not forced to the disk some bytes are there. */
    void kill() {
      incarnation++;
      voter = null;
      backlog.clear();
      paused = false;
      disk = disk.crashed(randomBelow(200));
    }

    void pause(boolean is) {
      paused = is;
      if (!is) {
        backlog.forEach(
            one ->
                events.add(new Event(nowMicros, one.order, one.node, one.incarnation, one.task)));
        backlog.clear();
      }
    }

    /**
     * Another life of a member that holds the view; answers to the former one's askings are still
     * on their way.
     */
    void restartHolder(List<Address> voters) {
      incarnation++;
      lease = ViewLease.initial(new Member(address, incarnation + 1));
      holdView(voters);
    }

    /** Holds the view under lease from now on, and acts on it now and then. */
    void holdView(List<Address> voters) {
      schedule(() -> holdView(voters), Duration.ofMillis(200 + randomBelow(200)));
      act();
      if (lease.isRequestDue(now(), LEASE)) {
        Address to = lease.nextVoter(voters);
        lease = lease.requestSent(now());
        SimulatedCluster.this.send(address, to, AgreementMessageCodec.encodeViewRequest(lease));
      }
    }

    /**
     * What it acts on was not replaced longer ago than a lease: by the world's time, not by
     * anyone's clock.
     */
    void act() {
      if (lease.validView(now()).isEmpty()) {
        refusedActCount++;
        return;
      }
      actCount++;
      long number = lease.validView(now()).get().number();
      Long replaced = firstCommittedMicros.get(number + 1);
      if (replaced != null && nowMicros - replaced > LEASE.toNanos() / 1_000) {
        violations.add(
            address + " acts on view " + number + " at " + nowMicros + ", replaced at " + replaced);
      }
    }

    private void received(Address from, byte[] message) {
      if (paused) {
        throw new IllegalStateException("a paused one runs");
      }
      if (DecodedMessage.decode(message).orElse(null) instanceof DecodedMessage.ViewReply it) {
        lease = lease.onResponse(it.response());
      } else if (voter != null) {
        voter.onMessage(from, message);
      }
    }

    @Override
    public void execute(Runnable task) {
      at(nowMicros, this, task);
    }

    @Override
    public void schedule(Runnable task, Duration after) {
      at(nowMicros + after.toNanos() / perMille, this, task);
    }

    @Override
    public Duration now() {
      return Duration.ofNanos((offset + nowMicros) * perMille);
    }
  }
}
