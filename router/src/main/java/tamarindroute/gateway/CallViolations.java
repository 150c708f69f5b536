package tamarindroute.gateway;

import tamarindroute.protocol.ClientProtocol;
import tamarindroute.protocol.MalformedMessageException;

/**
 * Counts one connection's calls that break the protocol although their frames are well-formed. Too
 * many are an error of the whole connection: they cost time and memory that requests need.
 */
final class CallViolations {

  /** More calls with invalid fields are an error. */
  private static final int MAX_INVALID_CALLS = 64;

  /**
   * More calls in a row beyond the limit of open requests are an error. A client that keeps the
   * limit, but gives requests up without a word, sends half as many.
   */
  private static final int MAX_CALLS_BEYOND_LIMIT = 2 * ClientProtocol.MAX_OPEN_REQUESTS;

  private int invalidCalls;
  private int callsBeyondLimit;

  /**
   * Counts a call.
   *
   * @param valid whether its fields are valid
   * @param withinLimit whether the connection had fewer open requests than it may have
   * @throws MalformedMessageException if there were too many violations
   */
  void onCall(boolean valid, boolean withinLimit) throws MalformedMessageException {
    if (!valid) {
      invalidCalls++;
    }
    callsBeyondLimit = withinLimit ? 0 : callsBeyondLimit + 1;
    if (invalidCalls > MAX_INVALID_CALLS) {
      throw new MalformedMessageException(
          invalidCalls + " calls with invalid fields, allowed: " + MAX_INVALID_CALLS);
    }
    if (callsBeyondLimit > MAX_CALLS_BEYOND_LIMIT) {
      throw new MalformedMessageException(
          callsBeyondLimit
              + " calls in a row beyond the limit of open requests, allowed: "
              + MAX_CALLS_BEYOND_LIMIT);
    }
  }
}
