package tamarindroute.policy;

import static tamarindroute.numeric.Seconds.seconds;
import static tamarindroute.numeric.Seconds.toDuration;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import tamarindroute.decision.Purge;
import tamarindroute.decision.Request;

/**
 * Stores recent purges, so that no copy from before a purge is served until all caches have dropped
 * it.
 */
final class PurgeTracker {

  /** Time of a purge that is not recent, in seconds since the start of the instance. */
  private static final double LONG_AGO = -1e9;

  /**
   * Time for which a purge is stored. It is twice the propagation time, since fills may have been
   * in flight when the purge reached the caches.
   */
  private final double retentionSeconds;

  private final Map<Long, Double> issuedByObject = new HashMap<>();
  private final Map<Integer, Double> issuedByGroup = new HashMap<>();

  PurgeTracker(Duration propagationTime) {
    retentionSeconds = 2 * seconds(propagationTime);
  }

  /** Stores a purge and drops those that have reached all caches. */
  void onPurge(Purge purge, double now) {
    issuedByObject.values().removeIf(issued -> now - issued > retentionSeconds);
    issuedByGroup.values().removeIf(issued -> now - issued > retentionSeconds);
    double issuedAt = seconds(purge.issuedAt());
    if (purge.objectId() == null) {
      issuedByGroup.merge(purge.group(), issuedAt, Math::max);
    } else {
      issuedByObject.merge(purge.objectId(), issuedAt, Math::max);
    }
  }

  /**
   * Returns when the requested object or its purge group was last purged, in seconds since the
   * start of the instance; far in the past if not recently.
   */
  double lastPurge(Request request) {
    return Math.max(
        issuedByObject.getOrDefault(request.objectId, LONG_AGO),
        issuedByGroup.getOrDefault(request.purgeGroup, LONG_AGO));
  }

  /**
   * Returns the maximum age of a copy that may be served, also of one at the source. Returns empty
   * if no recent purge restricts it beyond the maximum age of the request class.
   */
  Optional<Duration> maxCopyAge(Request request, double now) {
    double sincePurge = now - lastPurge(request);
    double maxAge = seconds(request.requestClass.maxAge());
    boolean maxAgeIsStricter = maxAge > 0 && maxAge < sincePurge;
    return sincePurge > retentionSeconds || maxAgeIsStricter
        ? Optional.empty()
        : Optional.of(toDuration(Math.max(0, sincePurge)));
  }
}
