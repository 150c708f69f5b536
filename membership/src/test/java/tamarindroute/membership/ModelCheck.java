package tamarindroute.membership;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiFunction;

/**
 * Explores all that can happen to three members within budgets, from one event to the next: each
 * message may come, be lost, or come again late; at each timer one may be stopped, killed and begun
 * anew with an earlier birth, or ways cut for a while. Times are kept relative to now, so that
 * equal futures are explored once. Draws are left out: with three, all others are asked anyhow.
 */
final class ModelCheck {

  /** What may go wrong: messages lost, doubled late, and one each of these, at any moment. */
  record Budget(int losses, int doubled, int stops, int kills, int cuts) {
    Budget less(int loss, int twice, int stop, int kill, int cut) {
      return new Budget(losses - loss, doubled - twice, stops - stop, kills - kill, cuts - cut);
    }
  }

  /** Which directed ways are cut, as bits of from * 3 + to; who may be held away by it. */
  enum Cut {
    ONE_PAIR(0b000_000_010, -1),
    INTO_ONE(0b000_100_100, 2),
    OUT_OF_ONE(0b011_000_000, 2);

    private final int ways;
    private final int excused;

    Cut(int ways, int excused) {
      this.ways = ways;
      this.excused = excused;
    }

    boolean at(int from, int to) {
      return (ways & 1 << from * 3 + to) != 0;
    }
  }

  record Found(int states, List<String> breaches, int away) {}

  private record Fly(int from, int to, long at, Message message, boolean waits) {}

  private static final class World {
    final Membership[] machines = new Membership[3];
    final long[] stoppedUntil = {-1, -1, -1};
    final long[] startAt = {-1, -1, -1};
    List<Fly> flying = new ArrayList<>();
    Cut cut;
    long cutUntil = -1;
    Budget left;
    long now;

    /** Who may be held away from some moment on, as bits. */
    int excused;

    World copy(int changed) {
      World copy = new World();
      for (int i = 0; i < 3; i++) {
        copy.machines[i] = i == changed && machines[i] != null ? machines[i].copy() : machines[i];
        copy.stoppedUntil[i] = stoppedUntil[i];
        copy.startAt[i] = startAt[i];
      }
      copy.flying = new ArrayList<>(flying);
      copy.cut = cut;
      copy.cutUntil = cutUntil;
      copy.left = left;
      copy.now = now;
      copy.excused = excused;
      return copy;
    }

    /** A message with its number told from the last that whoever asked gave out. */
    private List<Object> told(Fly fly) {
      Message m = fly.message;
      int asker =
          switch (m.kind()) {
            case PROBE, PROBE_FOR -> fly.from;
            case ACK, NACK -> fly.to;
            default -> -1;
          };
      long number =
          asker < 0 || machines[asker] == null || m.number() == 0
              ? m.number()
              : machines[asker].sinceLast(m.number());
      return List.of(
          m.kind(), m.from(), m.toBirth(), asker < 0 ? -1 : 0, number, m.about(), m.rumours());
    }

    Object key() {
      List<Object> key = new ArrayList<>();
      for (int i = 0; i < 3; i++) {
        key.add(machines[i] == null ? "" : machines[i].key(Duration.ofNanos(now)));
        key.add(stoppedUntil[i] < 0 ? -1 : stoppedUntil[i] - now);
        key.add(startAt[i] < 0 ? -1 : startAt[i] - now);
      }
      flying.forEach(
          f -> key.add(List.of(f.from, f.to, f.waits ? 0 : f.at - now, told(f), f.waits)));
      key.add(List.of(cut == null ? "" : cut, cutUntil < 0 ? -1 : cutUntil - now, left, excused));
      return key;
    }
  }

  private static final long MILLI = 1_000_000;
  static final Settings SMALL =
      new Settings(
          Duration.ofMillis(1_000),
          Duration.ofMillis(100),
          Duration.ofMillis(2_000),
          2,
          5,
          2,
          5,
          8,
          1_000_000,
          8,
          Settings.Guards.ALL);
  static final long PERIOD = SMALL.period().toNanos();
  static final long STOP = SMALL.pause().toNanos();
  private static final long CUT = 9 * PERIOD;
  private static final long DOWN = 2 * PERIOD;
  private static final long WAY = 10 * MILLI;
  private static final long LATE = 3 * PERIOD;
  private static final int WRAP = 6;

  private final Settings told;
  private final List<Cut> cuts;
  private final long stop;

  /** What a seeded defect makes of a message before its machine is told. */
  private final BiFunction<Membership, Message, Message> defect;

  private final List<String> breaches = new ArrayList<>();
  private int away;

  ModelCheck(Settings told, List<Cut> cuts) {
    this(told, cuts, STOP, (machine, message) -> message);
  }

  ModelCheck(
      Settings told, List<Cut> cuts, long stop, BiFunction<Membership, Message, Message> defect) {
    this.told = told;
    this.cuts = cuts;
    this.stop = stop;
    this.defect = defect;
  }

  /** Until no new state is left, more are found than told, or a rule is broken. */
  Found explore(Budget budget, int most) {
    World first = first(budget);
    Set<Object> seen = new HashSet<>(Set.of(first.key()));
    ArrayDeque<World> open = new ArrayDeque<>(List.of(first));
    while (!open.isEmpty() && breaches.isEmpty()) {
      World world = open.poll();
      for (World next : nexts(world)) {
        if (seen.add(next.key())) {
          open.add(next);
          if (seen.size() % 256 == 0 && !heals(next)) {
            breaches.add("does not heal");
          }
        }
      }
      if (seen.size() > most) {
        breaches.add("more than " + most + " states");
      }
    }
    return new Found(seen.size(), breaches, away);
  }

  /** All joined, with nothing to tell; then a while, for the way in to be behind them. */
  private World first(Budget budget) {
    World world = new World();
    world.left = new Budget(0, 0, 0, 0, 0);
    for (int i = 0; i < 3; i++) {
      world.now = (1 + 37L * i) * MILLI;
      world.machines[i] = machine(i, 1_000, world.now);
      for (int other = 0; other < 3; other++) {
        if (other != i) {
          Member from = new Member(address(other), 1_000);
          world.machines[i].told(
              new Message(Message.Kind.WELCOME, from, 1_000, 1, from, List.of()),
              Duration.ofNanos(world.now));
        }
      }
      world.machines[i].forget();
    }
    long until = world.now + 10 * PERIOD;
    while (world.now < until) {
      world = nexts(world).get(0);
    }
    world.left = budget;
    return world;
  }

  private Membership machine(int place, long birth, long now) {
    List<Address> seeds =
        birth == 1_000 ? List.of() : List.of(address((place + 1) % 3), address((place + 2) % 3));
    return new Membership(
        told, new Member(address(place), birth), seeds, Duration.ofNanos(now), new Draws(0), WRAP);
  }

  private static Address address(int place) {
    return new Address("m" + place, 7_000);
  }

  /** The first thing that happens next, in every way in which it may. */
  private List<World> nexts(World world) {
    long at = Long.MAX_VALUE;
    int timer = -1;
    for (int i = 0; i < 3; i++) {
      long due = due(world, i);
      if (due < at) {
        at = due;
        timer = i;
      }
    }
    Fly first = null;
    for (Fly fly : world.flying) {
      if (!fly.waits && fly.at <= at && (first == null || fly.at < first.at)) {
        first = fly;
      }
    }
    if (world.cutUntil >= 0 && world.cutUntil <= (first == null ? at : first.at)) {
      World healed = world.copy(-1);
      healed.now = Math.max(world.now, world.cutUntil);
      healed.cut = null;
      healed.cutUntil = -1;
      return List.of(healed);
    }
    return first != null ? arrivals(world, first) : timers(world, timer, at);
  }

  private static long due(World world, int place) {
    if (world.startAt[place] >= 0) {
      return world.startAt[place];
    }
    if (world.stoppedUntil[place] >= 0) {
      return world.stoppedUntil[place];
    }
    return world.now + world.machines[place].wake(Duration.ofNanos(world.now)).toNanos();
  }

  private List<World> arrivals(World world, Fly fly) {
    List<World> nexts = new ArrayList<>();
    World without = world.copy(-1);
    without.now = Math.max(world.now, fly.at);
    without.flying.remove(fly);
    if (world.machines[fly.to] == null || world.cut != null && world.cut.at(fly.from, fly.to)) {
      return List.of(without);
    }
    if (world.stoppedUntil[fly.to] >= 0) {
      without.flying.add(new Fly(fly.from, fly.to, 0, fly.message, true));
      return List.of(without);
    }
    nexts.add(told(without, fly));
    if (world.left.losses > 0) {
      World lost = without.copy(-1);
      lost.left = lost.left.less(1, 0, 0, 0, 0);
      nexts.add(lost);
    }
    if (world.left.doubled > 0) {
      World twice = told(without, fly);
      twice.left = twice.left.less(0, 1, 0, 0, 0);
      twice.flying.add(new Fly(fly.from, fly.to, without.now + LATE, fly.message, false));
      nexts.add(twice);
    }
    return nexts;
  }

  private World told(World world, Fly fly) {
    World next = world.copy(fly.to);
    long birth = birthHeld(next, fly.to, fly.message.from().address());
    Membership machine = next.machines[fly.to];
    boolean otherLife =
        fly.message.toBirth() != 0 && fly.message.toBirth() != machine.self().birth();
    List<Action> actions =
        machine.told(defect.apply(machine, fly.message), Duration.ofNanos(next.now));
    if (otherLife
        && actions.stream()
            .anyMatch(
                action ->
                    action instanceof Action.Reborn
                        || action instanceof Action.Send send
                            && send.message().kind() == Message.Kind.ACK)) {
      breaches.add("what was meant for a former self of " + fly.to + " was taken: " + fly.message);
    }
    did(next, fly.to, actions);
    if (birthHeld(next, fly.to, fly.message.from().address()) < birth) {
      breaches.add("a former self of " + fly.message.from() + " counts at " + fly.to);
    }
    return next;
  }

  private static long birthHeld(World world, int at, Address of) {
    return world.machines[at].members().keySet().stream()
        .filter(m -> m.address().equals(of))
        .mapToLong(Member::birth)
        .findFirst()
        .orElse(0);
  }

  private List<World> timers(World world, int place, long at) {
    List<World> nexts = new ArrayList<>();
    World now = world.copy(-1);
    now.now = Math.max(world.now, at);
    if (now.startAt[place] >= 0) {
      now.startAt[place] = -1;
      now.machines[place] = machine(place, 500, now.now);
      return List.of(now);
    }
    if (now.stoppedUntil[place] >= 0) {
      return List.of(goneOn(now, place));
    }
    World ticked = now.copy(place);
    did(ticked, place, ticked.machines[place].tick(Duration.ofNanos(ticked.now)));
    nexts.add(ticked);
    nexts.addAll(faults(now, place));
    return nexts;
  }

  private List<World> faults(World world, int place) {
    List<World> faults = new ArrayList<>();
    if (world.left.stops > 0) {
      World stopped = world.copy(-1);
      stopped.left = world.left.less(0, 0, 1, 0, 0);
      stopped.stoppedUntil[place] = world.now + stop;
      faults.add(stopped);
    }
    if (world.left.kills > 0) {
      World killed = world.copy(-1);
      killed.left = world.left.less(0, 0, 0, 1, 0);
      killed.machines[place] = null;
      killed.startAt[place] = world.now + DOWN;
      faults.add(killed);
    }
    for (Cut cut : world.left.cuts > 0 && world.cut == null ? cuts : List.<Cut>of()) {
      World parted = world.copy(-1);
      parted.left = world.left.less(0, 0, 0, 0, 1);
      parted.cut = cut;
      parted.cutUntil = world.now + CUT;
      parted.excused |= cut.excused < 0 ? 0 : 1 << cut.excused;
      faults.add(parted);
    }
    return faults;
  }

  /** What waited is read first, as a socket's is; the first word has to be that it was stopped. */
  private World goneOn(World world, int place) {
    World next = world.copy(place);
    next.stoppedUntil[place] = -1;
    List<Fly> waiting = next.flying.stream().filter(f -> f.waits && f.to == place).toList();
    next.flying.removeAll(waiting);
    Duration now = Duration.ofNanos(next.now);
    List<Action> actions = new ArrayList<>();
    waiting.forEach(fly -> actions.addAll(next.machines[place].told(fly.message, now)));
    actions.addAll(next.machines[place].tick(now));
    if (!(actions.get(0) instanceof Action.Touch touch)
        || touch.state().condition() != Action.Condition.PAUSED) {
      breaches.add(place + " did not find out that it was stopped");
    }
    did(next, place, actions);
    return next;
  }

  private void did(World world, int place, List<Action> actions) {
    for (Action action : actions) {
      if (action instanceof Action.Send send) {
        int to = send.to().host().charAt(1) - '0';
        world.flying.add(new Fly(place, to, world.now + WAY, send.message(), false));
      } else if (action instanceof Action.Became became && became.standing() == Standing.AWAY) {
        heldAway(world, place, became.about());
      }
    }
  }

  private void heldAway(World world, int by, Member about) {
    away++;
    int of = about.address().host().charAt(1) - '0';
    Membership subject = world.machines[of];
    if (subject == null || !subject.self().equals(about)) {
      return;
    }
    if ((world.excused & 1 << of) == 0) {
      breaches.add(by + " holds " + of + " away, which lives and can be reached");
    } else if (world.cut != null
        && world.stoppedUntil[of] < 0
        && subject.touch(Duration.ofNanos(world.now)).inTouch()) {
      breaches.add(of + " holds itself in touch while " + by + " holds it away");
    }
  }

  /**
   * Whether, with nothing more going wrong, all hold all to be alive in the end, and themselves in
   * touch.
   */
  private boolean heals(World from) {
    World world = from.copy(-1);
    for (int i = 0; i < 3; i++) {
      world.machines[i] = world.machines[i] == null ? null : world.machines[i].copy();
    }
    world.left = new Budget(0, 0, 0, 0, 0);
    world.cut = null;
    world.cutUntil = -1;
    long until = world.now + 60 * PERIOD;
    while (world.now < until) {
      world = nexts(world).get(0);
    }
    for (Membership machine : world.machines) {
      if (!machine.touch(Duration.ofNanos(world.now)).inTouch()
          || machine.members().size() != 2
          || !Set.of(Standing.ALIVE).containsAll(machine.members().values())) {
        return false;
      }
    }
    return true;
  }
}
