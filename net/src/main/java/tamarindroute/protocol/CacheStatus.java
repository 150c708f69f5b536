package tamarindroute.protocol;

import tamarindroute.decision.Outcome.Result;

/** Status of a cache's response to a request. */
public enum CacheStatus {
  /** The bytes follow. */
  SERVED("ACK", Result.SERVED),
  /** The client's copy is current; no bytes follow. */
  NOT_MODIFIED("NOMOD", Result.SERVED),
  /** The cache does not hold the object; nothing ran. */
  MISS("NOENT", Result.MISS),
  /** The cache is full; nothing ran. */
  REJECTED("AGAIN", Result.REJECTED),
  /** The request may have run. */
  FAILED("EIO", Result.FAILED),
  /** The request's time was over when it arrived; nothing ran. */
  EXPIRED("STALE", Result.DEADLINE_EXCEEDED),
  /** Any other status, or none: the request may have run. */
  UNKNOWN("", Result.FAILED);

  private final String wireName;
  private final Result result;

  CacheStatus(String wireName, Result result) {
    this.wireName = wireName;
    this.result = result;
  }

  /** Spelling on the wire. */
  String wireName() {
    return wireName;
  }

  /** What the status means for the attempt. */
  public Result result() {
    return result;
  }

  /** Decodes a status; {@link #UNKNOWN} if it is none of the protocol. */
  static CacheStatus decode(String wireName) {
    for (CacheStatus status : VALUES) {
      if (status.wireName.equals(wireName)) {
        return status;
      }
    }
    return UNKNOWN;
  }

  private static final CacheStatus[] VALUES = values();
}
