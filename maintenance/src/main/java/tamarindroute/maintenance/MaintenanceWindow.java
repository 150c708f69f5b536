package tamarindroute.maintenance;

import java.time.Duration;
import java.util.List;

/**
 * A maintenance window as an entry of the agreed view. The entry contains everything that a new
 * leader needs to continue with the window. Times are agreed time, which is monotonic and the same
 * for all members that have the view.
 *
 * @param id identifies the window
 * @param phase the current phase
 * @param revision the revision of the settings that requested the window; only a later revision can
 *     withdraw it
 * @param caches names of the caches that are taken out of service, 1 to {@link #MAX_CACHES}
 * @param length how long the caches are out of service, including their drain; positive
 * @param earliest the time before which the window must not start
 * @param latest the time by which the window must end
 * @param start the start of the window; null before the window is scheduled
 * @param end the time at which the caches must be back; null before the window is scheduled
 */
public record MaintenanceWindow(
    String id,
    Phase phase,
    int revision,
    List<String> caches,
    Duration length,
    Duration earliest,
    Duration latest,
    Duration start,
    Duration end) {

  /** The phases of a window, in order. A window never returns to an earlier phase. */
  public enum Phase {
    /** Copied from the settings to the agreed view; not scheduled yet. */
    REQUESTED,
    /** Has a start and an end. */
    SCHEDULED,
    /** The caches receive no new requests. */
    DRAINING,
    /** The caches may be taken out of service. */
    OPEN,
    /** The caches receive requests again and are expected to become warm. */
    RETURNING,
    /** Ended after its caches were drained. */
    CLOSED,
    /** Ended before any cache was drained. */
    CANCELLED;

    /**
     * Whether the caches of the window are excluded from coverage and capacity, regardless of their
     * observations.
     */
    public boolean withholdsCaches() {
      return this == DRAINING || this == OPEN || this == RETURNING;
    }

    /** Whether the caches of the window receive no new requests. */
    boolean drains() {
      return this == DRAINING || this == OPEN;
    }

    /** Whether this phase is final. */
    public boolean ended() {
      return this == CLOSED || this == CANCELLED;
    }
  }

  /**
   * Maximum number of caches of one window, which bounds the size of the entry. A window has at
   * most all edges of one location.
   */
  public static final int MAX_CACHES = 256;

  /** Prefix of the keys of windows in the agreed view. */
  static final String KEY_PREFIX = "window/";

  /**
   * Validates the window.
   *
   * @throws IllegalArgumentException if the number of caches is out of bounds or the length is not
   *     positive
   */
  public MaintenanceWindow {
    caches = List.copyOf(caches);
    if (caches.isEmpty() || caches.size() > MAX_CACHES) {
      throw new IllegalArgumentException(
          "window " + id + " has " + caches.size() + " caches, must have 1 to " + MAX_CACHES);
    }
    if (length.isNegative() || length.isZero()) {
      throw new IllegalArgumentException(
          "length of window " + id + " is " + length + ", must be positive");
    }
  }

  /** Returns a window in phase {@link Phase#REQUESTED}, without start and end. */
  public static MaintenanceWindow requested(
      String id,
      int revision,
      List<String> caches,
      Duration length,
      Duration earliest,
      Duration latest) {
    return new MaintenanceWindow(
        id, Phase.REQUESTED, revision, caches, length, earliest, latest, null, null);
  }

  MaintenanceWindow withPhase(Phase next) {
    return withPhase(next, start, end);
  }

  MaintenanceWindow withPhase(Phase next, Duration newStart, Duration newEnd) {
    return new MaintenanceWindow(
        id, next, revision, caches, length, earliest, latest, newStart, newEnd);
  }

  /** Returns the key of the entry in the agreed view. */
  String key() {
    return KEY_PREFIX + id;
  }
}
