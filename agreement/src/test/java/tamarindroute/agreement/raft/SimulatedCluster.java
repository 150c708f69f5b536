package tamarindroute.agreement.raft;

import io.microraft.QueryPolicy;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
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
import tamarindroute.agreement.proto.RaftMessageProto;
import tamarindroute.agreement.wire.DecodedMessage;
import tamarindroute.agreement.wire.ViewCodec;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;

/**
 * Simulates voters and members in virtual time, with links that lose messages or are broken, and
 * clocks of different rates. The seed determines the order of events. Records violations of these
 * invariants: a voter votes for one candidate per term, no member acts on a view that was replaced
 * longer than a lease ago, and no voter fails unless its disk is full.
 */
final class SimulatedCluster {

  static final Duration LEASE = ReadIndexService.LEASE_DURATION;

  final List<Member> founders = new ArrayList<>();
  final Map<Address, SimulatedNode> nodes = new HashMap<>();

  /** Descriptions of the violated invariants. */
  final List<String> violations = new ArrayList<>();

  /** Virtual time at which a view number was first committed at any voter, by view number. */
  final TreeMap<Long, Long> firstCommittedMicros = new TreeMap<>();

  /** Last consensus message to each address, encoded. */
  final Map<Address, byte[]> lastMessageTo = new HashMap<>();

  /** Last consensus message from each address, encoded. */
  final Map<Address, byte[]> lastMessageFrom = new HashMap<>();

  /** Percentage of the messages that are lost, and percentage of the others that are duplicated. */
  int lossPercent;

  /** Number of times that a member acted on its view. */
  int actCount;

  /** Number of times that a member had to act and held no valid lease. */
  int refusedActCount;

  /** Virtual time since the start of the simulation. */
  long nowMicros;

  final QueryPolicy queryPolicy;
  private final long seed;

  /** Broken links, each as a list of sender and recipient. */
  private final Set<List<Address>> brokenLinks = new HashSet<>();

  /** The candidate that was voted for, by a list of voter and term. */
  private final Map<List<Object>, Member> votes = new HashMap<>();

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atMicros).thenComparingLong(Event::order));
  private long nextOrder;
  private long randomDraws;

  /**
   * A task of a node, to be run at a virtual time.
   *
   * @param order sequence number, by which events of the same time are ordered
   * @param incarnation the node's incarnation that the task is for; -1 for any
   */
  record Event(long atMicros, long order, SimulatedNode node, int incarnation, Runnable task) {}

  SimulatedCluster(long seed, int voters) {
    this(seed, voters, QueryPolicy.LINEARIZABLE);
  }

  SimulatedCluster(long seed, int voters, QueryPolicy queryPolicy) {
    this.seed = seed;
    this.queryPolicy = queryPolicy;
    for (int i = 0; i < voters; i++) {
      founders.add(new Member(address(i), 100 + i));
    }
    founders.forEach(founder -> node(founder.address()).start(founder.incarnation()));
  }

  List<Address> configuredVoters() {
    return founders.stream().map(Member::address).toList();
  }

  static Address address(int index) {
    return new Address("10.0.0." + index, 7000);
  }

  SimulatedNode node(int index) {
    return node(address(index));
  }

  private SimulatedNode node(Address address) {
    return nodes.computeIfAbsent(address, absent -> new SimulatedNode(this, absent));
  }

  /** Returns a number from 0 to below the bound, drawn from the seed. */
  int randomBelow(int bound) {
    CRC32 crc = new CRC32();
    crc.update(ByteBuffer.allocate(16).putLong(seed).putLong(randomDraws++).flip());
    return (int) (crc.getValue() % bound);
  }

  void setLinkBroken(int from, int to, boolean broken) {
    List<Address> link = List.of(address(from), address(to));
    if (broken) {
      brokenLinks.add(link);
    } else {
      brokenLinks.remove(link);
    }
  }

  /** Breaks or restores all links between one voter and the others. */
  void setIsolated(int voter, int voters, boolean isolated) {
    for (int other = 0; other < voters; other++) {
      if (other != voter) {
        setLinkBroken(voter, other, isolated);
        setLinkBroken(other, voter, isolated);
      }
    }
  }

  /** Schedules a task for the current incarnation of a node. */
  void schedule(long delayMicros, SimulatedNode node, Runnable task) {
    events.add(new Event(nowMicros + delayMicros, nextOrder++, node, node.incarnation, task));
  }

  /** Schedules an event that was deferred during a pause, in its original order. */
  void resume(Event event) {
    events.add(new Event(nowMicros, event.order, event.node, event.incarnation, event.task));
  }

  /** Sends a message, which may be lost, delayed or duplicated. */
  void send(Address from, Address to, byte[] message) {
    checkVotes(from, to, message);
    SimulatedNode target = nodes.get(to);
    if (target == null
        || brokenLinks.contains(List.of(from, to))
        || randomBelow(100) < lossPercent) {
      return;
    }
    long delayMicros = 1_000L + randomBelow(20_000);
    deliver(delayMicros, target, from, message);
    if (lossPercent > 0 && randomBelow(100) < lossPercent) {
      deliver(3 * delayMicros, target, from, message);
    }
  }

  private void deliver(long delayMicros, SimulatedNode target, Address from, byte[] message) {
    events.add(
        new Event(
            nowMicros + delayMicros,
            nextOrder++,
            target,
            -1,
            () -> target.onMessage(from, message)));
  }

  /** Records a violation if a voter votes for two candidates in one term, even after a crash. */
  private void checkVotes(Address from, Address to, byte[] message) {
    if (!(DecodedMessage.decode(message).orElse(null)
        instanceof DecodedMessage.RaftEnvelope envelope)) {
      return;
    }
    lastMessageTo.put(to, message);
    lastMessageFrom.put(from, message);
    RaftMessageProto proto = envelope.message();
    if (proto.getFlag() && proto.getKind() == RaftMessageProto.Kind.VOTE_RESPONSE) {
      Member voter = ViewCodec.fromProto(proto.getSender());
      Member candidate = envelope.recipient();
      Member previous = votes.putIfAbsent(List.of(voter, proto.getTerm()), candidate);
      if (previous != null && !previous.equals(candidate)) {
        violations.add(
            voter
                + " voted for "
                + previous
                + " and "
                + candidate
                + " in term "
                + proto.getTerm()
                + ", one candidate allowed");
      }
    }
  }

  /** Records a violation if a member acts on a view that was replaced longer than a lease ago. */
  void onAct(Address address, long number) {
    actCount++;
    Long replacedMicros = firstCommittedMicros.get(number + 1);
    if (replacedMicros != null && nowMicros - replacedMicros > LEASE.toNanos() / 1_000) {
      violations.add(
          address
              + " acts on view "
              + number
              + " at "
              + nowMicros
              + " us, replaced at "
              + replacedMicros
              + " us, allowed for "
              + LEASE);
    }
  }

  /** Runs the next event. Returns whether there was one. */
  boolean step() {
    Event event = events.poll();
    if (event == null) {
      return false;
    }
    nowMicros = Math.max(nowMicros, event.atMicros);
    SimulatedNode node = event.node;
    if (event.incarnation >= 0 && event.incarnation != node.incarnation) {
      return true;
    }
    if (node.paused) {
      node.defer(event);
      return true;
    }
    event.task.run();
    if (node.voter != null) {
      checkFailure(node);
      recordCommitted(node.voter.localView().number());
    }
    return true;
  }

  private void checkFailure(SimulatedNode node) {
    Optional<String> failure = node.voter.failure();
    if (failure.isPresent() && !node.disk.isFull()) {
      violations.add(node.address + " stopped: " + failure.get());
    }
  }

  private void recordCommitted(long number) {
    Map.Entry<Long, Long> last = firstCommittedMicros.lastEntry();
    long first = last == null ? 1 : last.getKey() + 1;
    for (long next = first; next <= number; next++) {
      firstCommittedMicros.put(next, nowMicros);
    }
  }

  /** Runs for a span of virtual time. */
  void run(Duration span) {
    until(span, () -> false);
  }

  /** Runs until a condition holds or a span has passed. Returns whether the condition holds. */
  boolean until(Duration span, BooleanSupplier condition) {
    long end = nowMicros + span.toNanos() / 1_000;
    while (!condition.getAsBoolean()) {
      if (events.isEmpty() || events.peek().atMicros > end) {
        nowMicros = end;
        return condition.getAsBoolean();
      }
      step();
    }
    return true;
  }

  /** Returns a running leader that reaches a quorum; empty if there is none. */
  Optional<SimulatedNode> leader() {
    return nodes.values().stream()
        .filter(node -> node.voter != null && !node.paused)
        .filter(node -> node.voter.status().isLeader())
        .filter(node -> node.voter.status().noQuorumSince().isEmpty())
        .findFirst();
  }

  /** Runs until there is a leader that reaches a quorum, for a minute at most, and returns it. */
  SimulatedNode awaitLeader() {
    if (!until(Duration.ofSeconds(60), () -> leader().isPresent())) {
      throw new AssertionError("no leader within 60 s, seed " + seed);
    }
    return leader().get();
  }
}
