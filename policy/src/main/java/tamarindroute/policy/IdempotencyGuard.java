package tamarindroute.policy;

import static tamarindroute.numeric.Seconds.seconds;

import tamarindroute.decision.Attempt;
import tamarindroute.decision.Request;
import tamarindroute.decision.RequestClass;
import tamarindroute.decision.RequestClass.DeduplicationScope;
import tamarindroute.decision.RequestClass.Idempotency;

/** Ensures that no request is executed twice with an effect each time. */
final class IdempotencyGuard {

  /** Share of the deduplication window within which a keyed request may be repeated. */
  private static final double SAFE_WINDOW_SHARE = 0.5;

  private IdempotencyGuard() {}

  /**
   * Whether an attempt of the request may start now.
   *
   * @param excluded an attempt to be treated as not executed; null for none
   * @param now seconds since the start of the instance
   */
  static boolean mayStart(Request request, Attempt excluded, double now) {
    Attempt executed = request.firstPossiblyExecuted(excluded);
    if (executed == null) {
      return true;
    }
    RequestClass requestClass = request.requestClass;
    return switch (requestClass.idempotency()) {
      case IDEMPOTENT -> true;
      case KEYED ->
          now - seconds(executed.sentAt)
              < SAFE_WINDOW_SHARE * seconds(requestClass.deduplicationWindow());
      case NON_IDEMPOTENT -> false;
    };
  }

  /**
   * Whether the cache would recognize a repetition of an attempt that may have been executed
   * elsewhere.
   */
  static boolean isWithinScope(Request request, CacheState state) {
    Attempt executed = request.firstPossiblyExecuted(null);
    RequestClass requestClass = request.requestClass;
    return executed == null
        || requestClass.idempotency() == Idempotency.IDEMPOTENT
        || requestClass.deduplicationScope().sharedBy(executed.cache, state.cache());
  }

  /** Whether the client may safely send the request again through any gateway. */
  static boolean isSafeToRepeat(Request request) {
    RequestClass requestClass = request.requestClass;
    return request.firstPossiblyExecuted(null) == null
        || requestClass.idempotency() == Idempotency.IDEMPOTENT
        || (requestClass.idempotency() == Idempotency.KEYED
            && requestClass.deduplicationScope() == DeduplicationScope.ALL);
  }
}
