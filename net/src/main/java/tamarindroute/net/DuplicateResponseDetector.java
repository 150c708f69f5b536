package tamarindroute.net;

/**
 * Whether a cache has recently responded twice to the same request. For such a cache the ids of its
 * last responses are remembered, so that a duplicate is not taken for the response to a later
 * attempt of the same id. The first duplicate may be; requests to which that would do harm are sent
 * by {@link UsedConnections} instead.
 */
final class DuplicateResponseDetector {

  /**
   * Responses after a duplicate until the cache is trusted again; faulty caches duplicate a few in
   * a hundred.
   */
  private static final int SUSPICIOUS_RESPONSES = 200;

  private int remainingSuspicious;

  /** A response came that nobody waited for and whose request was not cancelled. */
  void onDuplicate() {
    remainingSuspicious = SUSPICIOUS_RESPONSES;
  }

  /** Counts a response, and returns whether a duplicate of it may follow. */
  boolean mayDuplicateNext() {
    if (remainingSuspicious == 0) {
      return false;
    }
    remainingSuspicious--;
    return true;
  }
}
