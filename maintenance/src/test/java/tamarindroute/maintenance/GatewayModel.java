package tamarindroute.maintenance;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import tamarindroute.maintenance.CoordinatorModel.Variant;
import tamarindroute.maintenance.MaintenanceWindow.Phase;
import tamarindroute.maintenance.ModelWorld.Gateway;
import tamarindroute.maintenance.ModelWorld.ModelCache;

/**
 * Plays the inputs and decisions of one gateway in {@link CoordinatorModel}, and checks the rules
 * for its decisions.
 */
final class GatewayModel {
  private static final int LEASE_SECONDS = 2;
  private static final int WARM_UP_SECONDS = 2;

  private final Variant variant;
  private final RuleChecks checks;

  GatewayModel(Variant variant, RuleChecks checks) {
    this.variant = variant;
    this.checks = checks;
  }

  private final CoverageAssessor assessor =
      new CoverageAssessor() {
        @Override
        public Slot findSlot(
            MaintenanceWindow requested, Collection<MaintenanceWindow> others, Duration now) {
          Duration start = later(requested.earliest(), now);
          for (MaintenanceWindow other : others) {
            start = later(other.end().plus(CoordinatorModel.seconds(WARM_UP_SECONDS)), start);
          }
          return new Slot.Found(start);
        }

        @Override
        public Optional<Shortage> shortage(
            NavigableSet<String> out, boolean withReserve, Duration now) {
          int inService = CoordinatorModel.CACHE_NAMES.size() - variant.unavailable(out).size();
          int required = withReserve ? 2 : 1;
          return inService >= required
              ? Optional.empty()
              : Optional.of(
                  new Shortage(Shortage.Kind.NO_EDGE, 0, out.first(), required, inService, now));
        }

        @Override
        public Set<String> caches() {
          return new TreeSet<>(CoordinatorModel.CACHE_NAMES);
        }
      };

  private static Duration later(Duration first, Duration second) {
    return first.compareTo(second) > 0 ? first : second;
  }

  Gateway started(int revision, boolean original) {
    WindowEvent leadershipGained = new WindowEvent.LeadershipChanged(true);
    CoordinatorState state =
        variant
            .next(
                WindowCoordinator.initial(),
                leadershipGained,
                CoordinatorModel.seconds(0),
                original,
                assessor)
            .state();
    return new Gateway(withSettings(state, revision), false, original, 0, revision);
  }

  /**
   * Applies a revision of the settings: revision 1 requests both windows, 2 withdraws the first.
   */
  CoordinatorState withSettings(CoordinatorState state, int revision) {
    Map<String, MaintenanceWindow> windows = new TreeMap<>();
    for (int index = revision - 1; index < CoordinatorModel.WINDOW_COUNT; index++) {
      String id = "w" + index;
      windows.put(
          id,
          MaintenanceWindow.requested(
              id,
              1,
              List.of(CoordinatorModel.CACHE_NAMES.get(index)),
              CoordinatorModel.seconds(2),
              CoordinatorModel.seconds(1),
              CoordinatorModel.seconds(34)));
    }
    // Proposals that result from this event are dropped, as if they were lost.
    WindowEvent event = new WindowEvent.RequestsChanged(new RequestedWindows(revision, windows));
    return variant.next(state, event, CoordinatorModel.seconds(0), true, assessor).state();
  }

  /**
   * Returns the gateway after its decision and adds its proposals. A gateway out of contact
   * receives no events and its proposals are lost.
   */
  Gateway decide(ModelWorld world, Gateway gateway, List<WindowAction.Propose> proposals) {
    Duration now = CoordinatorModel.seconds(world.time());
    CoordinatorState state = gateway.inContact() ? updated(world, gateway, now) : gateway.state();
    WindowCoordinator.Transition transition =
        variant.next(state, new WindowEvent.Tick(), now, gateway.original(), assessor);
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

  private CoordinatorState updated(ModelWorld world, Gateway gateway, Duration now) {
    SortedMap<String, CacheObservation> observations = new TreeMap<>();
    for (int index = 0; index < CoordinatorModel.CACHE_NAMES.size(); index++) {
      ModelCache cache = world.caches().get(index);
      String name = CoordinatorModel.CACHE_NAMES.get(index);
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
    Duration leaseEnd = CoordinatorModel.seconds(world.time() + LEASE_SECONDS);
    CoordinatorState observed =
        applyWithoutDecision(
            gateway.state(), new WindowEvent.CachesObserved(observations), now, gateway.original());
    return applyWithoutDecision(
        observed,
        new WindowEvent.ViewUpdated(world.viewNumber(), world.windows(), leaseEnd),
        now,
        gateway.original());
  }

  /**
   * Applies one of several simultaneous events. Proposals are made only on the tick that follows.
   */
  private CoordinatorState applyWithoutDecision(
      CoordinatorState state, WindowEvent event, Duration now, boolean original) {
    CoordinatorState next =
        variant.next(state.withLeader(false), event, now, original, assessor).state();
    boolean newView = next.viewNumber() > state.viewNumber();
    return next.withLeader(true)
        .withProposedAt(newView ? null : state.proposedAt())
        .withNotified(state.notified());
  }

  private void checkProposal(ModelWorld world, Gateway gateway, WindowAction.Propose proposal) {
    checks.check(
        gateway.cutSteps() <= LEASE_SECONDS,
        "proposal after the end of the view lease: " + proposal);
    MaintenanceWindow value = proposal.value();
    boolean closes = value != null && value.phase() == Phase.CLOSED;
    checks.check(
        !gateway.inContact() || !closes || isWarm(world, value) || isReturnTimedOut(world, value),
        "window closed while a cache is not warm: " + proposal);
  }

  private void checkNotified(ModelWorld world, Gateway gateway, CoordinatorState state) {
    boolean uncovered =
        gateway.inContact()
            && world.servingCaches() == 0
            && world.windows().values().stream()
                .anyMatch(window -> window.phase().withholdsCaches());
    checks.check(
        !uncovered || state.notified().stream().anyMatch(key -> key.notice() == Notice.UNCOVERED),
        "key range uncovered without a notice");
  }

  private static boolean isWarm(ModelWorld world, MaintenanceWindow window) {
    return window.caches().stream()
        .map(name -> world.caches().get(CoordinatorModel.CACHE_NAMES.indexOf(name)))
        .allMatch(cache -> cache.inService(world.time()));
  }

  private static boolean isReturnTimedOut(ModelWorld world, MaintenanceWindow window) {
    Duration timedOutAt = window.end().plus(CoordinatorModel.SETTINGS.returnTimeout());
    return CoordinatorModel.seconds(world.time()).compareTo(timedOutAt) >= 0;
  }
}
