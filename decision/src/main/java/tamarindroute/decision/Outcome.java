package tamarindroute.decision;

import java.time.Duration;

/** How a trip came back; sourceWait is null where it is not told. */
public record Outcome(
    Result result,
    Detail detail,
    Duration duration,
    Duration sourceWait,
    boolean requestCompleted) {

  public enum Result {
    SERVED(false),
    FAILED(false),
    REJECTED(true),
    TIMED_OUT(false),
    CONNECT_FAILED(true),
    CONNECTION_LOST(false),
    CANCELLED(false),
    NOT_SENT(true),
    /** It came to the cache, which did not run it: its time was over. */
    DEADLINE_EXCEEDED(true),
    MISS(true);

    /** Whether it proves that the view did not run. */
    public final boolean provesNotExecuted;

    Result(boolean provesNotExecuted) {
      this.provesNotExecuted = provesNotExecuted;
    }
  }

  public enum Detail {
    UNKNOWN,
    HIT,
    FILLED,
    FROM_ORIGIN,
    COALESCED,
    STALE,
    SOURCE_REFUSED,
    SOURCE_FAILED,
    SOURCE_MISS,
    FILL_CAPACITY_EXHAUSTED,
    ORIGIN_FAILED
  }
}
