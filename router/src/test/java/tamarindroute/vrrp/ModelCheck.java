package tamarindroute.vrrp;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import tamarindroute.vrrp.RouterModel.RouterProcess;
import tamarindroute.vrrp.RouterModel.World;

/**
 * Explores all executions of some virtual routers within a budget of faults by breadth-first
 * search: advertisements that are delayed, lost or duplicated in any order, and processes that are
 * suspended for any time, killed and restarted.
 */
final class ModelCheck {

  /** The state machine under test. Tests of the model check itself override it with a defect. */
  interface StateMachine {
    default Election.Step next(
        Election.State state, Election.Event event, Duration now, Election.Settings settings) {
      return Election.next(state, event, now, settings);
    }

    default boolean mayAct(Election.State state, Duration now) {
      return Election.mayAct(state, now);
    }
  }

  static final StateMachine WITHOUT_DEFECT = new StateMachine() {};

  /**
   * The faults that may occur in one execution.
   *
   * @param losses lost advertisements
   * @param duplicates duplicated advertisements
   * @param suspensions suspensions of a process, at most one process at a time
   * @param kills killed processes
   * @param maxTransitTicks longest time that an advertisement travels
   */
  record Budget(int losses, int duplicates, int suspensions, int kills, int maxTransitTicks) {

    static final Budget WITHOUT_FAULTS = new Budget(0, 0, 0, 0, 0);

    Budget withoutOneLoss() {
      return new Budget(losses - 1, duplicates, suspensions, kills, maxTransitTicks);
    }

    Budget withoutOneDuplicate() {
      return new Budget(losses, duplicates - 1, suspensions, kills, maxTransitTicks);
    }

    Budget withoutOneSuspension() {
      return new Budget(losses, duplicates, suspensions - 1, kills, maxTransitTicks);
    }

    Budget withoutOneKill() {
      return new Budget(losses, duplicates, suspensions, kills - 1, maxTransitTicks);
    }
  }

  /**
   * The result of an exploration.
   *
   * @param states number of distinct states
   * @param longestOverlapTicks longest time for which several routers acted together
   * @param recovered whether exactly one router became active again from each sampled state
   */
  record Result(int states, int longestOverlapTicks, boolean recovered) {}

  /** Recovery is checked whenever the number of states found is a multiple of this. */
  private static final int RECOVERY_SAMPLING = 16;

  /** Twelve intervals of four ticks. */
  private static final int MAX_RECOVERY_TICKS = 48;

  /** Three further intervals, in which the active router must stay the only one. */
  private static final int RECOVERY_CHECK_TICKS = 60;

  private final StateMachine machine;
  private final RouterModel model;
  private final int routers;
  private final int maxOverlapTicks;

  /**
   * Creates a check.
   *
   * @param settings of each router
   * @param priorities of each router
   * @param maxOverlapTicks the exploration ends when several routers act together for longer
   */
  ModelCheck(
      StateMachine machine,
      List<Election.Settings> settings,
      List<Integer> priorities,
      int maxOverlapTicks) {
    this.machine = machine;
    this.model = new RouterModel(machine, settings, priorities);
    this.routers = settings.size();
    this.maxOverlapTicks = maxOverlapTicks;
  }

  Result explore(Budget budget) {
    World first = model.notStarted(budget);
    for (int router = 0; router < routers; router++) {
      first = model.start(first, router);
    }
    Set<World> seen = new HashSet<>(Set.of(first));
    ArrayDeque<World> unexplored = new ArrayDeque<>(seen);
    int longestOverlapTicks = 0;
    boolean recovered = true;
    while (!unexplored.isEmpty()) {
      World world = unexplored.poll();
      longestOverlapTicks = Math.max(longestOverlapTicks, world.overlapTicks());
      if (longestOverlapTicks > maxOverlapTicks) {
        return new Result(seen.size(), longestOverlapTicks, recovered);
      }
      if (seen.size() % RECOVERY_SAMPLING == 0) {
        recovered &= recovers(world);
      }
      for (World next : successors(world)) {
        if (seen.add(next)) {
          unexplored.add(next);
        }
      }
    }
    return new Result(seen.size(), longestOverlapTicks, recovered);
  }

  /**
   * Whether, without further faults, exactly one router is active after twelve intervals and stays
   * the only one.
   */
  private boolean recovers(World from) {
    List<RouterProcess> resumed =
        from.processes().stream()
            .map(process -> new RouterProcess(process.state(), false, process.dead()))
            .toList();
    if (resumed.stream().allMatch(RouterProcess::dead)) {
      // No router is left to become active. Restarts are explored as well.
      return true;
    }
    World world = new World(resumed, from.inFlight(), Budget.WITHOUT_FAULTS, 0);
    for (int tick = 0; tick < RECOVERY_CHECK_TICKS; tick++) {
      world = model.tick(world, model.deliverAll(world));
      long active =
          world.processes().stream()
              .filter(
                  process -> !process.dead() && machine.mayAct(process.state(), RouterModel.NOW))
              .count();
      if (tick >= MAX_RECOVERY_TICKS && active != 1) {
        return false;
      }
    }
    return true;
  }

  /** Returns all worlds that can follow a tick later. */
  private List<World> successors(World world) {
    List<World> successors = new ArrayList<>();
    for (World disturbed : processFaults(world)) {
      for (World delivered : model.deliveries(disturbed)) {
        successors.add(model.tick(delivered, delivered));
      }
    }
    return successors;
  }

  /**
   * Returns the world and its variants with one process suspended, resumed, killed or restarted.
   */
  private List<World> processFaults(World world) {
    List<World> variants = new ArrayList<>(List.of(world));
    Budget remaining = world.remaining();
    boolean anySuspended = world.processes().stream().anyMatch(RouterProcess::suspended);
    for (int i = 0; i < world.processes().size(); i++) {
      RouterProcess process = world.processes().get(i);
      if (process.suspended()) {
        variants.add(world.with(i, new RouterProcess(process.state(), false, false), remaining));
      } else if (remaining.suspensions() > 0 && !anySuspended && !process.dead()) {
        variants.add(
            world.with(
                i,
                new RouterProcess(process.state(), true, false),
                remaining.withoutOneSuspension()));
      }
      if (remaining.kills() > 0 && !process.dead() && !process.suspended()) {
        variants.add(
            world.with(
                i, new RouterProcess(process.state(), false, true), remaining.withoutOneKill()));
      } else if (process.dead()) {
        variants.add(model.start(world, i));
      }
    }
    return variants;
  }
}
