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
 * Remembers recent purges, so that no copy from before one is served until all caches have dropped
 * it.
 */
final class PurgeTracker {

  private static final double LONG_AGO = -1e9;

  /**
   * Seconds for which a purge is remembered: twice the propagation, since fills may have been under
   * way.
   */
  private final double retention;

  private final Map<Long, Double> issuedByObject = new HashMap<>();
  private final Map<Integer, Double> issuedByGroup = new HashMap<>();

  PurgeTracker(Duration propagationTime) {
    retention = 2 * seconds(propagationTime);
  }

  void onPurge(Purge purge, double now) {
    issuedByObject.values().removeIf(issued -> now - issued > retention);
    issuedByGroup.values().removeIf(issued -> now - issued > retention);
    double issuedAt = seconds(purge.issuedAt());
    if (purge.objectId() == null) {
      issuedByGroup.merge(purge.group(), issuedAt, Math::max);
    } else {
      issuedByObject.merge(purge.objectId(), issuedAt, Math::max);
    }
  }

  /** Returns when the requested object was last purged; far in the past if not recently. */
  double lastPurge(Request request) {
    return Math.max(
        issuedByObject.getOrDefault(request.objectId, LONG_AGO),
        issuedByGroup.getOrDefault(request.purgeGroup, LONG_AGO));
  }

  /**
   * Returns the age that a copy may have, at the source too; empty if only the maximum age of the
   * class binds.
   */
  Optional<Duration> maxCopyAge(Request request, double now) {
    double sincePurge = now - lastPurge(request);
    double maxAge = seconds(request.requestClass.maxAge());
    boolean maxAgeIsStricter = maxAge > 0 && maxAge < sincePurge;
    return sincePurge > retention || maxAgeIsStricter
        ? Optional.empty()
        : Optional.of(toDuration(Math.max(0, sincePurge)));
  }
}
