package tamarindroute.maintenance;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.NavigableSet;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import tamarindroute.maintenance.MaintenanceWindow.Phase;
import tamarindroute.maintenance.ModelWorld.Gateway;
import tamarindroute.maintenance.ModelWorld.ModelCache;

/**
 * Explores all that can happen to two windows on three caches of one key range, with two gateways
 * that both believe they lead: kills between any two steps, cuts, late proposals, withdrawn
 * requests, caches that fail, restart or never return. Both gateways decide before either's
 * proposal is taken, and either may be taken first.
 */
final class CoordinatorModel {
  /** The coordinator under test; a seeded defect overrides what it breaks. */
  interface Machine {
    default WindowCoordinator.Transition next(
        CoordinatorState state,
        WindowEvent event,
        Duration now,
        boolean original,
        CoverageAssessor assessor) {
      return WindowCoordinator.next(state, event, now, SETTINGS, assessor);
    }

    /** Whether the agreed view accepts a proposal. */
    default boolean accepts(long viewNumber, long expected) {
      return viewNumber == expected;
    }

    /** What the gateways' assessor counts as out. */
    default NavigableSet<String> counted(NavigableSet<String> out) {
      return out;
    }
  }

  static final Machine SOUND = new Machine() {};
  static final CoordinatorSettings SETTINGS =
      new CoordinatorSettings(seconds(2), seconds(4), seconds(3), seconds(2), seconds(60));
  static final List<String> NAMES = List.of("a", "b", "c");

  /**
   * The result of an exploration.
   *
   * @param states how many were visited
   * @param breach the first breach of a rule, or null
   */
  record Result(int states, String breach) {}

  private static final int WARM_UP_SECONDS = 2;
  private static final int RETURN_WARM_UP_SECONDS = 3;
  static final int WINDOWS = 2;

  /** Of so many states, one is played on without faults; that takes as long as some 100 steps. */
  private static final int RECOVERY_INTERVAL = 32;

  private static final int RECOVERY_STEPS = 45;

  private final Machine machine;
  private final int horizon;
  private final RuleChecks checks = new RuleChecks();
  private final GatewayModel gatewayModel;

  CoordinatorModel(Machine machine, int horizon) {
    this.machine = machine;
    this.horizon = horizon;
    gatewayModel = new GatewayModel(machine, checks);
  }

  static Duration seconds(int seconds) {
    return Duration.ofSeconds(seconds);
  }

  Result explore(FaultBudget budget) {
    List<Gateway> gateways = List.of(gatewayModel.started(1, true), gatewayModel.started(1, true));
    ModelCache cache = new ModelCache(1, true, 0, false, false);
    ModelWorld first =
        new ModelWorld(
            0, 0, new TreeMap<>(), gateways, List.of(), List.of(cache, cache, cache), 0, budget);
    Set<ModelWorld> seen = new HashSet<>(Set.of(first));
    ArrayDeque<ModelWorld> open = new ArrayDeque<>(seen);
    int visited = 0;
    while (!open.isEmpty() && checks.hold()) {
      ModelWorld world = open.poll();
      if (visited % RECOVERY_INTERVAL == 0) {
        checkRecovery(world);
      }
      visited++;
      if (world.time() >= horizon) {
        continue;
      }
      for (ModelWorld next : successors(world)) {
        if (seen.add(next)) {
          open.add(next);
        }
      }
    }
    return new Result(seen.size(), checks.breach());
  }

  /** Without further faults all windows end, nothing stays drained, and both gateways know it. */
  private void checkRecovery(ModelWorld from) {
    ModelWorld world = from;
    for (int step = 0; step < RECOVERY_STEPS && checks.hold(); step++) {
      List<WindowAction.Propose> proposals = new ArrayList<>(world.delayed());
      world = deliver(decide(recovered(world), proposals), proposals);
    }
    // A window that was withdrawn before it was taken over never is.
    boolean known = world.windows().size() == WINDOWS || world.gateways().get(0).revision() > 1;
    boolean ended =
        known && world.windows().values().stream().allMatch(window -> window.phase().ended());
    boolean drains =
        world.gateways().stream().anyMatch(gateway -> !gateway.state().draining().isEmpty());
    if (checks.hold() && (!ended || drains)) {
      checks.check(false, "unfinished window: " + world.windows());
    }
  }

  private ModelWorld recovered(ModelWorld world) {
    int newest = world.gateways().stream().mapToInt(Gateway::revision).max().orElseThrow();
    List<Gateway> gateways = new ArrayList<>();
    for (Gateway gateway : world.gateways()) {
      gateways.add(
          gateway.dead()
              ? gatewayModel.started(newest, false)
              : gateway
                  .withCutSteps(0)
                  .withRevision(gatewayModel.requested(gateway.state(), newest), newest));
    }
    return world.withGateways(gateways).withDelayed(List.of());
  }

  private List<ModelWorld> successors(ModelWorld world) {
    List<ModelWorld> disturbed = new ArrayList<>(List.of(world));
    for (int index = 0; index < world.gateways().size(); index++) {
      disturbed.addAll(gatewayFaults(world, index));
    }
    for (int index = 0; index < NAMES.size(); index++) {
      disturbed.addAll(cacheFaults(world, index));
    }
    List<ModelWorld> successors = new ArrayList<>();
    disturbed.forEach(one -> successors.addAll(steps(one)));
    return successors;
  }

  private List<ModelWorld> gatewayFaults(ModelWorld world, int index) {
    Gateway gateway = world.gateways().get(index);
    FaultBudget budget = world.budget();
    List<ModelWorld> faults = new ArrayList<>();
    if (gateway.dead()) {
      return List.of(world.withGateway(index, gatewayModel.started(gateway.revision(), false)));
    }
    if (budget.allowsKill()) {
      faults.add(world.withGateway(index, gateway.killed()).withBudget(budget.afterKill()));
    }
    if (!gateway.inContact()) {
      faults.add(world.withGateway(index, gateway.withCutSteps(0)));
    } else if (budget.allowsCut()) {
      faults.add(world.withGateway(index, gateway.withCutSteps(1)).withBudget(budget.afterCut()));
    }
    if (budget.allowsWithdrawal()) {
      Gateway informed = gateway.withRevision(gatewayModel.requested(gateway.state(), 2), 2);
      faults.add(world.withGateway(index, informed).withBudget(budget.afterWithdrawal()));
    }
    return faults;
  }

  private static List<ModelWorld> cacheFaults(ModelWorld world, int index) {
    ModelCache cache = world.caches().get(index);
    FaultBudget budget = world.budget();
    List<ModelWorld> faults = new ArrayList<>();
    if (budget.allowsFailure() && cache.up()) {
      faults.add(world.withCache(index, cache.failedForGood()).withBudget(budget.afterFailure()));
    }
    if (budget.allowsRestart() && world.isWithheld(index)) {
      ModelCache restarted = cache.restarted(world.time() + WARM_UP_SECONDS);
      faults.add(world.withCache(index, restarted).withBudget(budget.afterRestart()));
    }
    if (budget.allowsLoss() && !cache.up() && !cache.lost()) {
      faults.add(world.withCache(index, cache.lostForGood()).withBudget(budget.afterLoss()));
    }
    return faults;
  }

  /** Both gateways decide; their proposals arrive in either order, or late. */
  private List<ModelWorld> steps(ModelWorld world) {
    List<WindowAction.Propose> proposals = new ArrayList<>(world.delayed());
    ModelWorld decided = decide(world, proposals);
    List<ModelWorld> steps = new ArrayList<>(List.of(deliver(decided, proposals)));
    if (proposals.size() > 1) {
      List<WindowAction.Propose> swapped = new ArrayList<>(proposals);
      Collections.reverse(swapped);
      steps.add(deliver(decided, swapped));
    }
    if (!proposals.isEmpty() && world.budget().allowsDelay()) {
      steps.add(
          advanceCaches(decided.withDelayed(proposals).withBudget(world.budget().afterDelay())));
    }
    return steps;
  }

  private ModelWorld decide(ModelWorld world, List<WindowAction.Propose> proposals) {
    List<Gateway> gateways = new ArrayList<>();
    for (Gateway gateway : world.gateways()) {
      gateways.add(gateway.dead() ? gateway : gatewayModel.decide(world, gateway, proposals));
    }
    return world.withGateways(gateways).withDelayed(List.of());
  }

  /** The proposals are accepted or rejected in their order; then time goes on. */
  private ModelWorld deliver(ModelWorld decided, List<WindowAction.Propose> proposals) {
    ModelWorld world = decided;
    for (WindowAction.Propose proposal : proposals) {
      world = accept(world, proposal);
    }
    return advanceCaches(world);
  }

  private ModelWorld accept(ModelWorld world, WindowAction.Propose proposal) {
    if (!machine.accepts(world.viewNumber(), proposal.expectedViewNumber())) {
      return world;
    }
    SortedMap<String, MaintenanceWindow> windows = new TreeMap<>(world.windows());
    String id = proposal.key().substring("window/".length());
    MaintenanceWindow before = windows.get(id);
    MaintenanceWindow value = proposal.value();
    if (value == null) {
      windows.remove(id);
      return world.withNextView(windows, false);
    }
    checks.check(
        before == null || value.phase().compareTo(before.phase()) > 0,
        "a window that goes back: " + proposal);
    windows.put(id, value);
    return world.withNextView(windows, value.phase() == Phase.OPEN);
  }

  private ModelWorld advanceCaches(ModelWorld world) {
    List<ModelCache> caches = new ArrayList<>();
    for (int index = 0; index < NAMES.size(); index++) {
      caches.add(advance(world, world.caches().get(index), NAMES.get(index)));
    }
    ModelWorld next = world.atNextTime(caches);
    long failed = caches.stream().filter(ModelCache::failed).count();
    checks.check(
        next.servingCaches() >= 2 - failed || failed > 1,
        "cover and reserve lost to windows: " + world.windows() + caches);
    return next;
  }

  /** Operators take a cache out one step after its window opened, and bring it back at its end. */
  private static ModelCache advance(ModelWorld world, ModelCache cache, String name) {
    boolean open =
        world.windows().values().stream()
            .anyMatch(window -> window.phase() == Phase.OPEN && window.caches().contains(name));
    boolean restarted = cache.incarnation() > 1;
    if (open && cache.up() && !restarted && world.time() > world.openedAt()) {
      return cache.down();
    }
    if (!open && !cache.up() && !cache.failed() && !cache.lost()) {
      return cache.restarted(world.time() + RETURN_WARM_UP_SECONDS);
    }
    return cache;
  }
}
