package tamarindroute.maintenance;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;

/**
 * One state of the model: two gateways, the agreed view and the caches. Immutable.
 *
 * @param time the time in seconds
 * @param viewNumber the number of the agreed view
 * @param windows the windows of the agreed view
 * @param gateways both gateways
 * @param delayed proposals that arrive in the next step
 * @param caches in the order of {@link CoordinatorModel#CACHE_NAMES}
 * @param openedAt the time in seconds at which a window was last opened
 * @param budget the faults that may still happen
 */
record ModelWorld(
    int time,
    long viewNumber,
    SortedMap<String, MaintenanceWindow> windows,
    List<Gateway> gateways,
    List<WindowAction.Propose> delayed,
    List<ModelCache> caches,
    int openedAt,
    FaultBudget budget) {

  /**
   * A gateway that believes that it is the leader.
   *
   * @param state the coordinator's state
   * @param dead whether the gateway is killed; it starts again in the next step
   * @param original whether the gateway has never been killed
   * @param cutSteps number of steps for which the gateway has been out of contact; 0 while in
   *     contact
   * @param revision revision of the settings that the gateway has read
   */
  record Gateway(
      CoordinatorState state, boolean dead, boolean original, int cutSteps, int revision) {

    Gateway killed() {
      return new Gateway(WindowCoordinator.initial(), true, false, 0, revision);
    }

    Gateway withCutSteps(int steps) {
      return new Gateway(state, false, original, steps, revision);
    }

    Gateway withState(CoordinatorState newState) {
      return new Gateway(newState, false, original, cutSteps, revision);
    }

    Gateway withRevision(CoordinatorState newState, int newRevision) {
      return new Gateway(newState, false, original, cutSteps, newRevision);
    }

    boolean inContact() {
      return cutSteps == 0;
    }
  }

  /**
   * The actual state of a cache.
   *
   * @param incarnation number of starts of the cache
   * @param up whether the cache answers
   * @param warmAt the time in seconds from which the cache is warm
   * @param failed whether the cache is down permanently
   * @param lost whether the cache never returns from its window
   */
  record ModelCache(int incarnation, boolean up, int warmAt, boolean failed, boolean lost) {

    boolean inService(int time) {
      return up && time >= warmAt;
    }

    ModelCache down() {
      return new ModelCache(incarnation, false, 0, failed, lost);
    }

    ModelCache failedPermanently() {
      return new ModelCache(incarnation, false, 0, true, lost);
    }

    ModelCache lostPermanently() {
      return new ModelCache(incarnation, false, 0, failed, true);
    }

    ModelCache restarted(int newWarmAt) {
      return new ModelCache(incarnation + 1, true, newWarmAt, failed, lost);
    }
  }

  ModelWorld withGateway(int index, Gateway gateway) {
    List<Gateway> changed = new ArrayList<>(gateways);
    changed.set(index, gateway);
    return withGateways(changed);
  }

  ModelWorld withGateways(List<Gateway> changed) {
    return new ModelWorld(
        time, viewNumber, windows, List.copyOf(changed), delayed, caches, openedAt, budget);
  }

  ModelWorld withCache(int index, ModelCache cache) {
    List<ModelCache> changed = new ArrayList<>(caches);
    changed.set(index, cache);
    return new ModelWorld(
        time, viewNumber, windows, gateways, delayed, List.copyOf(changed), openedAt, budget);
  }

  ModelWorld withDelayed(List<WindowAction.Propose> proposals) {
    return new ModelWorld(
        time, viewNumber, windows, gateways, List.copyOf(proposals), caches, openedAt, budget);
  }

  ModelWorld withBudget(FaultBudget remaining) {
    return new ModelWorld(
        time, viewNumber, windows, gateways, delayed, caches, openedAt, remaining);
  }

  /** Returns the state with the next view. {@code opens} is true if that view opens a window. */
  ModelWorld withNextView(SortedMap<String, MaintenanceWindow> changed, boolean opens) {
    return new ModelWorld(
        time, viewNumber + 1, changed, gateways, delayed, caches, opens ? time : openedAt, budget);
  }

  ModelWorld atNextTime(List<ModelCache> changed) {
    return new ModelWorld(
        time + 1, viewNumber, windows, gateways, delayed, List.copyOf(changed), openedAt, budget);
  }

  /** Whether a window in progress withholds a cache. */
  boolean isWithheld(int cache) {
    return windows.values().stream()
        .anyMatch(
            window ->
                window.phase().withholdsCaches()
                    && window.caches().contains(CoordinatorModel.CACHE_NAMES.get(cache)));
  }

  /** Returns the number of caches that are up, warm and in no window. */
  int servingCaches() {
    int serving = 0;
    for (int cache = 0; cache < caches.size(); cache++) {
      if (caches.get(cache).inService(time) && !isWithheld(cache)) {
        serving++;
      }
    }
    return serving;
  }
}
