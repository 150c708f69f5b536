package tamarindroute.maintenance;

import java.time.Duration;
import java.util.List;

/**
 * Operators' request to take either named caches or a share of a location's edges out of service,
 * each cache for the same length of time and within the same bounds.
 *
 * @param id identifies the request in the plan
 * @param caches names of the caches; empty if a share is requested
 * @param location the location whose edges the share refers to; null if caches are named
 * @param share the minimum fraction of the location's edges, by number, that must get a window,
 *     from 0 to 1; 0 if caches are named
 * @param length how long each cache is out of service, including its drain; positive
 * @param earliest agreed time before which no window starts
 * @param latest agreed time by which the last window must end; its caches may still be cold then
 * @param placementOrder requests with a lower number are placed first
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

  /**
   * Validates the request.
   *
   * @throws IllegalArgumentException if the length is not positive, or if both or neither of caches
   *     and location are given
   */
  public MaintenanceRequest {
    caches = List.copyOf(caches);
    if (length.isNegative() || length.isZero()) {
      throw new IllegalArgumentException(
          "length of maintenance request " + id + " is " + length + ", must be positive");
    }
    if (caches.isEmpty() == (location == null)) {
      throw new IllegalArgumentException(
          "maintenance request "
              + id
              + " has caches "
              + caches
              + " and location "
              + location
              + ", must have either caches or a location");
    }
  }

  /** Returns a request for all of the named caches, with placement order 0. */
  public static MaintenanceRequest forCaches(
      String id, List<String> caches, Duration length, Duration earliest, Duration latest) {
    return new MaintenanceRequest(id, caches, null, 0, length, earliest, latest, 0);
  }

  /** Returns a request for a share of a location's edges, with placement order 0. */
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
