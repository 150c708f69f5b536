package tamarindroute.membership;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.BiPredicate;
import java.util.function.IntFunction;
import java.util.function.UnaryOperator;

/**
 * Discrete-event simulation of members in virtual time. Links lose, delay, duplicate and reorder
 * messages or are cut. Processes can be paused, killed and restarted.
 */
final class MembershipSimulator {

  /** A simulated process. */
  static final class Node {
    final Address address;
    Membership membership;
    SystemUnderTest system;
    boolean killed = true;
    boolean paused;

    /** Virtual time at which the node's own clock was zero. */
    long startedNanos;

    /** Virtual time of the earliest scheduled tick; other ticks of the node are ignored. */
    long nextTickNanos = Long.MAX_VALUE;

    /** Messages received while the process is paused. */
    final ArrayDeque<Message> pendingMessages = new ArrayDeque<>();

    Node(Address address) {
      this.address = address;
    }
  }

  /** Value of {@link SimulationEvent#node} for a task. */
  static final int NO_NODE = -1;

  /** Messages kept for a paused process, bounded like those in a socket's receive buffer. */
  private static final int MAX_PENDING_MESSAGES = 1_000;

  private static final int SEED_COUNT = 3;

  /** Incarnation of the first member; the next members have the next numbers. */
  private static final long FIRST_INCARNATION = 1_000;

  private static final long NANOS_PER_MILLI = 1_000_000;

  final List<Node> nodes = new ArrayList<>();
  final List<SimulationObserver> observers = new ArrayList<>();
  final MembershipSettings settings;
  private final Map<Address, Integer> indexByAddress = new HashMap<>();
  private final PriorityQueue<SimulationEvent> events = new PriorityQueue<>();
  private final SplittableRandom random;
  private long nowNanos;
  private long lastSequence;
  double lossProbability;
  double duplicationProbability;
  long minDelayNanos = NANOS_PER_MILLI / 2;
  long maxDelayNanos = 5 * NANOS_PER_MILLI;
  LinkFilter linkFilter = (from, to) -> false;

  /** Settings of a member by index. */
  IntFunction<MembershipSettings> settingsOf;

  /** Whether a message to a node is dropped, in addition to cut links and random loss. */
  BiPredicate<Integer, Message> isDropped = (to, message) -> false;

  /** Wraps each started member, to seed a defect. */
  UnaryOperator<SystemUnderTest> defect = system -> system;

  long sentMessages;
  long sentBytes;

  MembershipSimulator(MembershipSettings settings, int count, long seed) {
    this.settings = settings;
    this.settingsOf = index -> settings;
    this.random = new SplittableRandom(seed);
    for (int i = 0; i < count; i++) {
      Address address = new Address("10.0." + i / 250 + "." + i % 250, 7_000);
      nodes.add(new Node(address));
      indexByAddress.put(address, i);
    }
  }

  /** Starts all members at random times within the given time; the first three are the seeds. */
  MembershipSimulator startJoining(Duration within) {
    for (int i = 0; i < nodes.size(); i++) {
      int index = i;
      schedule(
          Duration.ofNanos((long) (random.nextDouble() * within.toNanos())),
          () -> start(index, FIRST_INCARNATION + index));
    }
    return this;
  }

  /** Starts all members as if they had joined long ago, so that each knows all others. */
  MembershipSimulator startJoined() {
    List<MembershipUpdate> aliveUpdates = new ArrayList<>();
    for (int i = 0; i < nodes.size(); i++) {
      Member member = new Member(nodes.get(i).address, FIRST_INCARNATION + i);
      aliveUpdates.add(new MembershipUpdate(member, MemberState.ALIVE, 0, member.address()));
    }
    for (int i = 0; i < nodes.size(); i++) {
      start(i, FIRST_INCARNATION + i);
      Member sender = aliveUpdates.get(i == 0 ? 1 : 0).member();
      welcome(nodes.get(i), sender, aliveUpdates);
      scheduleTick(i);
    }
    return this;
  }

  private void welcome(Node node, Member from, List<MembershipUpdate> aliveUpdates) {
    long incarnation = node.membership.self().incarnation();
    int limit = settings.maxUpdatesPerMessage();
    for (int start = 0; start < aliveUpdates.size(); start += limit) {
      List<MembershipUpdate> updates =
          aliveUpdates.subList(start, Math.min(aliveUpdates.size(), start + limit));
      node.membership.onMessage(
          new Message(Message.Kind.WELCOME, from, incarnation, 1, from, updates), localTime(node));
    }
    node.membership.clearPending();
  }

  /** Starts or restarts the process of a node. */
  void start(int index, long incarnation) {
    Node node = nodes.get(index);
    node.killed = false;
    node.paused = false;
    node.pendingMessages.clear();
    node.startedNanos = nowNanos - random.nextInt(1_000_000);
    List<Address> seeds = nodes.stream().limit(SEED_COUNT).map(other -> other.address).toList();
    node.membership =
        new Membership(
            settingsOf.apply(index), new Member(node.address, incarnation), seeds, localTime(node));
    node.system = defect.apply(SystemUnderTest.of(node.membership));
    node.nextTickNanos = Long.MAX_VALUE;
    scheduleTick(index);
  }

  /** Ends a process without a leave message. */
  void kill(int index) {
    nodes.get(index).killed = true;
    nodes.get(index).pendingMessages.clear();
  }

  /** Pauses a process for the given time, then delivers the messages it received meanwhile. */
  void pause(int index, Duration duration) {
    nodes.get(index).paused = true;
    schedule(duration, () -> resume(index));
  }

  private void resume(int index) {
    Node node = nodes.get(index);
    if (!node.paused || node.killed) {
      return;
    }
    node.paused = false;
    while (!node.pendingMessages.isEmpty()) {
      deliver(index, node.pendingMessages.poll());
    }
    node.nextTickNanos = Long.MAX_VALUE;
    scheduleTick(index);
  }

  /** Makes a member announce that it leaves, then ends its process. */
  void leave(int index) {
    Node node = nodes.get(index);
    perform(index, node.membership.leave(localTime(node)));
    kill(index);
  }

  /** Runs a task after the given time. */
  void schedule(Duration delay, Runnable task) {
    events.add(
        new SimulationEvent(nowNanos + delay.toNanos(), lastSequence++, NO_NODE, null, task));
  }

  Duration now() {
    return Duration.ofNanos(nowNanos);
  }

  /** Returns the time of a node's monotonic clock. The clocks of nodes differ. */
  Duration localTime(Node node) {
    return Duration.ofNanos(nowNanos - node.startedNanos);
  }

  /** Advances the virtual time by the given duration and runs all events up to then. */
  void run(Duration duration) {
    long endNanos = nowNanos + duration.toNanos();
    while (!events.isEmpty() && events.peek().atNanos() <= endNanos) {
      SimulationEvent event = events.poll();
      nowNanos = event.atNanos();
      if (event.task() != null) {
        event.task().run();
      } else if (event.message() != null) {
        arrive(event.node(), event.message());
      } else {
        tick(event);
      }
    }
    nowNanos = endNanos;
  }

  private void tick(SimulationEvent event) {
    Node node = nodes.get(event.node());
    if (node.nextTickNanos != event.atNanos() || node.killed || node.paused) {
      return;
    }
    node.nextTickNanos = Long.MAX_VALUE;
    if (node.membership.untilNextTick(localTime(node)).isZero()) {
      perform(event.node(), node.system.tick(localTime(node)));
    }
    scheduleTick(event.node());
  }

  private void arrive(int index, Message message) {
    Node node = nodes.get(index);
    if (node.killed) {
      return;
    }
    if (node.paused) {
      if (node.pendingMessages.size() < MAX_PENDING_MESSAGES) {
        node.pendingMessages.add(message);
      }
      return;
    }
    deliver(index, message);
    scheduleTick(index);
  }

  private void deliver(int index, Message message) {
    Node node = nodes.get(index);
    observers.forEach(observer -> observer.onDelivery(index, message));
    perform(index, node.system.onMessage(message, localTime(node)));
  }

  private void scheduleTick(int index) {
    Node node = nodes.get(index);
    long atNanos = nowNanos + node.membership.untilNextTick(localTime(node)).toNanos();
    if (atNanos < node.nextTickNanos) {
      node.nextTickNanos = atNanos;
      events.add(new SimulationEvent(atNanos, lastSequence++, index, null, null));
    }
  }

  private void perform(int index, List<Action> actions) {
    if (actions.isEmpty()) {
      return;
    }
    observers.forEach(observer -> observer.onActions(index, actions));
    for (Action action : actions) {
      if (action instanceof Action.Send send) {
        sentMessages++;
        sentBytes += OutboundMessages.estimatedBytes(send.message().updates().size());
        transmit(index, indexByAddress.get(send.to()), send.message());
      }
    }
  }

  /** Sends a message over a link; it may also be an old one that a test replays. */
  void transmit(int from, int to, Message message) {
    if (linkFilter.isCut(from, to) || isDropped.test(to, message)) {
      return;
    }
    int times = random.nextDouble() < duplicationProbability ? 2 : 1;
    for (int i = 0; i < times; i++) {
      if (random.nextDouble() >= lossProbability) {
        long atNanos =
            nowNanos
                + minDelayNanos
                + (long) (random.nextDouble() * (maxDelayNanos - minDelayNanos));
        events.add(new SimulationEvent(atNanos, lastSequence++, to, message, null));
      }
    }
  }

  /** Returns the status that a node's member reports of itself. */
  LocalStatus localStatus(int index) {
    Node node = nodes.get(index);
    return node.membership.localStatus(localTime(node));
  }

  /** Returns the state of a node in the table of another; empty if it is not in the table. */
  Optional<MemberState> stateOf(int observer, int subject) {
    Address address = nodes.get(subject).address;
    return nodes.get(observer).membership.members().entrySet().stream()
        .filter(entry -> entry.getKey().address().equals(address))
        .map(Map.Entry::getValue)
        .findFirst();
  }
}
