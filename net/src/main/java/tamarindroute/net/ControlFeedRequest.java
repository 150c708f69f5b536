package tamarindroute.net;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

/** Encodes the HTTP request for the control feed's events. */
final class ControlFeedRequest {

  private static final String PATH = "/v1/events";
  private static final String AFTER_EVENT_PARAMETER = "SUB";
  private static final String WAIT_MILLIS_PARAMETER = "wait";
  private static final String CRLF = "\r\n";

  private ControlFeedRequest() {}

  /**
   * Encodes a request.
   *
   * @param feed the feed's address
   * @param lastEventNumber the events after this one are requested
   * @param wait how long the feed may wait for an event
   */
  static byte[] encode(InetSocketAddress feed, long lastEventNumber, Duration wait) {
    String target =
        PATH
            + "?"
            + AFTER_EVENT_PARAMETER
            + "="
            + lastEventNumber
            + "&"
            + WAIT_MILLIS_PARAMETER
            + "="
            + wait.toMillis();
    String request =
        "GET "
            + target
            + " HTTP/1.1"
            + CRLF
            + "Host: "
            + feed.getHostString()
            + ":"
            + feed.getPort()
            + CRLF
            + "Accept: application/json"
            + CRLF
            + CRLF;
    return request.getBytes(StandardCharsets.US_ASCII);
  }
}
