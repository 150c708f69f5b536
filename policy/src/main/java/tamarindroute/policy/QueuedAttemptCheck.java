package tamarindroute.policy;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import tamarindroute.decision.Attempt;
import tamarindroute.decision.Request;

/**
 * Decides whether an attempt that waited for its connection could still be decided like this now.
 */
final class QueuedAttemptCheck {

  private final PurgeTracker purges;

  QueuedAttemptCheck(PurgeTracker purges) {
    this.purges = purges;
  }

  boolean mayStillSend(Request request, Attempt attempt, double now) {
    return attempt.cache.isReady()
        && attempt.source.isReady()
        && isForSameProcesses(attempt)
        && excludesPurgedCopies(request, attempt, now)
        && AttemptPlanner.hasTimeLeft(request, now)
        && IdempotencyGuard.mayStart(request, attempt, now);
  }

  private static boolean isForSameProcesses(Attempt attempt) {
    return Objects.equals(attempt.cache.startedAt, attempt.cacheStartedAt)
        && Objects.equals(attempt.source.startedAt, attempt.sourceStartedAt);
  }

  private boolean excludesPurgedCopies(Request request, Attempt attempt, double now) {
    if (!request.requestClass.cacheable()) {
      return true;
    }
    Optional<Duration> maxCopyAge = purges.maxCopyAge(request, now);
    return maxCopyAge.isEmpty()
        || (attempt.maxCopyAge != null && attempt.maxCopyAge.compareTo(maxCopyAge.get()) <= 0);
  }
}
