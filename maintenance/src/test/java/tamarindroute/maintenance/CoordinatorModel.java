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
 * Explicit-state model checker for {@link WindowCoordinator}: explores all sequences of events for
 * two windows on three caches of one key range, with two gateways that both believe that they are
 * the leader. Gateways are killed between any two steps or lose contact, proposals arrive late,
 * requests are withdrawn, and caches fail, restart or never return. Both gateways decide before a
 * proposal is delivered, and the proposals are delivered in either order.
 */
final class CoordinatorModel {
  /** The coordinator under test. A deliberate defect overrides one of the methods. */
  interface Variant {
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

    /** Returns the caches that the assessor of the gateways treats as out of service. */
    default NavigableSet<String> unavailable(NavigableSet<String> out) {
      return out;
    }
  }

  static final Variant CORRECT = new Variant() {};
  static final CoordinatorSettings SETTINGS =
      new CoordinatorSettings(seconds(2), seconds(4), seconds(3), seconds(2), seconds(60));
  static final List<String> CACHE_NAMES = List.of("a", "b", "c");

  /**
   * The result of an exploration.
   *
   * @param states number of states that were found
   * @param breach the first violation of a rule, or null
   */
  record Result(int states, String breach) {}

  private static final int WARM_UP_SECONDS = 2;
  private static final int RETURN_WARM_UP_SECONDS = 3;
  static final int WINDOW_COUNT = 2;

  /**
   * Recovery without further faults is checked for one of this many states. One check takes as long
   * as about 100 steps of the exploration.
   */
  private static final int RECOVERY_SAMPLING_INTERVAL = 32;

  private static final int RECOVERY_STEPS = 45;

  private final Variant variant;

  /** Time in seconds up to which sequences are explored. */
  private final int horizonSeconds;

  private final RuleChecks checks = new RuleChecks();
  private final GatewayModel gatewayModel;

  CoordinatorModel(Variant variant, int horizonSeconds) {
    this.variant = variant;
    this.horizonSeconds = horizonSeconds;
    gatewayModel = new GatewayModel(variant, checks);
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
    Set<ModelWorld> visited = new HashSet<>(Set.of(first));
    ArrayDeque<ModelWorld> queue = new ArrayDeque<>(visited);
    int expandedStates = 0;
    while (!queue.isEmpty() && checks.allSatisfied()) {
      ModelWorld world = queue.poll();
      if (expandedStates % RECOVERY_SAMPLING_INTERVAL == 0) {
        checkRecovery(world);
      }
      expandedStates++;
      if (world.time() >= horizonSeconds) {
        continue;
      }
      for (ModelWorld next : successors(world)) {
        if (visited.add(next)) {
          queue.add(next);
        }
      }
    }
    return new Result(visited.size(), checks.breach());
  }

  /**
   * Checks that, without further faults, all windows end and neither gateway continues to drain a
   * cache.
   */
  private void checkRecovery(ModelWorld from) {
    ModelWorld world = from;
    for (int step = 0; step < RECOVERY_STEPS && checks.allSatisfied(); step++) {
      List<WindowAction.Propose> proposals = new ArrayList<>(world.delayed());
      world = deliver(decide(recovered(world), proposals), proposals);
    }
    // A window that is withdrawn before it is in the view is never added to it.
    boolean windowsComplete =
        world.windows().size() == WINDOW_COUNT || world.gateways().get(0).revision() > 1;
    boolean ended =
        windowsComplete
            && world.windows().values().stream().allMatch(window -> window.phase().ended());
    boolean drains =
        world.gateways().stream().anyMatch(gateway -> !gateway.state().draining().isEmpty());
    if (checks.allSatisfied() && (!ended || drains)) {
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
                  .withRevision(gatewayModel.withSettings(gateway.state(), newest), newest));
    }
    return world.withGateways(gateways).withDelayed(List.of());
  }

  private List<ModelWorld> successors(ModelWorld world) {
    List<ModelWorld> disturbed = new ArrayList<>(List.of(world));
    for (int index = 0; index < world.gateways().size(); index++) {
      disturbed.addAll(gatewayFaults(world, index));
    }
    for (int index = 0; index < CACHE_NAMES.size(); index++) {
      disturbed.addAll(cacheFaults(world, index));
    }
    List<ModelWorld> successors = new ArrayList<>();
    disturbed.forEach(state -> successors.addAll(steps(state)));
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
      Gateway withdrawn = gateway.withRevision(gatewayModel.withSettings(gateway.state(), 2), 2);
      faults.add(world.withGateway(index, withdrawn).withBudget(budget.afterWithdrawal()));
    }
    return faults;
  }

  private static List<ModelWorld> cacheFaults(ModelWorld world, int index) {
    ModelCache cache = world.caches().get(index);
    FaultBudget budget = world.budget();
    List<ModelWorld> faults = new ArrayList<>();
    if (budget.allowsFailure() && cache.up()) {
      faults.add(
          world.withCache(index, cache.failedPermanently()).withBudget(budget.afterFailure()));
    }
    if (budget.allowsRestart() && world.isWithheld(index)) {
      ModelCache restarted = cache.restarted(world.time() + WARM_UP_SECONDS);
      faults.add(world.withCache(index, restarted).withBudget(budget.afterRestart()));
    }
    if (budget.allowsLoss() && !cache.up() && !cache.lost()) {
      faults.add(world.withCache(index, cache.lostPermanently()).withBudget(budget.afterLoss()));
    }
    return faults;
  }

  /**
   * Returns the states after both gateways have decided and their proposals have arrived in either
   * order or are delayed.
   */
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

  /** Accepts or rejects the proposals in their order and advances the time. */
  private ModelWorld deliver(ModelWorld decided, List<WindowAction.Propose> proposals) {
    ModelWorld world = decided;
    for (WindowAction.Propose proposal : proposals) {
      world = accept(world, proposal);
    }
    return advanceCaches(world);
  }

  private ModelWorld accept(ModelWorld world, WindowAction.Propose proposal) {
    if (!variant.accepts(world.viewNumber(), proposal.expectedViewNumber())) {
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
        "phase of a window goes back: " + proposal);
    windows.put(id, value);
    return world.withNextView(windows, value.phase() == Phase.OPEN);
  }

  private ModelWorld advanceCaches(ModelWorld world) {
    List<ModelCache> caches = new ArrayList<>();
    for (int index = 0; index < CACHE_NAMES.size(); index++) {
      caches.add(advance(world, world.caches().get(index), CACHE_NAMES.get(index)));
    }
    ModelWorld next = world.atNextTime(caches);
    long failed = caches.stream().filter(ModelCache::failed).count();
    checks.check(
        next.servingCaches() >= 2 - failed || failed > 1,
        "coverage or reserve lost to windows: " + world.windows() + caches);
    return next;
  }

  /**
   * Returns the cache in the next step. Operators take a cache out of service one step after its
   * window has opened, and bring it back when the window is no longer open.
   */
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
