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
import tamarindroute.agreement.Leased;
import tamarindroute.agreement.proto.WRaft;
import tamarindroute.agreement.store.Memory;
import tamarindroute.agreement.wire.Heard;
import tamarindroute.agreement.wire.Words;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;

/**
 * Voters and members in virtual time: one order of events for a seed, ways that lose and are cut,
 * clocks that differ.
 */
final class World {

  static final Duration LEASE = Desk.LEASE;

  final List<Member> founders = new ArrayList<>();
  final Map<Address, Node> nodes = new HashMap<>();
  final Set<List<Address>> cuts = new HashSet<>();
  final List<String> breaches = new ArrayList<>();

  /** When each number of the view was first seen agreed by anyone. */
  final TreeMap<Long, Long> agreed = new TreeMap<>();

  final Map<List<Object>, Member> votes = new HashMap<>();
  int loss;

  /** The library's last message to and from each. */
  final Map<Address, byte[]> lastTo = new HashMap<>();

  final Map<Address, byte[]> lastFrom = new HashMap<>();
  int acts;
  int refusedActs;
  private final QueryPolicy reading;
  long micros;

  private record Event(long at, long order, Node node, int life, Runnable task) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (one, other) ->
              one.at != other.at
                  ? Long.compare(one.at, other.at)
                  : Long.compare(one.order, other.order));
  private final long seed;
  private long order;
  private long chances;

  World(long seed, int voters) {
    this(seed, voters, QueryPolicy.LINEARIZABLE);
  }

  World(long seed, int voters, QueryPolicy reading) {
    this.seed = seed;
    this.reading = reading;
    for (int i = 0; i < voters; i++) {
      founders.add(new Member(address(i), 100 + i));
    }
    founders.forEach(one -> node(one.address()).start(one.birth()));
  }

  List<Address> told() {
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

  int chance(int below) {
    CRC32 sum = new CRC32();
    sum.update(ByteBuffer.allocate(16).putLong(seed).putLong(chances++).flip());
    return (int) (sum.getValue() % below);
  }

  void cut(int from, int to, boolean is) {
    List<Address> way = List.of(address(from), address(to));
    if (is) {
      cuts.add(way);
    } else {
      cuts.remove(way);
    }
  }

  void cutOff(int one, int of, boolean is) {
    for (int other = 0; other < of; other++) {
      if (other != one) {
        cut(one, other, is);
        cut(other, one, is);
      }
    }
  }

  private void at(long time, Node node, Runnable task) {
    events.add(new Event(time, order++, node, node.life, task));
  }

  private void send(Address from, Address to, byte[] message) {
    watch(from, to, message);
    Node target = nodes.get(to);
    if (target == null || cuts.contains(List.of(from, to)) || chance(100) < loss) {
      return;
    }
    long way = 1_000 + chance(20_000);
    events.add(new Event(micros + way, order++, target, -1, () -> target.received(from, message)));
    if (loss > 0 && chance(100) < loss) {
      events.add(
          new Event(micros + 3 * way, order++, target, -1, () -> target.received(from, message)));
    }
  }

  /** A voter gives its vote to one candidate a term, whatever it forgot. */
  private void watch(Address from, Address to, byte[] message) {
    Heard heard = Heard.of(message).orElse(null);
    if (heard instanceof Heard.OfLibrary) {
      lastTo.put(to, message);
      lastFrom.put(from, message);
    }
    if (heard instanceof Heard.OfLibrary it
        && it.message().getFlag()
        && it.message().getKind() == WRaft.Kind.VOTE_RESPONSE) {
      Member voter = Words.from(it.message().getSender());
      Member before = votes.putIfAbsent(List.of(voter, it.message().getTerm()), it.to());
      if (before != null && !before.equals(it.to())) {
        breaches.add(voter + " voted twice in term " + it.message().getTerm());
      }
    }
  }

  boolean step() {
    Event event = events.poll();
    if (event == null) {
      return false;
    }
    micros = Math.max(micros, event.at);
    Node node = event.node;
    if (event.life >= 0 && event.life != node.life) {
      return true;
    }
    if (node.paused) {
      node.backlog.add(event);
      return true;
    }
    event.task.run();
    if (node.voter != null) {
      if (node.voter.failure().isPresent() && !node.disk.full) {
        breaches.add(node.address + " stopped: " + node.voter.failure().get());
      }
      long number = node.voter.view().number();
      Map.Entry<Long, Long> last = agreed.lastEntry();
      for (long next = last == null ? 1 : last.getKey() + 1; next <= number; next++) {
        agreed.put(next, micros);
      }
    }
    return true;
  }

  void run(Duration span) {
    until(span, () -> false);
  }

  boolean until(Duration span, BooleanSupplier met) {
    long end = micros + span.toNanos() / 1_000;
    while (!met.getAsBoolean()) {
      if (events.isEmpty() || events.peek().at > end) {
        micros = end;
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
                    && one.voter.state().leads()
                    && one.voter.state().noMajoritySince().isEmpty())
        .findFirst();
  }

  Node awaitLeader() {
    if (!until(Duration.ofSeconds(60), () -> leader().isPresent())) {
      throw new AssertionError("no leader within a minute, seed " + seed);
    }
    return leader().get();
  }

  /** One process: its clock, its disk; a voter, a member that holds the view, or both. */
  final class Node implements Owner {

    final Address address;
    Memory disk = new Memory();
    Voter voter;
    Leased leased;
    boolean paused;
    int life;
    final List<Agreement.State> told = new ArrayList<>();
    private final List<Event> backlog = new ArrayList<>();

    /** Clocks differ by up to four in a thousand, either way, and start anywhere. */
    private final long perMille = 996 + chance(9);

    private final long offset = chance(1_000_000);

    Node(Address address) {
      this.address = address;
      this.leased = Leased.none(new Member(address, 1));
    }

    void start(long birth) {
      life++;
      try {
        voter =
            new Voter(
                this,
                (to, message) -> World.this.send(address, to, message),
                disk,
                new Member(address, birth),
                told(),
                told::add,
                reading);
      } catch (IOException failed) {
        throw new UncheckedIOException(failed);
      }
    }

    /** Gone at once; of what was not forced to the disk some bytes are there. */
    void kill() {
      life++;
      voter = null;
      backlog.clear();
      paused = false;
      disk = disk.crashed(chance(200));
    }

    void pause(boolean is) {
      paused = is;
      if (!is) {
        backlog.forEach(
            one -> events.add(new Event(micros, one.order, one.node, one.life, one.task)));
        backlog.clear();
      }
    }

    /**
     * Another life of a member that holds the view; answers to the former one's askings are still
     * on their way.
     */
    void holdAnew(List<Address> voters) {
      life++;
      leased = Leased.none(new Member(address, life + 1));
      hold(voters);
    }

    /** Holds the view under lease from now on, and acts on it now and then. */
    void hold(List<Address> voters) {
      schedule(() -> hold(voters), Duration.ofMillis(200 + chance(200)));
      act();
      if (leased.due(now(), LEASE)) {
        Address to = leased.whom(voters);
        leased = leased.asked(now());
        World.this.send(address, to, Words.ask(leased));
      }
    }

    /**
     * What it acts on was not replaced longer ago than a lease: by the world's time, not by
     * anyone's clock.
     */
    void act() {
      if (leased.held(now()).isEmpty()) {
        refusedActs++;
        return;
      }
      acts++;
      long number = leased.held(now()).get().number();
      Long replaced = agreed.get(number + 1);
      if (replaced != null && micros - replaced > LEASE.toNanos() / 1_000) {
        breaches.add(
            address + " acts on view " + number + " at " + micros + ", replaced at " + replaced);
      }
    }

    private void received(Address from, byte[] message) {
      if (paused) {
        throw new IllegalStateException("a paused one runs");
      }
      if (Heard.of(message).orElse(null) instanceof Heard.Answered it) {
        leased = leased.answered(it.answer());
      } else if (voter != null) {
        voter.received(from, message);
      }
    }

    @Override
    public void execute(Runnable task) {
      at(micros, this, task);
    }

    @Override
    public void schedule(Runnable task, Duration after) {
      at(micros + after.toNanos() / perMille, this, task);
    }

    @Override
    public Duration now() {
      return Duration.ofNanos((offset + micros) * perMille);
    }
  }
}
