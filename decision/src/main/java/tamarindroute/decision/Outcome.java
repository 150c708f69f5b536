package tamarindroute.decision;

import java.time.Duration;

/**
 * The end of an attempt.
 *
 * @param result how the attempt ended
 * @param detail origin of the answer or cause of the failure, as the cache reported it
 * @param duration time from sending the attempt to its end
 * @param sourceWait time to the first byte of the fill source; null if not reported
 * @param requestCompleted whether the request has its final answer
 */
public record Outcome(
    Result result,
    Detail detail,
    Duration duration,
    Duration sourceWait,
    boolean requestCompleted) {

  /** How an attempt ended. */
  public enum Result {
    /** Answered with the requested content. */
    SERVED(false),
    /** The cache reported an error. */
    FAILED(false),
    /** The cache refused the request before it executed it. */
    REJECTED(true),
    /** The gateway stopped waiting at the deadline of the request. */
    TIMED_OUT(false),
    /** No connection to the cache could be established. */
    CONNECT_FAILED(true),
    /** The connection was lost after the request had been written to it. */
    CONNECTION_LOST(false),
    /** The gateway cancelled the attempt. */
    CANCELLED(false),
    /** The attempt was never written to a connection. */
    NOT_SENT(true),
    /** The request reached the cache after its deadline and was not executed. */
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
   * Where the answer came from, or which failure behind the cache prevented it. The order of the
   * constants is the order of their codes in the protocol of the simulator. The constants from
   * {@link #SOURCE_REFUSED} on report a failure.
   */
  public enum Detail {
    /** Not reported by the cache. */
    UNKNOWN,
    /** Served from the cache's own copy. */
    HIT,
    /** Filled from the source. */
    FILLED,
    /** Filled from the source, which had to fetch the object from the origin. */
    FROM_ORIGIN,
    /** Served by a fill of the same object that was already in flight. */
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
