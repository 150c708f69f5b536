package tamarindroute.decision;

import java.time.Duration;

/**
 * What the operators agreed for one kind of view; the agreed time grows by stretch times the
 * sending time.
 */
public record RequestClass(
    Idempotency idempotency,
    DeduplicationScope deduplicationScope,
    Duration deduplicationWindow,
    Duration latencyObjective,
    double transferTimeFactor,
    boolean cacheable,
    Duration maxAge) {

  /** What a second run would do. */
  public enum Idempotency {
    IDEMPOTENT,
    KEYED,
    NON_IDEMPOTENT
  }

  /** The caches that know a numbered view again. */
  public enum DeduplicationScope {
    ALL,
    ZONE,
    CELL;

    /** Whether a repeat at the other cache is known again. */
    public boolean sharedBy(Cache first, Cache second) {
      return switch (this) {
        case ALL -> true;
        case ZONE -> first.zone == second.zone;
        case CELL -> first.cell == second.cell;
      };
    }
  }
}
