package tamarindroute.windows;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import tamarindroute.windows.MaintenanceWindow.Phase;

/**
 * All that can happen to two windows on three caches that cover one range, with two gateways that
 * both think they lead: kills between any two steps, cuts, puts that come late, wishes withdrawn,
 * caches that fail, restart or never return. Both judge before either's put is taken, and either
 * may be taken first.
 */
final class CoordinatorModel {
  /** The machine under test; a seeded defect overrides what it breaks. */
  interface Machine {
    default WindowCoordinator.Transition next(
        WindowCoordinator.State state,
        WindowCoordinator.Event event,
        Duration now,
        boolean first,
        WindowCoordinator.CoverageAssessor assessor) {
      return WindowCoordinator.next(state, event, now, SETTINGS, assessor);
    }

    /** Whether the agreed view takes a put. */
    default boolean takes(long number, long expected) {
      return number == expected;
    }

    /** What the gateways' judge counts as out. */
    default SortedSet<String> counts(SortedSet<String> out) {
      return out;
    }
  }

  static final Machine SOUND = new Machine() {};
  static final WindowCoordinator.Settings SETTINGS =
      new WindowCoordinator.Settings(s(2), s(4), s(3), s(2), s(60));

  record Budget(
      int kills,
      int cuts,
      int late,
      int withdrawals,
      int fails,
      int restarts,
      int losses,
      int all) {
    Budget less(int... by) {
      return new Budget(
          kills - by[0],
          cuts - by[1],
          late - by[2],
          withdrawals - by[3],
          fails - by[4],
          restarts - by[5],
          losses - by[6],
          all - 1);
    }
  }

  /** {@code gone} is the first breach of a rule that was found, or null. */
  record Found(int states, String gone) {}

  private record Gateway(
      WindowCoordinator.State state, boolean dead, boolean first, int cutFor, int revision) {}

  private record Cache(int birth, boolean up, int warmAt, boolean failed, boolean lost) {}

  private record World(
      int time,
      long number,
      SortedMap<String, MaintenanceWindow> entries,
      List<Gateway> gateways,
      List<WindowCoordinator.Propose> late,
      List<Cache> caches,
      int opened,
      Budget left) {}

  private static final List<String> NAMES = List.of("a", "b", "c");
  private static final int LEASE = 2;

  /** Of so many states one is played to its end: that takes as long as some hundred steps. */
  private static final int ENDED = 32;

  private final Machine machine;
  private final int horizon;
  private String gone;

  CoordinatorModel(Machine machine, int horizon) {
    this.machine = machine;
    this.horizon = horizon;
  }

  static Duration s(int seconds) {
    return Duration.ofSeconds(seconds);
  }

  private final WindowCoordinator.CoverageAssessor assessor =
      new WindowCoordinator.CoverageAssessor() {
        @Override
        public WindowCoordinator.Slot findSlot(
            MaintenanceWindow asked, Collection<MaintenanceWindow> others, Duration now) {
          Duration start = asked.earliest().compareTo(now) > 0 ? asked.earliest() : now;
          for (MaintenanceWindow other : others) {
            Duration warm = other.end().plus(s(2));
            start = warm.compareTo(start) > 0 ? warm : start;
          }
          return new WindowCoordinator.Slot(start, null);
        }

        @Override
        public Plan.Shortage shortage(SortedSet<String> out, boolean reserve, Duration now) {
          int left = NAMES.size() - machine.counts(out).size();
          int need = reserve ? 2 : 1;
          return left >= need
              ? null
              : new Plan.Shortage(Plan.ShortageKind.NO_EDGE, 0, out.first(), need, left, now);
        }

        @Override
        public Set<String> caches() {
          return new TreeSet<>(NAMES);
        }
      };

  Found explore(Budget budget) {
    List<Gateway> gateways = List.of(started(1, true), started(1, true));
    Cache cache = new Cache(1, true, 0, false, false);
    World first =
        new World(
            0, 0, new TreeMap<>(), gateways, List.of(), List.of(cache, cache, cache), 0, budget);
    Set<World> seen = new HashSet<>(Set.of(first));
    ArrayDeque<World> open = new ArrayDeque<>(seen);
    int taken = 0;
    while (!open.isEmpty() && gone == null) {
      World world = open.poll();
      if (taken++ % ENDED == 0) {
        end(world);
      }
      if (world.time >= horizon) {
        continue;
      }
      for (World next : nexts(world)) {
        if (seen.add(next)) {
          open.add(next);
        }
      }
    }
    return new Found(seen.size(), gone);
  }

  /**
   * With nothing more going wrong all windows end, nothing stays drained, and both gateways know
   * it.
   */
  private void end(World from) {
    World world = from;
    for (int i = 0; i < 45 && gone == null; i++) {
      List<Gateway> well = new ArrayList<>();
      int newest = world.gateways.stream().mapToInt(Gateway::revision).max().orElseThrow();
      world.gateways.forEach(
          g ->
              well.add(
                  g.dead
                      ? started(newest, false)
                      : new Gateway(wished(g.state, newest), false, g.first, 0, newest)));
      List<WindowCoordinator.Propose> puts = new ArrayList<>(world.late);
      world =
          deliver(
              act(
                  new World(
                      world.time,
                      world.number,
                      world.entries,
                      well,
                      List.of(),
                      world.caches,
                      world.opened,
                      world.left),
                  puts),
              puts);
    }
    // One that was withdrawn before it was asked for never is.
    boolean known = world.entries.size() == 2 || world.gateways.get(0).revision > 1;
    boolean all = known && world.entries.values().stream().allMatch(e -> e.phase().ended());
    if (gone == null
        && (!all || world.gateways.stream().anyMatch(g -> !g.state.draining().isEmpty()))) {
      gone = "half a window: " + world.entries;
    }
  }

  private List<World> nexts(World world) {
    List<World> disturbed = new ArrayList<>(List.of(world));
    Budget left = world.left;
    for (int i = 0; i < 2; i++) {
      Gateway g = world.gateways.get(i);
      if (g.dead) {
        disturbed.add(with(world, i, started(g.revision, false), left));
        continue;
      }
      if (left.all > 0 && left.kills > 0) {
        disturbed.add(
            with(
                world,
                i,
                new Gateway(WindowCoordinator.initial(), true, false, 0, g.revision),
                left.less(1, 0, 0, 0, 0, 0, 0)));
      }
      if (g.cutFor > 0) {
        disturbed.add(with(world, i, new Gateway(g.state, false, g.first, 0, g.revision), left));
      } else if (left.all > 0 && left.cuts > 0) {
        disturbed.add(
            with(
                world,
                i,
                new Gateway(g.state, false, g.first, 1, g.revision),
                left.less(0, 1, 0, 0, 0, 0, 0)));
      }
      if (left.all > 0 && left.withdrawals > 0) {
        disturbed.add(
            with(
                world,
                i,
                new Gateway(wished(g.state, 2), false, g.first, g.cutFor, 2),
                left.less(0, 0, 0, 1, 0, 0, 0)));
      }
    }
    for (int c = 0; c < NAMES.size() && left.all > 0; c++) {
      Cache cache = world.caches.get(c);
      Cache cold = new Cache(cache.birth + 1, true, world.time + 2, cache.failed, cache.lost);
      if (left.fails > 0 && cache.up) {
        disturbed.add(
            with(
                world,
                c,
                new Cache(cache.birth, false, 0, true, cache.lost),
                left.less(0, 0, 0, 0, 1, 0, 0)));
      }
      if (left.restarts > 0 && held(world, c)) {
        disturbed.add(with(world, c, cold, left.less(0, 0, 0, 0, 0, 1, 0)));
      }
      if (left.losses > 0 && !cache.up && !cache.lost) {
        disturbed.add(
            with(
                world,
                c,
                new Cache(cache.birth, false, 0, cache.failed, true),
                left.less(0, 0, 0, 0, 0, 0, 1)));
      }
    }
    List<World> nexts = new ArrayList<>();
    for (World one : disturbed) {
      List<WindowCoordinator.Propose> puts = new ArrayList<>(one.late);
      World acted = act(one, puts);
      nexts.add(deliver(acted, puts));
      if (puts.size() > 1) {
        List<WindowCoordinator.Propose> swapped = new ArrayList<>(puts);
        Collections.reverse(swapped);
        nexts.add(deliver(acted, swapped));
      }
      if (!puts.isEmpty() && one.left.late > 0 && one.left.all > 0) {
        World late =
            new World(
                acted.time,
                acted.number,
                acted.entries,
                acted.gateways,
                List.copyOf(puts),
                acted.caches,
                acted.opened,
                one.left.less(0, 0, 1, 0, 0, 0, 0));
        nexts.add(cachesGoOn(late));
      }
    }
    return nexts;
  }

  private static boolean held(World world, int c) {
    return world.entries.values().stream()
        .anyMatch(e -> e.phase().withholdsCaches() && e.caches().contains(NAMES.get(c)));
  }

  private static World with(World w, int place, Gateway gateway, Budget left) {
    List<Gateway> gateways = new ArrayList<>(w.gateways);
    gateways.set(place, gateway);
    return new World(
        w.time, w.number, w.entries, List.copyOf(gateways), w.late, w.caches, w.opened, left);
  }

  private static World with(World w, int place, Cache cache, Budget left) {
    List<Cache> caches = new ArrayList<>(w.caches);
    caches.set(place, cache);
    return new World(
        w.time, w.number, w.entries, w.gateways, w.late, List.copyOf(caches), w.opened, left);
  }

  private Gateway started(int revision, boolean first) {
    WindowCoordinator.State state =
        machine
            .next(
                WindowCoordinator.initial(),
                new WindowCoordinator.LeadershipChanged(true),
                s(0),
                first,
                assessor)
            .state();
    return new Gateway(wished(state, revision), false, first, 0, revision);
  }

  private WindowCoordinator.State wished(WindowCoordinator.State state, int revision) {
    Map<String, MaintenanceWindow> asked = new TreeMap<>();
    for (int i = revision - 1; i < 2; i++) {
      asked.put(
          "w" + i,
          MaintenanceWindow.requested("w" + i, 1, List.of(NAMES.get(i)), s(2), s(1), s(34)));
    }
    // Out of touch it only takes note.
    return machine
        .next(
            state,
            new WindowCoordinator.RequestsChanged(
                new WindowCoordinator.RequestedWindows(revision, asked)),
            s(0),
            true,
            assessor)
        .state();
  }

  /** Both gateways hear and judge; their puts are on the way. */
  private World act(World w, List<WindowCoordinator.Propose> puts) {
    List<Gateway> gateways = new ArrayList<>();
    for (Gateway gateway : w.gateways) {
      gateways.add(gateway.dead ? gateway : act(w, gateway, puts));
    }
    return new World(
        w.time, w.number, w.entries, List.copyOf(gateways), List.of(), w.caches, w.opened, w.left);
  }

  /** The puts are taken or refused in their order, caches go on, time does. */
  private World deliver(World acted, List<WindowCoordinator.Propose> puts) {
    World taken = acted;
    for (WindowCoordinator.Propose put : puts) {
      taken = take(taken, put);
    }
    return cachesGoOn(taken);
  }

  private Gateway act(World w, Gateway gateway, List<WindowCoordinator.Propose> puts) {
    Duration now = s(w.time);
    WindowCoordinator.State state = gateway.state;
    if (gateway.cutFor == 0) {
      SortedMap<String, WindowCoordinator.CacheObservation> words = new TreeMap<>();
      for (int c = 0; c < NAMES.size(); c++) {
        Cache cache = w.caches.get(c);
        String name = NAMES.get(c);
        boolean drained =
            w.gateways.stream()
                .allMatch(g -> g.dead || g.cutFor > 0 || g.state.draining().contains(name));
        words.put(
            name,
            new WindowCoordinator.CacheObservation(
                cache.birth, cache.up, cache.up && w.time >= cache.warmAt, drained, now));
      }
      state = quiet(state, new WindowCoordinator.CachesObserved(words), now, gateway.first);
      state =
          quiet(
              state,
              new WindowCoordinator.ViewUpdated(w.number, w.entries, s(w.time + LEASE)),
              now,
              gateway.first);
    }
    WindowCoordinator.Transition transition =
        machine.next(state, new WindowCoordinator.Tick(), now, gateway.first, assessor);
    for (WindowCoordinator.Action action : transition.actions()) {
      if (action instanceof WindowCoordinator.Propose put) {
        check(gateway.cutFor <= LEASE, "a step while the view is too old: " + put);
        check(
            gateway.cutFor > 0
                || put.value() == null
                || put.value().phase() != Phase.CLOSED
                || warm(w, put.value())
                || givenUp(w, put.value()),
            "closed though not warm: " + put);
        if (gateway.cutFor == 0) {
          puts.add(put);
        }
      }
    }
    boolean uncovered =
        gateway.cutFor == 0
            && serving(w) == 0
            && w.entries.values().stream().anyMatch(e -> e.phase().withholdsCaches());
    check(
        !uncovered
            || transition.state().notified().stream().anyMatch(t -> t.startsWith("UNCOVERED")),
        "uncovered, and nobody was told");
    return new Gateway(
        transition.state(),
        false,
        gateway.first,
        gateway.cutFor == 0 ? 0 : Math.min(gateway.cutFor + 1, LEASE + 2),
        gateway.revision);
  }

  /** Events of one moment are one event: the puts come of the tick at their end. */
  private WindowCoordinator.State quiet(
      WindowCoordinator.State state, WindowCoordinator.Event event, Duration now, boolean first) {
    WindowCoordinator.State before =
        new WindowCoordinator.State(
            state.viewNumber(),
            state.windows(),
            state.leaseEnd(),
            false,
            state.proposedAt(),
            state.phaseEntries(),
            state.observations(),
            state.requests(),
            state.draining(),
            state.notified());
    WindowCoordinator.State next = machine.next(before, event, now, first, assessor).state();
    return new WindowCoordinator.State(
        next.viewNumber(),
        next.windows(),
        next.leaseEnd(),
        true,
        next.viewNumber() > state.viewNumber() ? null : state.proposedAt(),
        next.phaseEntries(),
        next.observations(),
        next.requests(),
        next.draining(),
        state.notified());
  }

  private static boolean warm(World w, MaintenanceWindow window) {
    return window.caches().stream()
        .map(c -> w.caches.get(NAMES.indexOf(c)))
        .allMatch(c -> c.up && w.time >= c.warmAt);
  }

  private static boolean givenUp(World w, MaintenanceWindow window) {
    return s(w.time).compareTo(window.end().plus(SETTINGS.returnTimeout())) >= 0;
  }

  private World take(World w, WindowCoordinator.Propose put) {
    if (!machine.takes(w.number, put.expectedViewNumber())) {
      return w;
    }
    SortedMap<String, MaintenanceWindow> entries = new TreeMap<>(w.entries);
    String id = put.key().substring("window/".length());
    MaintenanceWindow old = entries.get(id);
    if (put.value() == null) {
      entries.remove(id);
    } else {
      check(
          old == null || put.value().phase().compareTo(old.phase()) > 0,
          "a window that goes back: " + put);
      entries.put(id, put.value());
    }
    boolean opens = put.value() != null && put.value().phase() == Phase.OPEN;
    return new World(
        w.time,
        w.number + 1,
        entries,
        w.gateways,
        w.late,
        w.caches,
        opens ? w.time : w.opened,
        w.left);
  }

  private World cachesGoOn(World w) {
    List<Cache> caches = new ArrayList<>();
    for (int c = 0; c < NAMES.size(); c++) {
      Cache cache = w.caches.get(c);
      String name = NAMES.get(c);
      boolean open =
          w.entries.values().stream()
              .anyMatch(e -> e.phase() == Phase.OPEN && e.caches().contains(name));
      boolean fresh = cache.birth > 1;
      if (open && cache.up && !fresh && w.time > w.opened) {
        cache = new Cache(cache.birth, false, 0, cache.failed, cache.lost);
      } else if (!open && !cache.up && !cache.failed && !cache.lost) {
        cache = new Cache(cache.birth + 1, true, w.time + 3, false, false);
      }
      caches.add(cache);
    }
    World next =
        new World(
            w.time + 1,
            w.number,
            w.entries,
            w.gateways,
            w.late,
            List.copyOf(caches),
            w.opened,
            w.left);
    long failed = caches.stream().filter(Cache::failed).count();
    check(
        serving(next) >= 2 - failed || failed > 1,
        "cover and reserve lost to windows: " + w.entries + caches);
    return next;
  }

  /** Caches that are up, warm and in no window. */
  private static int serving(World w) {
    int serving = 0;
    for (int c = 0; c < NAMES.size(); c++) {
      Cache cache = w.caches.get(c);
      serving += cache.up && w.time >= cache.warmAt && !held(w, c) ? 1 : 0;
    }
    return serving;
  }

  private void check(boolean right, String otherwise) {
    gone = right || gone != null ? gone : otherwise;
  }
}
