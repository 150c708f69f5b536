package tamarindroute.net;

import tamarindroute.decision.Outcome.Result;

/**
 * Owns every way in which a connection can end, and what each means for the trips that were out on
 * it: the one place where the network's words become the module's. It must never hold anything else
 * of a connection.
 */
public enum Ending {
  /** The other side's machine answered that nobody listens. */
  REFUSED(Result.UNREACHED),
  /** The machine could not be reached at all. */
  UNREACHABLE(Result.UNREACHED),
  /** No connection came up in the time of the settings. */
  NOT_UP_IN_TIME(Result.UNREACHED),
  /** This gateway has no descriptor left for it. */
  NO_DESCRIPTOR(Result.NOT_SENT),
  /** While the request waited for its connection, it came to be unwanted there. */
  OVERTAKEN(Result.NOT_SENT),
  /** The other side closed in order, with trips out. */
  CLOSED(Result.BROKEN),
  /** The other side's process died, or its machine dropped the connection. */
  RESET(Result.BROKEN),
  /** The other side stopped in the midst of an answer. */
  STALLED(Result.BROKEN),
  /** What came could not be read. */
  UNREADABLE(Result.BROKEN),
  /** This gateway closed it: it was idle, or is not wanted any more. */
  LET_GO(Result.RECALLED);

  private final Result ifWritten;

  Ending(Result ifWritten) {
    this.ifWritten = ifWritten;
  }

  /** What became of a trip; one that was not written whole to the connection cannot have run. */
  public Result result(boolean written) {
    if (written || ifWritten.provesNotRun) {
      return ifWritten;
    }
    // Whoever let it go did so for reasons of their own, which say nothing against the cache.
    return this == LET_GO ? Result.NOT_SENT : Result.UNREACHED;
  }

  /**
   * Whether this gateway ended it. MINA's thread may be in the midst of writing what it was given
   * by then, and tells of it only afterwards; an end from the other side is told after the last
   * that left.
   */
  boolean fromHere() {
    return this == STALLED || this == UNREADABLE || this == LET_GO;
  }
}
