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
final class Sim {

  /** What runs at a node; a seeded defect stands before the machine and changes what it is told. */
  interface Machine {
    List<Action> told(Message message, Duration now);

    List<Action> tick(Duration now);

    Membership inner();

    static Machine of(Membership membership) {
      return new Machine() {
        @Override
        public List<Action> told(Message message, Duration now) {
          return membership.told(message, now);
        }

        @Override
        public List<Action> tick(Duration now) {
          return membership.tick(now);
        }

        @Override
        public Membership inner() {
          return membership;
        }
      };
    }
  }

  /** Sees what nodes are told and what they do, and nothing of their state. */
  interface Observer {
    default void told(int node, Message message) {}

    void did(int node, List<Action> actions);
  }

  /** One directed way is cut. */
  interface Cut {
    boolean at(int from, int to);
  }

  static final class Node {
    final Address address;
    Membership membership;
    Machine machine;
    boolean dead = true;
    boolean stopped;
    long begunAt;
    long tickAt = Long.MAX_VALUE;
    final ArrayDeque<Message> waiting = new ArrayDeque<>();

    Node(Address address) {
      this.address = address;
    }
  }

  private record Event(long at, long number, int node, Message message, Runnable run)
      implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      return at != other.at ? Long.compare(at, other.at) : Long.compare(number, other.number);
    }
  }

  private static final int MOST_WAITING = 1_000;
  private static final long MILLI = 1_000_000;

  final List<Node> nodes = new ArrayList<>();
  final List<Observer> observers = new ArrayList<>();
  final Settings settings;
  private final Map<Address, Integer> places = new HashMap<>();
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final SplittableRandom random;
  private long now;
  private long numbers;
  double loss;
  double doubled;
  long delayMin = MILLI / 2;
  long delayMax = 5 * MILLI;
  Cut cut = (from, to) -> false;
  java.util.function.IntFunction<Settings> settingsOf;

  /** What does not come through to one, beside cuts and loss. */
  java.util.function.BiPredicate<Integer, Message> dropped = (to, message) -> false;

  java.util.function.UnaryOperator<Machine> defect = machine -> machine;
  long messages;
  long bytes;

  Sim(Settings settings, int count, long seed) {
    this.settings = settings;
    this.settingsOf = place -> settings;
    this.random = new SplittableRandom(seed);
    for (int i = 0; i < count; i++) {
      Address address = new Address("10.0." + i / 250 + "." + i % 250, 7_000);
      nodes.add(new Node(address));
      places.put(address, i);
    }
  }

  /** All begin; each knows the first few as seeds. */
  Sim begun(Duration within) {
    for (int i = 0; i < nodes.size(); i++) {
      int place = i;
      after(
          Duration.ofNanos((long) (random.nextDouble() * within.toNanos())),
          () -> start(place, 1_000 + place));
    }
    return this;
  }

  /**
   * All begin with everybody known: what a long joined membership is, without the time that joining
   * takes.
   */
  Sim acquainted() {
    List<Rumour> all = new ArrayList<>();
    for (int i = 0; i < nodes.size(); i++) {
      Member member = new Member(nodes.get(i).address, 1_000 + i);
      all.add(new Rumour(member, Standing.ALIVE, 0, member.address()));
    }
    for (int i = 0; i < nodes.size(); i++) {
      start(i, 1_000 + i);
      Node node = nodes.get(i);
      Duration at = own(node);
      Member self = node.membership.self();
      for (int from = 0; from < all.size(); from += settings.rumours()) {
        Member other = all.get(i == 0 ? 1 : 0).about();
        node.membership.told(
            new Message(
                Message.Kind.WELCOME,
                other,
                self.birth(),
                1,
                other,
                all.subList(from, Math.min(all.size(), from + settings.rumours()))),
            at);
      }
      node.membership.forget();
      schedule(i);
    }
    return this;
  }

  void start(int place, long birth) {
    Node node = nodes.get(place);
    node.dead = false;
    node.stopped = false;
    node.waiting.clear();
    node.begunAt = now - random.nextInt(1_000_000);
    List<Address> seeds = nodes.stream().limit(3).map(n -> n.address).toList();
    node.membership =
        new Membership(settingsOf.apply(place), new Member(node.address, birth), seeds, own(node));
    node.machine = defect.apply(Machine.of(node.membership));
    node.tickAt = Long.MAX_VALUE;
    schedule(place);
  }

  void kill(int place) {
    nodes.get(place).dead = true;
    nodes.get(place).waiting.clear();
  }

  void stop(int place, Duration span) {
    nodes.get(place).stopped = true;
    after(span, () -> goOn(place));
  }

  private void goOn(int place) {
    Node node = nodes.get(place);
    if (!node.stopped || node.dead) {
      return;
    }
    node.stopped = false;
    while (!node.waiting.isEmpty()) {
      tell(place, node.waiting.poll());
    }
    node.tickAt = Long.MAX_VALUE;
    schedule(place);
  }

  void leave(int place) {
    Node node = nodes.get(place);
    did(place, node.membership.leave(own(node)));
    kill(place);
  }

  void after(Duration span, Runnable run) {
    events.add(new Event(now + span.toNanos(), numbers++, -1, null, run));
  }

  Duration now() {
    return Duration.ofNanos(now);
  }

  /** A node's own monotonic time; no two begin at the same. */
  Duration own(Node node) {
    return Duration.ofNanos(now - node.begunAt);
  }

  void run(Duration span) {
    long until = now + span.toNanos();
    while (!events.isEmpty() && events.peek().at <= until) {
      Event event = events.poll();
      now = event.at;
      if (event.run != null) {
        event.run.run();
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
    if (node.tickAt != event.at || node.dead || node.stopped) {
      return;
    }
    node.tickAt = Long.MAX_VALUE;
    if (node.membership.wake(own(node)).isZero()) {
      did(event.node, node.machine.tick(own(node)));
    }
    schedule(event.node);
  }

  private void arrive(int place, Message message) {
    Node node = nodes.get(place);
    if (node.dead) {
      return;
    }
    if (node.stopped) {
      if (node.waiting.size() < MOST_WAITING) {
        node.waiting.add(message);
      }
      return;
    }
    tell(place, message);
    schedule(place);
  }

  private void tell(int place, Message message) {
    Node node = nodes.get(place);
    observers.forEach(o -> o.told(place, message));
    did(place, node.machine.told(message, own(node)));
  }

  private void schedule(int place) {
    Node node = nodes.get(place);
    long at = now + node.membership.wake(own(node)).toNanos();
    if (at < node.tickAt) {
      node.tickAt = at;
      events.add(new Event(at, numbers++, place, null, null));
    }
  }

  private void did(int place, List<Action> actions) {
    if (actions.isEmpty()) {
      return;
    }
    observers.forEach(o -> o.did(place, actions));
    for (Action action : actions) {
      if (action instanceof Action.Send send) {
        messages++;
        bytes += Sends.size(send.message().rumours().size());
        fly(place, places.get(send.to()), send.message());
      }
    }
  }

  /** Puts a message on its way; also one that a former life sent long ago. */
  void fly(int from, int to, Message message) {
    if (cut.at(from, to) || dropped.test(to, message)) {
      return;
    }
    int times = random.nextDouble() < doubled ? 2 : 1;
    for (int i = 0; i < times; i++) {
      if (random.nextDouble() >= loss) {
        long at = now + delayMin + (long) (random.nextDouble() * (delayMax - delayMin));
        events.add(new Event(at, numbers++, to, message, null));
      }
    }
  }

  /** What a node that runs holds of another; null for nothing. */
  Standing standing(int at, int of) {
    Address address = nodes.get(of).address;
    return nodes.get(at).membership.members().entrySet().stream()
        .filter(e -> e.getKey().address().equals(address))
        .map(Map.Entry::getValue)
        .findFirst()
        .orElse(null);
  }
}
