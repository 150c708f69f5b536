package tamarindroute.windows;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import tamarindroute.windows.MaintenanceWindow.Phase;
import tamarindroute.windows.ModelWorld.Gateway;
import tamarindroute.windows.ModelWorld.ModelCache;

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

  private static final int LEASE_SECONDS = 2;
  private static final int WARM_UP_SECONDS = 2;
  private static final int RETURN_WARM_UP_SECONDS = 3;
  private static final int WINDOWS = 2;

  /** Of so many states, one is played on without faults; that takes as long as some 100 steps. */
  private static final int RECOVERY_INTERVAL = 32;

  private static final int RECOVERY_STEPS = 45;

  private final Machine machine;
  private final int horizon;
  private String breach;

  CoordinatorModel(Machine machine, int horizon) {
    this.machine = machine;
    this.horizon = horizon;
  }

  static Duration seconds(int seconds) {
    return Duration.ofSeconds(seconds);
  }

  private final CoverageAssessor assessor =
      new CoverageAssessor() {
        @Override
        public Slot findSlot(
            MaintenanceWindow requested, Collection<MaintenanceWindow> others, Duration now) {
          Duration start = later(requested.earliest(), now);
          for (MaintenanceWindow other : others) {
            start = later(other.end().plus(seconds(WARM_UP_SECONDS)), start);
          }
          return new Slot.Found(start);
        }

        @Override
        public Optional<Shortage> shortage(
            NavigableSet<String> out, boolean withReserve, Duration now) {
          int left = NAMES.size() - machine.counted(out).size();
          int required = withReserve ? 2 : 1;
          return left >= required
              ? Optional.empty()
              : Optional.of(
                  new Shortage(Shortage.Kind.NO_EDGE, 0, out.first(), required, left, now));
        }

        @Override
        public Set<String> caches() {
          return new TreeSet<>(NAMES);
        }
      };

  private static Duration later(Duration one, Duration other) {
    return one.compareTo(other) > 0 ? one : other;
  }

  Result explore(FaultBudget budget) {
    List<Gateway> gateways = List.of(started(1, true), started(1, true));
    ModelCache cache = new ModelCache(1, true, 0, false, false);
    ModelWorld first =
        new ModelWorld(
            0, 0, new TreeMap<>(), gateways, List.of(), List.of(cache, cache, cache), 0, budget);
    Set<ModelWorld> seen = new HashSet<>(Set.of(first));
    ArrayDeque<ModelWorld> open = new ArrayDeque<>(seen);
    int visited = 0;
    while (!open.isEmpty() && breach == null) {
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
    return new Result(seen.size(), breach);
  }

  /** Without further faults all windows end, nothing stays drained, and both gateways know it. */
  private void checkRecovery(ModelWorld from) {
    ModelWorld world = from;
    for (int step = 0; step < RECOVERY_STEPS && breach == null; step++) {
      List<WindowAction.Propose> proposals = new ArrayList<>(world.delayed());
      world = deliver(decide(recovered(world), proposals), proposals);
    }
    // A window that was withdrawn before it was taken over never is.
    boolean known = world.windows().size() == WINDOWS || world.gateways().get(0).revision() > 1;
    boolean ended =
        known && world.windows().values().stream().allMatch(window -> window.phase().ended());
    boolean drains =
        world.gateways().stream().anyMatch(gateway -> !gateway.state().draining().isEmpty());
    if (breach == null && (!ended || drains)) {
      breach = "unfinished window: " + world.windows();
    }
  }

  private ModelWorld recovered(ModelWorld world) {
    int newest = world.gateways().stream().mapToInt(Gateway::revision).max().orElseThrow();
    List<Gateway> gateways = new ArrayList<>();
    for (Gateway gateway : world.gateways()) {
      gateways.add(
          gateway.dead()
              ? started(newest, false)
              : gateway.withCutSteps(0).withRevision(requested(gateway.state(), newest), newest));
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
      return List.of(world.withGateway(index, started(gateway.revision(), false)));
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
      Gateway informed = gateway.withRevision(requested(gateway.state(), 2), 2);
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

  private Gateway started(int revision, boolean original) {
    WindowEvent leads = new WindowEvent.LeadershipChanged(true);
    CoordinatorState state =
        machine.next(WindowCoordinator.initial(), leads, seconds(0), original, assessor).state();
    return new Gateway(requested(state, revision), false, original, 0, revision);
  }

  /** Revision 1 requests both windows, revision 2 withdraws the first. */
  private CoordinatorState requested(CoordinatorState state, int revision) {
    Map<String, MaintenanceWindow> windows = new TreeMap<>();
    for (int index = revision - 1; index < WINDOWS; index++) {
      String id = "w" + index;
      windows.put(
          id,
          MaintenanceWindow.requested(
              id, 1, List.of(NAMES.get(index)), seconds(2), seconds(1), seconds(34)));
    }
    // What is proposed on this event is dropped, as if it were lost.
    WindowEvent event = new WindowEvent.RequestsChanged(new RequestedWindows(revision, windows));
    return machine.next(state, event, seconds(0), true, assessor).state();
  }

  private ModelWorld decide(ModelWorld world, List<WindowAction.Propose> proposals) {
    List<Gateway> gateways = new ArrayList<>();
    for (Gateway gateway : world.gateways()) {
      gateways.add(gateway.dead() ? gateway : decide(world, gateway, proposals));
    }
    return world.withGateways(gateways).withDelayed(List.of());
  }

  private Gateway decide(ModelWorld world, Gateway gateway, List<WindowAction.Propose> proposals) {
    Duration now = seconds(world.time());
    CoordinatorState state = gateway.inContact() ? informed(world, gateway, now) : gateway.state();
    WindowCoordinator.Transition transition =
        machine.next(state, new WindowEvent.Tick(), now, gateway.original(), assessor);
    for (WindowAction action : transition.actions()) {
      if (action instanceof WindowAction.Propose proposal) {
        checkProposal(world, gateway, proposal);
        if (gateway.inContact()) {
          proposals.add(proposal);
        }
      }
    }
    checkNotified(world, gateway, transition.state());
    int cutSteps = gateway.inContact() ? 0 : Math.min(gateway.cutSteps() + 1, LEASE_SECONDS + 2);
    return gateway.withState(transition.state()).withCutSteps(cutSteps);
  }

  private CoordinatorState informed(ModelWorld world, Gateway gateway, Duration now) {
    SortedMap<String, CacheObservation> observations = new TreeMap<>();
    for (int index = 0; index < NAMES.size(); index++) {
      ModelCache cache = world.caches().get(index);
      String name = NAMES.get(index);
      boolean drained =
          world.gateways().stream()
              .allMatch(
                  other ->
                      other.dead()
                          || !other.inContact()
                          || other.state().draining().contains(name));
      boolean warm = cache.inService(world.time());
      observations.put(
          name, new CacheObservation(cache.incarnation(), cache.up(), warm, drained, now));
    }
    Duration leaseEnd = seconds(world.time() + LEASE_SECONDS);
    CoordinatorState observed =
        takeNote(
            gateway.state(), new WindowEvent.CachesObserved(observations), now, gateway.original());
    return takeNote(
        observed,
        new WindowEvent.ViewUpdated(world.viewNumber(), world.windows(), leaseEnd),
        now,
        gateway.original());
  }

  /** Events of one moment count as one: proposals follow from the tick at their end. */
  private CoordinatorState takeNote(
      CoordinatorState state, WindowEvent event, Duration now, boolean original) {
    CoordinatorState next =
        machine.next(state.withLeader(false), event, now, original, assessor).state();
    boolean newView = next.viewNumber() > state.viewNumber();
    return next.withLeader(true)
        .withProposedAt(newView ? null : state.proposedAt())
        .withNotified(state.notified());
  }

  private void checkProposal(ModelWorld world, Gateway gateway, WindowAction.Propose proposal) {
    check(gateway.cutSteps() <= LEASE_SECONDS, "a step while the view is too old: " + proposal);
    MaintenanceWindow value = proposal.value();
    boolean closes = value != null && value.phase() == Phase.CLOSED;
    check(
        !gateway.inContact() || !closes || isWarm(world, value) || isGivenUp(world, value),
        "closed though not warm: " + proposal);
  }

  private void checkNotified(ModelWorld world, Gateway gateway, CoordinatorState state) {
    boolean uncovered =
        gateway.inContact()
            && world.servingCaches() == 0
            && world.windows().values().stream()
                .anyMatch(window -> window.phase().withholdsCaches());
    check(
        !uncovered || state.notified().stream().anyMatch(key -> key.notice() == Notice.UNCOVERED),
        "uncovered, and nobody was notified");
  }

  private static boolean isWarm(ModelWorld world, MaintenanceWindow window) {
    return window.caches().stream()
        .map(name -> world.caches().get(NAMES.indexOf(name)))
        .allMatch(cache -> cache.inService(world.time()));
  }

  private static boolean isGivenUp(ModelWorld world, MaintenanceWindow window) {
    Duration givenUpAt = window.end().plus(SETTINGS.returnTimeout());
    return seconds(world.time()).compareTo(givenUpAt) >= 0;
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
    check(
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
    check(
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

  private void check(boolean holds, String otherwise) {
    if (!holds && breach == null) {
      breach = otherwise;
    }
  }
}
