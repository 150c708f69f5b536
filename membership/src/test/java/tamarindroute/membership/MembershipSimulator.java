package tamarindroute.membership;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Members in virtual time: ways that lose, delay, double, reorder and are cut; processes stopped,
 * killed, begun anew.
 */
final class MembershipSimulator {

  /** What runs at a node; a seeded defect stands before the machine and changes what it is told. */
  interface SystemUnderTest {
    List<Action> onMessage(Message message, Duration now);

    List<Action> tick(Duration now);

    Membership membership();

    static SystemUnderTest of(Membership membership) {
      return new SystemUnderTest() {
        @Override
        public List<Action> onMessage(Message message, Duration now) {
          return membership.onMessage(message, now);
        }

        @Override
        public List<Action> tick(Duration now) {
          return membership.tick(now);
        }

        @Override
        public Membership membership() {
          return membership;
        }
      };
    }
  }

  /** Sees what nodes are told and what they do, and nothing of their state. */
  interface SimulationObserver {
    default void onDelivery(int node, Message message) {}

    void onActions(int node, List<Action> actions);
  }

  /** One directed way is cut. */
  interface LinkFilter {
    boolean isCut(int from, int to);
  }

  static final class Node {
    final Address address;
    Membership membership;
    SystemUnderTest system;
    boolean killed = true;
    boolean paused;
    long startedNanos;
    long nextTickNanos = Long.MAX_VALUE;
    final ArrayDeque<Message> pendingMessages = new ArrayDeque<>();

    Node(Address address) {
      this.address = address;
    }
  }

  private record Event(long atNanos, long sequence, int node, Message message, Runnable task)
      implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      return atNanos != other.atNanos
          ? Long.compare(atNanos, other.atNanos)
          : Long.compare(sequence, other.sequence);
    }
  }

  private static final int MAX_PENDING_MESSAGES = 1_000;
  private static final long NANOS_PER_MILLI = 1_000_000;

  final List<Node> nodes = new ArrayList<>();
  final List<SimulationObserver> observers = new ArrayList<>();
  final MembershipSettings settings;
  private final Map<Address, Integer> indexByAddress = new HashMap<>();
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final SplittableRandom random;
  private long now;
  private long lastSequence;
  double loss;
  double duplication;
  long minDelayNanos = NANOS_PER_MILLI / 2;
  long maxDelayNanos = 5 * NANOS_PER_MILLI;
  LinkFilter linkFilter = (from, to) -> false;
  java.util.function.IntFunction<MembershipSettings> settingsOf;

  /** What does not come through to one, beside cuts and loss. */
  java.util.function.BiPredicate<Integer, Message> isDropped = (to, message) -> false;

  java.util.function.UnaryOperator<SystemUnderTest> defect = machine -> machine;
  long messages;
  long bytes;

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

  /** All begin; each knows the first few as seeds. */
  MembershipSimulator startJoining(Duration within) {
    for (int i = 0; i < nodes.size(); i++) {
      int index = i;
      schedule(
          Duration.ofNanos((long) (random.nextDouble() * within.toNanos())),
          () -> start(index, 1_000 + index));
    }
    return this;
  }

  /**
   * All begin with everybody known: what a long joined membership is, without the time that joining
   * takes.
   */
  MembershipSimulator startJoined() {
    List<MembershipUpdate> all = new ArrayList<>();
    for (int i = 0; i < nodes.size(); i++) {
      Member member = new Member(nodes.get(i).address, 1_000 + i);
      all.add(new MembershipUpdate(member, MemberState.ALIVE, 0, member.address()));
    }
    for (int i = 0; i < nodes.size(); i++) {
      start(i, 1_000 + i);
      Node node = nodes.get(i);
      Duration at = localTime(node);
      Member self = node.membership.self();
      for (int from = 0; from < all.size(); from += settings.maxUpdatesPerMessage()) {
        Member other = all.get(i == 0 ? 1 : 0).member();
        node.membership.onMessage(
            new Message(
                Message.Kind.WELCOME,
                other,
                self.incarnation(),
                1,
                other,
                all.subList(from, Math.min(all.size(), from + settings.maxUpdatesPerMessage()))),
            at);
      }
      node.membership.clearPending();
      schedule(i);
    }
    return this;
  }

  void start(int index, long incarnation) {
    Node node = nodes.get(index);
    node.killed = false;
    node.paused = false;
    node.pendingMessages.clear();
    node.startedNanos = now - random.nextInt(1_000_000);
    List<Address> seeds = nodes.stream().limit(3).map(other -> other.address).toList();
    node.membership =
        new Membership(
            settingsOf.apply(index), new Member(node.address, incarnation), seeds, localTime(node));
    node.system = defect.apply(SystemUnderTest.of(node.membership));
    node.nextTickNanos = Long.MAX_VALUE;
    schedule(index);
  }

  void kill(int index) {
    nodes.get(index).killed = true;
    nodes.get(index).pendingMessages.clear();
  }

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
      tell(index, node.pendingMessages.poll());
    }
    node.nextTickNanos = Long.MAX_VALUE;
    schedule(index);
  }

  void leave(int index) {
    Node node = nodes.get(index);
    did(index, node.membership.leave(localTime(node)));
    kill(index);
  }

  void schedule(Duration duration, Runnable run) {
    events.add(new Event(now + duration.toNanos(), lastSequence++, -1, null, run));
  }

  Duration now() {
    return Duration.ofNanos(now);
  }

  /** A node's own monotonic time; no two begin at the same. */
  Duration localTime(Node node) {
    return Duration.ofNanos(now - node.startedNanos);
  }

  void run(Duration duration) {
    long until = now + duration.toNanos();
    while (!events.isEmpty() && events.peek().atNanos <= until) {
      Event event = events.poll();
      now = event.atNanos;
      if (event.task != null) {
        event.task.run();
      } else if (event.message != null) {
        arrive(event.node, event.message);
      } else {
        ticked(event);
      }
    }
    now = until;
  }

  private void ticked(Event event) {
    Node node = nodes.get(event.node);
    if (node.nextTickNanos != event.atNanos || node.killed || node.paused) {
      return;
    }
    node.nextTickNanos = Long.MAX_VALUE;
    if (node.membership.untilNextTick(localTime(node)).isZero()) {
      did(event.node, node.system.tick(localTime(node)));
    }
    schedule(event.node);
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
    tell(index, message);
    schedule(index);
  }

  private void tell(int index, Message message) {
    Node node = nodes.get(index);
    observers.forEach(o -> o.onDelivery(index, message));
    did(index, node.system.onMessage(message, localTime(node)));
  }

  private void schedule(int index) {
    Node node = nodes.get(index);
    long at = now + node.membership.untilNextTick(localTime(node)).toNanos();
    if (at < node.nextTickNanos) {
      node.nextTickNanos = at;
      events.add(new Event(at, lastSequence++, index, null, null));
    }
  }

  private void did(int index, List<Action> actions) {
    if (actions.isEmpty()) {
      return;
    }
    observers.forEach(o -> o.onActions(index, actions));
    for (Action action : actions) {
      if (action instanceof Action.Send send) {
        messages++;
        bytes += OutboundMessages.estimatedBytes(send.message().updates().size());
        transmit(index, indexByAddress.get(send.to()), send.message());
      }
    }
  }

  /** Puts a message on its way; also one that a former life sent long ago. */
  void transmit(int from, int to, Message message) {
    if (linkFilter.isCut(from, to) || isDropped.test(to, message)) {
      return;
    }
    int times = random.nextDouble() < duplication ? 2 : 1;
    for (int i = 0; i < times; i++) {
      if (random.nextDouble() >= loss) {
        long at =
            now + minDelayNanos + (long) (random.nextDouble() * (maxDelayNanos - minDelayNanos));
        events.add(new Event(at, lastSequence++, to, message, null));
      }
    }
  }

  /** What a node that runs holds of another; null for nothing. */
  MemberState stateOf(int at, int of) {
    Address address = nodes.get(of).address;
    return nodes.get(at).membership.members().entrySet().stream()
        .filter(entry -> entry.getKey().address().equals(address))
        .map(Map.Entry::getValue)
        .findFirst()
        .orElse(null);
  }
}
