package tamarindroute.maintenance;

import java.time.Duration;
import java.util.Collection;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.Set;

/**
 * Finds start times for windows and detects shortages of coverage and capacity. Implementations are
 * pure functions.
 */
public interface CoverageAssessor {

  /** The result of the search for a start time. */
  sealed interface Slot {
    /**
     * The window may start.
     *
     * @param start the agreed time at which it may start
     */
    record Found(Duration start) implements Slot {}

    /**
     * There is no possible start time within the bounds of the window.
     *
     * @param shortage the shortage that prevents it
     */
    record Unavailable(Shortage shortage) implements Slot {}
  }

  /**
   * Returns a start time for a window, or the shortage that prevents its start.
   *
   * @param requested the window without a start
   * @param others the windows that are scheduled or in progress
   * @param now current agreed time
   */
  Slot findSlot(MaintenanceWindow requested, Collection<MaintenanceWindow> others, Duration now);

  /**
   * Returns the shortage that exists now while some caches are out of service, or empty if there is
   * none.
   *
   * @param out names of the caches that don't count towards coverage and capacity
   * @param withReserve whether one further failure must be tolerated
   * @param now current agreed time
   */
  Optional<Shortage> shortage(NavigableSet<String> out, boolean withReserve, Duration now);

  /**
   * Returns the names of all caches that may count towards coverage. Before a window starts or
   * opens, each of them without a recent observation counts as out of service.
   */
  Set<String> caches();
}
