package tamarindroute.maintenance;

import java.time.Duration;
import java.util.List;

/**
 * A maintenance window as an entry of the agreed view. It holds all that a new leader needs to go
 * on with the window. Times are agreed time: monotonic, the same for all members that hold the
 * view.
 *
 * @param id identifies the window
 * @param phase how far it has come
 * @param revision of the settings that requested it; only later ones withdraw it
 * @param caches names of the caches that go out, 1 to {@link #MAX_CACHES}
 * @param length how long they are out
 * @param earliest the window does not start before
 * @param latest the window has ended by then
 * @param start null until the window is scheduled
 * @param end when its caches are to be back; null until the window is scheduled
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

  /** The phases of a window, in order. */
  public enum Phase {
    /** Taken over from the settings; has no time yet. */
    REQUESTED,
    /** Has a time. */
    SCHEDULED,
    /** Its caches get no new requests. */
    DRAINING,
    /** Its caches may be taken out. */
    OPEN,
    /** Its caches are expected back and warm. */
    RETURNING,
    /** Ended after draining. */
    CLOSED,
    /** Ended before anything was drained. */
    CANCELLED;

    /** Whether the window's caches don't count as cover, whatever is reported of them. */
    public boolean withholdsCaches() {
      return this == DRAINING || this == OPEN || this == RETURNING;
    }

    /** Whether the caches get no new requests. */
    boolean drains() {
      return this == DRAINING || this == OPEN;
    }

    /** Whether this phase is final. */
    public boolean ended() {
      return this == CLOSED || this == CANCELLED;
    }
  }

  /** Most caches of one window. */
  public static final int MAX_CACHES = 256;

  /** Prefix of the keys of windows in the agreed view. */
  static final String KEY_PREFIX = "window/";

  /** Refuses a number of caches out of bounds and a length that is not positive. */
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

  /** A window that has no time yet. */
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

  /** The window's key in the agreed view. */
  String key() {
    return KEY_PREFIX + id;
  }
}
