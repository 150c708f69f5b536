package tamarindroute.windows;

import java.time.Duration;
import java.util.List;

/**
 * What operators ask for: some caches, or a share of a location's edges, each out for a length
 * between two times.
 *
 * @param caches the caches; empty when a share is asked for
 * @param location where the share is taken from
 * @param share the least part of the location's edges, by number, that must have had its window
 * @param length how long each cache is out, its drain included
 * @param latest when the last window must have ended; its caches may still be cold then
 * @param placementOrder lower ones are placed first
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
  public MaintenanceRequest {
    caches = List.copyOf(caches);
    if (length.isNegative() || length.isZero() || caches.isEmpty() == (location == null)) {
      throw new IllegalArgumentException(
          "wish " + id + ": a length, and either caches or a location");
    }
  }

  public static MaintenanceRequest forCaches(
      String id, List<String> caches, Duration length, Duration earliest, Duration latest) {
    return new MaintenanceRequest(id, caches, null, 0, length, earliest, latest, 0);
  }

  public static MaintenanceRequest share(
      String id,
      String location,
      double share,
      Duration length,
      Duration earliest,
      Duration latest) {
    return new MaintenanceRequest(id, List.of(), location, share, length, earliest, latest, 0);
  }
}
