package tamarindroute.forms;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import tamarindroute.forms.Rollout.Action;
import tamarindroute.forms.Rollout.Event;

/**
 * Explores all that can happen to two drivers of the level within budgets: the lead moves at any
 * time and the old leader may not know; what they ask for comes late, or never; a cache flaps; one
 * driver is cut off and hears nothing. Judged by what was true of the cache and of the entry, not
 * by what drivers believe.
 */
final class SmallWorld {

  /** What a sound world must be told apart from. */
  enum Defect {
    NONE,
    /** The entry is replaced whatever number was told. */
    ANY_NUMBER,
    /** A word counts on over any silence. */
    FLAPS_UNSEEN,
    /** Who is out of touch uses what it last knew. */
    CUT_OFF_GOES_ON
  }

  /** So many moves of the lead, flips of the cache, cuts. */
  record Budget(int leads, int flips, int cuts) {}

  record Found(int states, int settled, int takenBack, int stuck, String breach) {}

  private static final Duration TICK = Duration.ofSeconds(1);
  private static final int STEADY = 1;
  private static final int TRIAL = 2;
  private static final int SILENCE = 1;
  private static final int LONG_AGO = 3;
  private static final Level.Table TABLE = new Level.Table(List.of(Forms.of(0, 1), Forms.of(1, 2)));
  private static final Set<String> ALL = Set.of("cache");
  private static final int MOST_ASKED = 2;

  /** Past this the budget was chosen too large for a test of seconds. */
  private static final int MOST_STATES = 400_000;

  private record Asked(int by, long number, Level level) {}

  /** One driver: its state, whether it is cut off, the level it last heard. */
  private record Driver(Rollout rollout, boolean cut, Level heard) {}

  /**
   * For how many moments the cache has been able, and how many ago it last had been for a trial's
   * length.
   */
  private record Able(int spell, int ago) {
    Able next(boolean can) {
      int longer = can ? Math.min(spell + 1, STEADY + TRIAL) : 0;
      return new Able(longer, longer >= TRIAL ? 0 : Math.min(ago + 1, LONG_AGO));
    }
  }

  private record World(
      List<Driver> drivers,
      long number,
      Level level,
      List<Asked> flying,
      Able able,
      boolean can,
      Budget left,
      long tick,
      boolean trialBroken) {

    /** Equal where the same can follow: numbers count by their distance, times by their age. */
    List<Object> key() {
      Duration now = TICK.multipliedBy(tick);
      List<Object> parts = new ArrayList<>();
      for (Driver driver : drivers) {
        parts.add(List.of(driver.rollout.key(now), driver.cut, driver.heard));
      }
      parts.add(List.of(number, level, flying, able, can, left, trialBroken));
      return parts;
    }
  }

  private final Defect defect;
  private final Rollout.Settings settings;
  private String breach;

  SmallWorld(Defect defect) {
    this.defect = defect;
    settings =
        new Rollout.Settings(
            TICK.multipliedBy(STEADY),
            TICK.multipliedBy(TRIAL),
            defect == Defect.FLAPS_UNSEEN ? Duration.ofDays(1) : TICK.multipliedBy(SILENCE));
  }

  Found explore(Budget budget) {
    List<Driver> drivers = new ArrayList<>();
    for (int i = 0; i < 2; i++) {
      Rollout rollout = new Rollout(settings);
      rollout.on(new Event.Agreed(0, Level.FIRST, ALL), Duration.ZERO);
      rollout.on(new Event.Wish(1), Duration.ZERO);
      drivers.add(new Driver(rollout, false, Level.FIRST));
    }
    drivers.get(0).rollout.on(new Event.Leads(true), Duration.ZERO);
    World first =
        new World(
            List.copyOf(drivers),
            0,
            Level.FIRST,
            List.of(),
            new Able(0, LONG_AGO),
            true,
            budget,
            0,
            false);
    Set<List<Object>> seen = new HashSet<>(Set.of(first.key()));
    ArrayDeque<World> open = new ArrayDeque<>(List.of(first));
    int settled = 0;
    int takenBack = 0;
    int stuck = 0;
    while (!open.isEmpty() && breach == null) {
      if (seen.size() > MOST_STATES) {
        throw new IllegalStateException(
            "not explored to the end within " + MOST_STATES + " states");
      }
      World world = open.poll();
      settled += world.level.settled() == 1 ? 1 : 0;
      takenBack += world.trialBroken ? 1 : 0;
      stuck += seen.size() % 16 == 0 && !heals(world) ? 1 : 0;
      for (World next : nexts(world)) {
        if (seen.add(next.key())) {
          open.add(next);
        }
      }
    }
    return new Found(seen.size(), settled, takenBack, stuck, breach);
  }

  /** What can be done to a world at a moment, and the moment after. */
  private List<World> nexts(World world) {
    Budget left = world.left;
    List<World> nexts = new ArrayList<>(List.of(ticked(world)));
    if (left.leads > 0) {
      for (int who = 0; who < 2; who++) {
        // The old leader is told, or it is not: it is stopped, or cut off.
        for (boolean told : new boolean[] {true, false}) {
          World moved = on(world, who, new Event.Leads(true));
          moved = told ? on(moved, 1 - who, new Event.Leads(false)) : moved;
          nexts.add(left(moved, new Budget(left.leads - 1, left.flips, left.cuts)));
        }
      }
    }
    if (left.flips > 0) {
      nexts.add(
          new World(
              world.drivers,
              world.number,
              world.level,
              world.flying,
              new Able(0, world.able.ago),
              !world.can,
              new Budget(left.leads, left.flips - 1, left.cuts),
              world.tick,
              world.trialBroken));
    }
    for (int who = 0; who < 2; who++) {
      Driver driver = world.drivers.get(who);
      if (driver.cut) {
        nexts.add(heard(with(world, who, new Driver(driver.rollout, false, driver.heard)), who));
      } else if (left.cuts > 0) {
        nexts.add(
            left(
                with(world, who, new Driver(driver.rollout, true, driver.heard)),
                new Budget(left.leads, left.flips, left.cuts - 1)));
      }
    }
    for (Asked asked : world.flying) {
      nexts.add(put(world, asked));
      nexts.add(without(world, asked));
    }
    return nexts;
  }

  /** The next moment: who is not cut off hears the cache and the others, and drives. */
  private World ticked(World world) {
    World next =
        new World(
            world.drivers,
            world.number,
            world.level,
            world.flying,
            world.able.next(world.can),
            world.can,
            world.left,
            world.tick + 1,
            world.trialBroken);
    for (int who = 0; who < 2; who++) {
      if (!next.drivers.get(who).cut) {
        next = on(next, who, new Event.Said("cache", 0, next.can ? 1 : 0));
      }
      next = on(next, who, new Event.Tick());
    }
    judgeUse(next);
    return next;
  }

  private World on(World world, int who, Event event) {
    Driver driver = world.drivers.get(who);
    Rollout rollout = driver.rollout.copy();
    Duration now = TICK.multipliedBy(world.tick);
    World next = with(world, who, new Driver(rollout, driver.cut, driver.heard));
    for (Action action : rollout.on(event, now)) {
      if (action instanceof Action.Agree agree && next.flying.size() < MOST_ASKED) {
        judgeAsk(next, driver, agree);
        List<Asked> flying = new ArrayList<>(next.flying);
        flying.add(new Asked(who, agree.number(), agree.level()));
        next = flying(next, flying);
      }
    }
    return next;
  }

  /**
   * A step that was asked for reaches the entry, and whoever is not cut off hears of what came of
   * it.
   */
  private World put(World world, Asked asked) {
    World next = without(world, asked);
    if (asked.number != world.number && defect != Defect.ANY_NUMBER) {
      return next;
    }
    boolean broken =
        world.level.phase() == Level.Phase.TRIAL
            && asked.level.phase() == Level.Phase.CALM
            && asked.level.settled() == world.level.settled();
    boolean skips =
        asked.level.settled() < world.level.settled()
            || asked.level.settled() > world.level.settled()
                && world.level.phase() != Level.Phase.TRIAL;
    if (skips) {
      breach = "from " + world.level + " to " + asked.level;
    }
    next =
        new World(
            next.drivers,
            world.number + 1,
            asked.level,
            next.flying,
            next.able,
            next.can,
            next.left,
            next.tick,
            next.trialBroken || broken);
    return heard(heard(next, 0), 1);
  }

  private World heard(World world, int who) {
    Driver driver = world.drivers.get(who);
    return driver.cut
        ? world
        : on(
            with(world, who, new Driver(driver.rollout, false, world.level)),
            who,
            new Event.Agreed(world.number, world.level, ALL));
  }

  /**
   * To settle is asked for only where the cache truly could for a whole trial's length, up to its
   * last word that counts.
   */
  private void judgeAsk(World world, Driver driver, Action.Agree agree) {
    if (agree.level().settled() > driver.heard.settled() && world.able.ago > SILENCE) {
      breach =
          "to settle was asked for, but the cache was last able for so long "
              + world.able.ago
              + " moments ago";
    }
  }

  /** Nobody uses a form that is not let at the level that is agreed. */
  private void judgeUse(World world) {
    Forms let = world.level.usable(TABLE, true);
    for (Driver driver : world.drivers) {
      boolean inTouch = !driver.cut || defect == Defect.CUT_OFF_GOES_ON;
      Forms used = driver.heard.usable(TABLE, inTouch);
      if (!used.and(let).equals(used)) {
        breach = "uses " + used + " at " + world.level + " knowing " + driver.heard;
      }
    }
  }

  /** With nothing more going wrong, one leader and an able cache, the level is settled. */
  private boolean heals(World from) {
    World world =
        new World(
            from.drivers,
            from.number,
            from.level,
            List.of(),
            from.able,
            true,
            new Budget(0, 0, 0),
            from.tick,
            false);
    for (int who = 0; who < 2; who++) {
      Driver driver = world.drivers.get(who);
      Rollout rollout = driver.rollout.copy();
      rollout.refused(world.number);
      world = with(world, who, new Driver(rollout, false, driver.heard));
      world = heard(on(world, who, new Event.Leads(who == 0)), who);
    }
    for (int tick = 0; tick < 20 && breach == null; tick++) {
      world = ticked(world);
      while (!world.flying.isEmpty()) {
        world = put(world, world.flying.get(0));
      }
    }
    return world.level.settled() == 1;
  }

  private static World with(World world, int who, Driver driver) {
    List<Driver> drivers = new ArrayList<>(world.drivers);
    drivers.set(who, driver);
    return new World(
        List.copyOf(drivers),
        world.number,
        world.level,
        world.flying,
        world.able,
        world.can,
        world.left,
        world.tick,
        world.trialBroken);
  }

  private static World left(World world, Budget left) {
    return new World(
        world.drivers,
        world.number,
        world.level,
        world.flying,
        world.able,
        world.can,
        left,
        world.tick,
        world.trialBroken);
  }

  private static World flying(World world, List<Asked> flying) {
    return new World(
        world.drivers,
        world.number,
        world.level,
        List.copyOf(flying),
        world.able,
        world.can,
        world.left,
        world.tick,
        world.trialBroken);
  }

  private static World without(World world, Asked asked) {
    List<Asked> flying = new ArrayList<>(world.flying);
    flying.remove(asked);
    return flying(world, flying);
  }
}
