package tamarindroute.vrrp;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Explores all that can happen to some virtual routers within budgets: advertisements that are
 * late, lost or doubled in any order, processes that are stopped for any time, killed and started
 * anew. Time goes in ticks; all of a state's times are kept relative to now, so that equal futures
 * are explored once.
 */
final class ModelCheck {

  /** The machine under test; a seeded defect overrides what it breaks. */
  interface Machine {
    default Election.Step next(
        Election.State state, Election.Event event, Duration now, Election.Settings settings) {
      return Election.next(state, event, now, settings);
    }

    default boolean mayAct(Election.State state, Duration now) {
      return Election.mayAct(state, now);
    }
  }

  static final Machine SOUND = new Machine() {};

  /**
   * What may go wrong: so many losses and doublings, stops (one process at a time), kills; the
   * longest way in ticks.
   */
  record Budget(int losses, int doubled, int stops, int kills, int way) {}

  record Found(int states, int longestOverlap, boolean healed) {}

  private record Message(int to, int from, int priority, int age) {}

  private record Node(Election.State state, boolean stopped, boolean dead) {}

  private record World(List<Node> nodes, List<Message> flying, Budget left, int overlap) {}

  private static final Duration TICK = Duration.ofMillis(10);

  /** Times in states are told as if now were this, which is later than any span. */
  private static final Duration NOW = Duration.ofHours(1);

  private static final int MOST_FLYING = 12;

  private final Machine machine;
  private final List<Election.Settings> settings;
  private final List<Integer> priorities;
  private final int stopAt;

  /** Stops when two act together for more ticks than this: the defect is found. */
  ModelCheck(
      Machine machine, List<Election.Settings> settings, List<Integer> priorities, int stopAt) {
    this.machine = machine;
    this.settings = settings;
    this.priorities = priorities;
    this.stopAt = stopAt;
  }

  Found explore(Budget budget) {
    World first =
        new World(
            settings.stream()
                .map(
                    one ->
                        new Node(
                            Election.initial(priorities.get(settings.indexOf(one)), one),
                            false,
                            true))
                .toList(),
            List.of(),
            budget,
            0);
    for (int i = 0; i < settings.size(); i++) {
      first = started(first, i);
    }
    Set<World> seen = new HashSet<>(Set.of(first));
    ArrayDeque<World> open = new ArrayDeque<>(seen);
    int longest = 0;
    boolean healed = true;
    while (!open.isEmpty()) {
      World world = open.poll();
      longest = Math.max(longest, world.overlap);
      if (longest > stopAt) {
        return new Found(seen.size(), longest, healed);
      }
      if (seen.size() % 16 == 0) {
        healed &= heals(world);
      }
      for (World next : nexts(world)) {
        if (seen.add(next)) {
          open.add(next);
        }
      }
    }
    return new Found(seen.size(), longest, healed);
  }

  /**
   * Whether, with nothing more going wrong, one and only one is active after twelve intervals, and
   * stays so.
   */
  private boolean heals(World from) {
    List<Node> awake = from.nodes.stream().map(n -> new Node(n.state, false, n.dead)).toList();
    if (awake.stream().allMatch(Node::dead)) {
      // Nobody is left to be active; that they may start again is explored as well.
      return true;
    }
    World world = new World(awake, from.flying, new Budget(0, 0, 0, 0, 0), 0);
    for (int tick = 0; tick < 60; tick++) {
      world = tick(world, deliverAll(world));
      long active =
          world.nodes.stream().filter(n -> !n.dead && machine.mayAct(n.state, NOW)).count();
      if (tick >= 48 && active != 1) {
        return false;
      }
    }
    return true;
  }

  private List<World> nexts(World world) {
    List<World> nexts = new ArrayList<>();
    List<World> disturbed = new ArrayList<>(List.of(world));
    Budget left = world.left;
    for (int i = 0; i < world.nodes.size(); i++) {
      Node node = world.nodes.get(i);
      boolean otherStopped = world.nodes.stream().anyMatch(n -> n != node && n.stopped);
      if (node.stopped) {
        disturbed.add(with(world, i, new Node(node.state, false, false), left));
      } else if (left.stops > 0 && !otherStopped && !node.dead) {
        disturbed.add(
            with(
                world,
                i,
                new Node(node.state, true, false),
                new Budget(left.losses, left.doubled, left.stops - 1, left.kills, left.way)));
      }
      if (left.kills > 0 && !node.dead && !node.stopped) {
        disturbed.add(
            with(
                world,
                i,
                new Node(node.state, false, true),
                new Budget(left.losses, left.doubled, left.stops, left.kills - 1, left.way)));
      } else if (node.dead) {
        disturbed.add(started(world, i));
      }
    }
    for (World one : disturbed) {
      for (World delivered : deliveries(one)) {
        nexts.add(tick(delivered, delivered));
      }
    }
    return nexts;
  }

  /** A process starts with nothing known; what it then sends goes out. */
  private World started(World world, int place) {
    Election.State initial = Election.initial(priorities.get(place), settings.get(place));
    return event(
        with(world, place, new Node(initial, false, false), world.left),
        place,
        new Election.Startup());
  }

  private static World with(World world, int place, Node node, Budget left) {
    List<Node> nodes = new ArrayList<>(world.nodes);
    nodes.set(place, node);
    return new World(List.copyOf(nodes), world.flying, left, world.overlap);
  }

  /**
   * Every way in which what flies may come now: each message comes, waits if it may, is lost, or
   * comes and flies on.
   */
  private List<World> deliveries(World world) {
    List<World> all =
        new ArrayList<>(List.of(new World(world.nodes, List.of(), world.left, world.overlap)));
    for (Message message : world.flying) {
      List<World> more = new ArrayList<>();
      for (World one : all) {
        Node to = one.nodes.get(message.to);
        if (to.dead) {
          more.add(one);
          continue;
        }
        // A stopped process's messages wait in its socket, whatever their age.
        if (to.stopped || message.age < one.left.way) {
          more.add(flying(one, message, one.left));
        }
        if (!to.stopped) {
          more.add(heard(one, message));
          if (one.left.doubled > 0) {
            more.add(
                flying(
                    heard(one, message),
                    new Message(message.to, message.from, message.priority, 0),
                    new Budget(
                        one.left.losses,
                        one.left.doubled - 1,
                        one.left.stops,
                        one.left.kills,
                        one.left.way)));
          }
        }
        if (one.left.losses > 0) {
          more.add(
              new World(
                  one.nodes,
                  one.flying,
                  new Budget(
                      one.left.losses - 1,
                      one.left.doubled,
                      one.left.stops,
                      one.left.kills,
                      one.left.way),
                  one.overlap));
        }
      }
      all = more;
    }
    return all;
  }

  private static World flying(World world, Message message, Budget left) {
    // What waits at a stopped process is read at one moment when it goes on: equal messages are
    // one.
    if (world.nodes.get(message.to).stopped
        && world.flying.stream()
            .anyMatch(
                m ->
                    m.to == message.to
                        && m.from == message.from
                        && m.priority == message.priority)) {
      return new World(world.nodes, world.flying, left, world.overlap);
    }
    List<Message> flying = new ArrayList<>(world.flying);
    flying.add(message);
    if (flying.size() > MOST_FLYING) {
      throw new IllegalStateException(
          "more on the way than a model of so short a way can have: " + flying);
    }
    return new World(world.nodes, List.copyOf(flying), left, world.overlap);
  }

  private World deliverAll(World world) {
    World now = new World(world.nodes, List.of(), world.left, world.overlap);
    for (Message message : world.flying) {
      now = now.nodes.get(message.to).dead ? now : heard(now, message);
    }
    return now;
  }

  private World heard(World world, Message message) {
    return event(
        world,
        message.to,
        new Election.AdvertisementReceived(
            message.priority,
            settings.get(message.from).tieBreaker(),
            settings.get(message.from).interval()));
  }

  private World event(World world, int place, Election.Event event) {
    Election.Step step =
        machine.next(world.nodes.get(place).state, event, NOW, settings.get(place));
    World next = with(world, place, new Node(step.state(), false, false), world.left);
    for (Election.Action action : step.actions()) {
      if (action instanceof Election.SendAdvertisement advertise) {
        for (int to = 0; to < settings.size(); to++) {
          if (to != place) {
            next = flying(next, new Message(to, place, advertise.priority(), 0), next.left);
          }
        }
      }
    }
    return next;
  }

  /**
   * Time goes on by one tick; whoever acts at its end is counted before any timer runs, then due
   * timers run.
   */
  private World tick(World before, World delivered) {
    List<Node> nodes =
        delivered.nodes.stream()
            .map(n -> new Node(n.dead ? dead(n.state) : earlier(n.state), n.stopped, n.dead))
            .toList();
    List<Message> flying =
        delivered.flying.stream()
            .map(
                m ->
                    new Message(
                        m.to, m.from, m.priority, Math.min(m.age + 1, delivered.left.way + 1)))
            .toList();
    long acting =
        nodes.stream().filter(n -> !n.stopped && !n.dead && machine.mayAct(n.state, NOW)).count();
    World world = new World(nodes, flying, delivered.left, acting > 1 ? before.overlap + 1 : 0);
    for (int i = 0; i < nodes.size(); i++) {
      Node node = world.nodes.get(i);
      Duration due = node.stopped || node.dead ? null : Election.nextDeadline(node.state);
      if (due != null && due.compareTo(NOW) <= 0) {
        world = event(world, i, new Election.Tick());
      }
    }
    return world;
  }

  private static Election.State dead(Election.State state) {
    return new Election.State(
        Election.Role.INITIALIZE,
        state.priority(),
        state.activeInterval(),
        null,
        null,
        null,
        null,
        null);
  }

  /** The same a tick later: all its times are a tick nearer. Long past is long past. */
  private static Election.State earlier(Election.State s) {
    return new Election.State(
        s.role(),
        s.priority(),
        s.activeInterval(),
        shift(s.activeDownAt()),
        shift(s.advertiseAt()),
        shift(s.leaseUntil()),
        shift(s.preemptableSince()),
        shift(s.lastEventAt()));
  }

  private static Duration shift(Duration time) {
    Duration earliest = NOW.minus(TICK.multipliedBy(6));
    Duration shifted = time == null ? null : time.minus(TICK);
    return shifted == null || shifted.compareTo(earliest) > 0 ? shifted : earliest;
  }
}
