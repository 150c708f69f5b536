package tamarindroute.net;

import tamarindroute.decision.Outcome.Result;

/**
 * Owns every way in which a connection can end, and what each means for the trips that were out on
 * it: the one place where the network's words become the module's. It must never hold anything else
 * of a connection.
 */
public enum CloseReason {
  /** The other side's machine answered that nobody listens. */
  REFUSED(Result.CONNECT_FAILED),
  /** The machine could not be reached at all. */
  UNREACHABLE(Result.CONNECT_FAILED),
  /** No connection came up in the time of the settings. */
  TIMED_OUT(Result.CONNECT_FAILED),
  /** This gateway has no descriptor left for it. */
  NO_DESCRIPTOR(Result.NOT_SENT),
  /** While the request waited for its connection, it came to be unwanted there. */
  NO_LONGER_WANTED(Result.NOT_SENT),
  /** The other side closed in order, with trips out. */
  CLOSED(Result.CONNECTION_LOST),
  /** The other side's process died, or its machine dropped the connection. */
  RESET(Result.CONNECTION_LOST),
  /** The other side stopped in the midst of an answer. */
  STALLED(Result.CONNECTION_LOST),
  /** What came could not be read. */
  PROTOCOL_ERROR(Result.CONNECTION_LOST),
  /** This gateway closed it: it was idle, or is not wanted any more. */
  CLOSED_LOCALLY(Result.CANCELLED);

  private final Result resultIfWritten;

  CloseReason(Result resultIfWritten) {
    this.resultIfWritten = resultIfWritten;
  }

  /** What became of a trip; one that was not written whole to the connection cannot have run. */
  public Result result(boolean written) {
    if (written || resultIfWritten.provesNotExecuted) {
      return resultIfWritten;
    }
    // Whoever let it go did so for reasons of their own, which say nothing against the cache.
    return this == CLOSED_LOCALLY ? Result.NOT_SENT : Result.CONNECT_FAILED;
  }

  /**
   * Whether this gateway ended it. MINA's thread may be in the midst of writing what it was given
   * by then, and tells of it only afterwards; an end from the other side is told after the last
   * that left.
   */
  boolean isLocal() {
    return this == STALLED || this == PROTOCOL_ERROR || this == CLOSED_LOCALLY;
  }
}
