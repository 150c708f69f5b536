package tamarindroute.maintenance;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;

/**
 * One state of the model: two gateways, the agreed view and the caches. Immutable.
 *
 * @param time seconds
 * @param viewNumber number of the agreed view
 * @param windows the windows of the agreed view
 * @param gateways both gateways
 * @param delayed proposals that arrive in the next step
 * @param caches in the order of {@link CoordinatorModel#NAMES}
 * @param openedAt time at which a window was opened last
 * @param budget faults that may still happen
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
   * A gateway that believes it leads.
   *
   * @param state the coordinator's state
   * @param dead killed; starts anew in the next step
   * @param original false once it was killed
   * @param cutSteps steps for which it has been out of contact; 0 while in contact
   * @param revision of the settings that it has read
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
   * A cache.
   *
   * @param incarnation counts its starts
   * @param up whether it answers
   * @param warmAt time from which it is warm
   * @param failed it is down for good
   * @param lost it will not return from its window
   */
  record ModelCache(int incarnation, boolean up, int warmAt, boolean failed, boolean lost) {

    boolean inService(int time) {
      return up && time >= warmAt;
    }

    ModelCache down() {
      return new ModelCache(incarnation, false, 0, failed, lost);
    }

    ModelCache failedForGood() {
      return new ModelCache(incarnation, false, 0, true, lost);
    }

    ModelCache lostForGood() {
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

  ModelWorld withBudget(FaultBudget left) {
    return new ModelWorld(time, viewNumber, windows, gateways, delayed, caches, openedAt, left);
  }

  /** With the next view; {@code opens} if it opened a window. */
  ModelWorld withNextView(SortedMap<String, MaintenanceWindow> changed, boolean opens) {
    return new ModelWorld(
        time, viewNumber + 1, changed, gateways, delayed, caches, opens ? time : openedAt, budget);
  }

  ModelWorld atNextTime(List<ModelCache> changed) {
    return new ModelWorld(
        time + 1, viewNumber, windows, gateways, delayed, List.copyOf(changed), openedAt, budget);
  }

  /** Whether a window that is under way withholds a cache. */
  boolean isWithheld(int cache) {
    return windows.values().stream()
        .anyMatch(
            window ->
                window.phase().withholdsCaches()
                    && window.caches().contains(CoordinatorModel.NAMES.get(cache)));
  }

  /** The number of caches that are up, warm and in no window. */
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
