package tamarindroute.decision;

import java.time.Duration;

/**
 * How an attempt ended.
 *
 * @param result the kind of end
 * @param detail where the answer came from, as the cache reported
 * @param duration from sending to the end
 * @param sourceWait wait for the first byte of the fill source; null if not reported
 * @param requestCompleted whether the request has its final answer
 */
public record Outcome(
    Result result,
    Detail detail,
    Duration duration,
    Duration sourceWait,
    boolean requestCompleted) {

  /** The kinds of end of an attempt. */
  public enum Result {
    /** Answered with the requested content. */
    SERVED(false),
    /** The cache reported an error. */
    FAILED(false),
    /** The cache refused the request before executing it. */
    REJECTED(true),
    /** The gateway stopped waiting because the time of the request was over. */
    TIMED_OUT(false),
    /** No connection to the cache was established. */
    CONNECT_FAILED(true),
    /** The connection was lost after the request had been written. */
    CONNECTION_LOST(false),
    /** The gateway cancelled the attempt. */
    CANCELLED(false),
    /** The attempt was never written to a connection. */
    NOT_SENT(true),
    /** The request reached the cache after its time was over and was not executed. */
    DEADLINE_EXCEEDED(true),
    /** The cache, or the source named in the attempt, does not hold the object. */
    MISS(true);

    /** Whether this result proves that the request was not executed. */
    public final boolean provesNotExecuted;

    Result(boolean provesNotExecuted) {
      this.provesNotExecuted = provesNotExecuted;
    }
  }

  /**
   * Where an answer came from, or what failed behind the cache. The order is that of the codes on
   * the simulator's wire; the constants from {@link #SOURCE_REFUSED} on report a fault.
   */
  public enum Detail {
    /** Not reported. */
    UNKNOWN,
    /** Served from the cache's own copy. */
    HIT,
    /** Filled from the source. */
    FILLED,
    /** Filled from the source, which itself had to fetch it from the origin. */
    FROM_ORIGIN,
    /** Joined a fill of the same object that was already under way. */
    COALESCED,
    /** Served from a copy past its maximum age. */
    STALE,
    /** The source refused to fill. */
    SOURCE_REFUSED,
    /** The source failed while filling. */
    SOURCE_FAILED,
    /** The source does not hold the object. */
    SOURCE_MISS,
    /** The cache had no free slot for a fill. */
    FILL_CAPACITY_EXHAUSTED,
    /** The origin failed behind the source. */
    ORIGIN_FAILED
  }
}
