package tamarindroute.maintenance;

import java.time.Duration;
import java.util.Collection;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.Set;

/** Decides when windows fit and what is short. Implementations are pure functions. */
public interface CoverageAssessor {

  /** The result of looking for a time for a window. */
  sealed interface Slot {
    /** The window may start at an agreed time. */
    record Found(Duration start) implements Slot {}

    /** The window fits at no time within its bounds. */
    record Unavailable(Shortage shortage) implements Slot {}
  }

  /** Looks for a time for a window beside the others. */
  Slot findSlot(MaintenanceWindow requested, Collection<MaintenanceWindow> others, Duration now);

  /**
   * The shortage that exists while some caches are out.
   *
   * @param out names of the caches that can't be counted on
   * @param withReserve whether one further failure must be tolerated
   * @param now agreed time
   */
  Optional<Shortage> shortage(NavigableSet<String> out, boolean withReserve, Duration now);

  /** Names of all caches that may be cover. */
  Set<String> caches();
}
