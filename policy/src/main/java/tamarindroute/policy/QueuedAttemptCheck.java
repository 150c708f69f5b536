package tamarindroute.policy;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import tamarindroute.decision.Attempt;
import tamarindroute.decision.Request;

/**
 * Checks whether an attempt that waited for its connection may still be sent. Events since the
 * decision, and the time that has passed, apply to it as to a new attempt.
 */
final class QueuedAttemptCheck {

  private final PurgeTracker purges;

  QueuedAttemptCheck(PurgeTracker purges) {
    this.purges = purges;
  }

  /** Whether the attempt may be sent now. */
  boolean mayStillSend(Request request, Attempt attempt, double now) {
    return attempt.cache.isReady()
        && attempt.source.isReady()
        && isForSameProcesses(attempt)
        && excludesPurgedCopies(request, attempt, now)
        && AttemptPlanner.hasTimeLeft(request, now)
        && IdempotencyGuard.mayStart(request, attempt, now);
  }

  /** Whether neither the cache nor the source has restarted since the decision. */
  private static boolean isForSameProcesses(Attempt attempt) {
    return Objects.equals(attempt.cache.startedAt, attempt.cacheStartedAt)
        && Objects.equals(attempt.source.startedAt, attempt.sourceStartedAt);
  }

  /**
   * Whether the maximum copy age of the attempt also excludes copies from before purges that
   * arrived since the decision.
   */
  private boolean excludesPurgedCopies(Request request, Attempt attempt, double now) {
    if (!request.requestClass.cacheable()) {
      return true;
    }
    Optional<Duration> maxCopyAge = purges.maxCopyAge(request, now);
    return maxCopyAge.isEmpty()
        || (attempt.maxCopyAge != null && attempt.maxCopyAge.compareTo(maxCopyAge.get()) <= 0);
  }
}
