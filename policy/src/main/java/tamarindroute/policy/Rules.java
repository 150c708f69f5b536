package tamarindroute.policy;

import static tamarindroute.numeric.Seconds.*;

import java.time.Duration;
import java.util.*;
import tamarindroute.decision.*;
import tamarindroute.decision.RequestClass.Idempotency;
import tamarindroute.numeric.DecayingValue;

/**
 * Owns what guards the rules: no effect twice, no copy from before a purge, few tries, how to give
 * up. Its purges tell when objects (by a Long) and groups (by an Integer) were last purged.
 */
record Rules(
    CacheTiers tiers, Map<Object, Double> purges, DecayingValue ended, DecayingValue swamped) {

  Rules(CacheTiers tiers) {
    this(tiers, new LinkedHashMap<>(), new DecayingValue(3, 0), new DecayingValue(3, 0));
  }

  void purged(Purge purge, double now) {
    purges.values().removeIf(made -> now - made > purgesBind());
    Object purged = purge.objectId() == null ? (Object) purge.group() : purge.objectId();
    purges.merge(purged, seconds(purge.issuedAt()), Math::max);
  }

  /** When this view's object was last purged; far in the past if not lately. */
  double purgedAt(Request request) {
    return Math.max(
        purges.getOrDefault(request.objectId, -1e9), purges.getOrDefault(request.purgeGroup, -1e9));
  }

  /**
   * The oldest copy that will do, at the source too: none from before a purge or past its fresh
   * time.
   */
  Duration oldest(Request request, double now) {
    double since = now - purgedAt(request), fresh = seconds(request.requestClass.maxAge());
    return since > purgesBind() || fresh > 0 && fresh < since
        ? null
        : toDuration(Math.max(0, since));
  }

  /**
   * The time in which all caches forget by themselves, twice over for fills that were under way.
   */
  private double purgesBind() {
    return 2 * seconds(tiers.settings.purgePropagationTime());
  }

  /**
   * None while over a tenth of the latest were turned away, else two; legs after a miss don't
   * count.
   */
  boolean furtherAllowed(Request request, double now) {
    return request.attemptCount() <= (swamped.valueAt(now) > 1 + 0.1 * ended.valueAt(now) ? 0 : 2);
  }

  /** No effect twice: a numbered view goes out again only in the first half of its window. */
  static boolean mayRun(Request request, Attempt excluded, double now) {
    Attempt ran = request.firstPossiblyExecuted(excluded);
    return ran == null
        || request.requestClass.idempotency() == Idempotency.IDEMPOTENT
        || request.requestClass.idempotency() == Idempotency.KEYED
            && now - seconds(ran.sentAt)
                < 0.5 * seconds(request.requestClass.deduplicationWindow());
  }

  /** What was told since a trip was decided, and the time that passed, bind it like a new one. */
  boolean mayStillGo(Request request, Attempt attempt, double now) {
    Duration oldest = request.requestClass.cacheable() ? oldest(request, now) : null;
    return attempt.cache.isReady()
        && attempt.source.isReady()
        && Objects.equals(attempt.cache.startedAt, attempt.cacheStartedAt)
        && Objects.equals(attempt.source.startedAt, attempt.sourceStartedAt)
        && (oldest == null
            || attempt.maxCopyAge != null && attempt.maxCopyAge.compareTo(oldest) <= 0)
        && seconds(request.deadline) - now >= 0.002
        && mayRun(request, attempt, now);
  }

  static boolean inGroup(Request request, CacheState node) {
    Attempt ran = request.firstPossiblyExecuted(null);
    return ran == null
        || request.requestClass.idempotency() == Idempotency.IDEMPOTENT
        || request.requestClass.deduplicationScope().sharedBy(ran.cache, node.cache);
  }

  /** The final answer, at once; the advice is spread so that not all come back together. */
  Decision giveUp(Request request) {
    boolean harmless =
        request.firstPossiblyExecuted(null) == null
            || request.requestClass.idempotency() == Idempotency.IDEMPOTENT
            || request.requestClass.idempotency() == Idempotency.KEYED
                && request.requestClass.deduplicationScope() == RequestClass.DeduplicationScope.ALL;
    Duration most = tiers.settings.maxRetryAfter();
    return !harmless
        ? new Decision.Fail()
        : new Decision.Reject(
            most == null ? null : toDuration(seconds(most) * (0.5 + 0.5 * tiers.nextRandom())));
  }
}
