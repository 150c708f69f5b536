package tamarindroute.decision;

import java.time.Duration;

/**
 * Service terms of one class of requests.
 *
 * @param idempotency effect of a second execution
 * @param deduplicationScope the caches among which a repeated idempotency key is recognized
 * @param deduplicationWindow how long an idempotency key is recognized
 * @param latencyObjective time from arrival within which an answer is due, in addition to the time
 *     for its transfer
 * @param transferTimeFactor multiple of the transfer time that is added to the objective
 * @param cacheable whether caches may store answers
 * @param maxAge maximum age of a copy that is served without revalidation; zero if copies do not
 *     age
 */
public record RequestClass(
    Idempotency idempotency,
    DeduplicationScope deduplicationScope,
    Duration deduplicationWindow,
    Duration latencyObjective,
    double transferTimeFactor,
    boolean cacheable,
    Duration maxAge) {

  /** The effect of executing a request twice, from the most to the least permissive. */
  public enum Idempotency {
    /** A second execution has no further effect. */
    IDEMPOTENT,
    /**
     * A second execution is recognized by its idempotency key within the deduplication window and
     * scope.
     */
    KEYED,
    /** A second execution has an effect of its own. */
    NON_IDEMPOTENT
  }

  /** The caches among which an idempotency key is known, from the widest scope to the narrowest. */
  public enum DeduplicationScope {
    /** All caches. */
    ALL,
    /** The caches of one zone. */
    ZONE,
    /** The caches of one cell. */
    CELL;

    /** Whether a key used at one of the caches is recognized at the other. */
    public boolean sharedBy(Cache first, Cache second) {
      return switch (this) {
        case ALL -> true;
        case ZONE -> first.zone == second.zone;
        case CELL -> first.cell == second.cell;
      };
    }
  }
}
