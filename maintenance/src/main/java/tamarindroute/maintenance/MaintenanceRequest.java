package tamarindroute.maintenance;

import java.time.Duration;
import java.util.List;

/**
 * Operators' request to take out some caches, or a share of a location's edges, each for a length
 * of time between two bounds.
 *
 * @param id identifies the request in the plan
 * @param caches names of the caches; empty when a share is requested
 * @param location the location of a requested share; null when caches are named
 * @param share the least part of the location's edges, by number, that must get a window
 * @param length how long each cache is out, its drain included
 * @param earliest agreed time before which no window starts
 * @param latest agreed time by which the last window has ended; its caches may still be cold then
 * @param placementOrder requests with lower numbers are placed first
 */
public record MaintenanceRequest(
    String id,
    List<String> caches,
    String location,
    double share,
    Duration length,
    Duration earliest,
    Duration latest,
    int placementOrder) {

  /** Refuses a length that is not positive, and both or neither of caches and location. */
  public MaintenanceRequest {
    caches = List.copyOf(caches);
    if (length.isNegative() || length.isZero()) {
      throw new IllegalArgumentException(
          "length of maintenance request " + id + " is " + length + ", must be positive");
    }
    if (caches.isEmpty() == (location == null)) {
      throw new IllegalArgumentException(
          "maintenance request " + id + " must name either caches or a location");
    }
  }

  /** A request for all of the named caches. */
  public static MaintenanceRequest forCaches(
      String id, List<String> caches, Duration length, Duration earliest, Duration latest) {
    return new MaintenanceRequest(id, caches, null, 0, length, earliest, latest, 0);
  }

  /** A request for a share of a location's edges. */
  public static MaintenanceRequest forShare(
      String id,
      String location,
      double share,
      Duration length,
      Duration earliest,
      Duration latest) {
    return new MaintenanceRequest(id, List.of(), location, share, length, earliest, latest, 0);
  }
}
