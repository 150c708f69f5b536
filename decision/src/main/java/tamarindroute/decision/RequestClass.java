package tamarindroute.decision;

import java.time.Duration;

/**
 * Service terms of one class of requests.
 *
 * @param idempotency what a second execution would do
 * @param deduplicationScope which caches recognize a repeated key
 * @param deduplicationWindow how long a key is remembered
 * @param latencyObjective time within which an answer is due, without its transfer
 * @param transferTimeFactor times the transfer time that is added to the objective
 * @param cacheable whether answers may be kept by caches
 * @param maxAge how old a copy may be served without revalidation; zero if copies do not age
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
    /** A second execution is recognized by its idempotency key within the window and scope. */
    KEYED,
    /** A second execution has an effect of its own. */
    NON_IDEMPOTENT
  }

  /** The caches among which an idempotency key is known, from the widest to the narrowest. */
  public enum DeduplicationScope {
    ALL,
    ZONE,
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
