package tamarindroute.windows;

import java.time.Duration;
import java.util.List;

/**
 * A window as it is agreed. All that a gateway needs to go on with it stands here, so that whoever
 * leads next can. Times are agreed time: monotonic, the same for all that hold the view.
 *
 * @param revision of the wishes that asked for it: only later ones withdraw it
 * @param start null until a time is reserved
 * @param end when its caches are to be back
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

  /** A window's phases in their order; {@code CALLED_OFF} is one that never drained anything. */
  public enum Phase {
    REQUESTED,
    SCHEDULED,
    DRAINING,
    OPEN,
    RETURNING,
    CLOSED,
    CANCELLED;

    /** Whether the caches don't count as cover, whatever is heard of them. */
    public boolean withholdsCaches() {
      return this == DRAINING || this == OPEN || this == RETURNING;
    }

    public boolean ended() {
      return this == CLOSED || this == CANCELLED;
    }
  }

  /** What is agreed is bounded: a batch is at most a location's edges. */
  public static final int MAX_CACHES = 256;

  public MaintenanceWindow {
    caches = List.copyOf(caches);
    if (caches.isEmpty() || caches.size() > MAX_CACHES || length.isNegative() || length.isZero()) {
      throw new IllegalArgumentException(
          "window " + id + " of " + caches.size() + " caches, " + length);
    }
  }

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
    return new MaintenanceWindow(id, next, revision, caches, length, earliest, latest, start, end);
  }

  MaintenanceWindow scheduled(Phase next, Duration from, Duration to) {
    return new MaintenanceWindow(id, next, revision, caches, length, earliest, latest, from, to);
  }

  String key() {
    return "window/" + id;
  }
}
