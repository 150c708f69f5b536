package tamarindroute.policy;

import static tamarindroute.numeric.Seconds.seconds;

import tamarindroute.decision.Attempt;
import tamarindroute.decision.Request;
import tamarindroute.decision.RequestClass;
import tamarindroute.decision.RequestClass.DeduplicationScope;
import tamarindroute.decision.RequestClass.Idempotency;

/** Ensures that no request takes effect twice. */
final class IdempotencyGuard {

  /** Part of the deduplication window within which a keyed request may be repeated. */
  private static final double SAFE_WINDOW_SHARE = 0.5;

  private IdempotencyGuard() {}

  /**
   * Whether an attempt of the request may start now.
   *
   * @param excluded an attempt that does not count as possibly executed; null for none
   */
  static boolean mayStart(Request request, Attempt excluded, double now) {
    Attempt executed = request.firstPossiblyExecuted(excluded);
    if (executed == null) {
      return true;
    }
    RequestClass terms = request.requestClass;
    return switch (terms.idempotency()) {
      case IDEMPOTENT -> true;
      case KEYED ->
          now - seconds(executed.sentAt) < SAFE_WINDOW_SHARE * seconds(terms.deduplicationWindow());
      case NON_IDEMPOTENT -> false;
    };
  }

  /** Whether a repetition at this cache would be recognized as one. */
  static boolean isWithinScope(Request request, CacheState state) {
    Attempt executed = request.firstPossiblyExecuted(null);
    RequestClass terms = request.requestClass;
    return executed == null
        || terms.idempotency() == Idempotency.IDEMPOTENT
        || terms.deduplicationScope().sharedBy(executed.cache, state.cache());
  }

  /** Whether the client may send the request again by any gateway. */
  static boolean isSafeToRepeat(Request request) {
    RequestClass terms = request.requestClass;
    return request.firstPossiblyExecuted(null) == null
        || terms.idempotency() == Idempotency.IDEMPOTENT
        || (terms.idempotency() == Idempotency.KEYED
            && terms.deduplicationScope() == DeduplicationScope.ALL);
  }
}
