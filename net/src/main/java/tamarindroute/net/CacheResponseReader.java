package tamarindroute.net;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import tamarindroute.log.Log;
import tamarindroute.protocol.CacheProtocol;
import tamarindroute.protocol.CacheResponse;
import tamarindroute.protocol.MalformedMessageException;
import tamarindroute.protocol.RespReader;

/**
 * The receiving half of a connection to a cache: reads response frames, passes them to the handlers
 * of the pending requests that they answer, and closes the connection if a response stalls.
 */
final class CacheResponseReader {

  /**
   * More unsolicited responses in a row than there can be late ones: the other side sends noise
   * without end.
   */
  private static final int MAX_UNSOLICITED_RESPONSES = SettledRequestIds.MAX_CANCELLED + 100;

  /** The protocol's longest deadline: a response that takes longer is of no use. */
  private static final Duration MAX_RESPONSE_TIME = Duration.ofSeconds(3);

  /** When a response that pauses for this process's own sake is checked again. */
  private static final Duration RECHECK_INTERVAL = Duration.ofMillis(20);

  /** Receives the ends of responses. */
  interface ResponseEndListener {

    /**
     * A response has ended.
     *
     * @param id of its request
     * @param request that is complete; null if nobody waited for the response
     */
    void onResponseEnd(String id, PendingRequest request);
  }

  private final Map<String, PendingRequest> pendingRequests;
  private final SettledRequestIds settledIds;
  private final Scheduler scheduler;
  private final Duration stallTimeout;
  private final String cacheId;
  private final ResponseEndListener endListener;
  private final RespReader reader =
      new RespReader(
          CacheProtocol.MAX_ARGUMENTS,
          CacheProtocol.MAX_ARGUMENT_BYTES,
          CacheProtocol.MAX_BODY_BYTES);
  private Connection connection;
  private Runnable stallTimer;
  private Duration lastReceivedAt = Duration.ZERO;
  private PendingRequest currentRequest;
  private String currentId;
  private long readCount;
  private long responseStartedInRead;

  /**
   * Since when nobody waits for the current response, or its request is not known yet; null while
   * somebody does.
   */
  private Duration unwantedSince;

  private int unsolicitedResponses;

  /**
   * Creates a reader between frames.
   *
   * @param pendingRequests by their ids; kept up to date by the connection
   * @param settledIds of the connection's former requests
   * @param scheduler the event loop
   * @param stallTimeout for a response to continue: the time within which a healthy cache accepts a
   *     connection
   * @param cacheId for the log
   * @param endListener called at each response's end
   */
  CacheResponseReader(
      Map<String, PendingRequest> pendingRequests,
      SettledRequestIds settledIds,
      Scheduler scheduler,
      Duration stallTimeout,
      String cacheId,
      ResponseEndListener endListener) {
    this.pendingRequests = pendingRequests;
    this.settledIds = settledIds;
    this.scheduler = scheduler;
    this.stallTimeout = stallTimeout;
    this.cacheId = cacheId;
    this.endListener = endListener;
  }

  /** The number of reads so far. */
  long readCount() {
    return readCount;
  }

  /** When bytes were last received, by the scheduler's clock; zero before the first. */
  Duration lastReceivedAt() {
    return lastReceivedAt;
  }

  /**
   * Reads frames until the bytes are consumed or the connection is paused.
   *
   * @throws MalformedMessageException if the bytes are not frames, or too many responses are
   *     unsolicited
   */
  void read(ByteBuffer bytes, Connection source) throws MalformedMessageException {
    connection = source;
    lastReceivedAt = source.receivedAt();
    readCount++;
    while (!source.paused()) {
      if (reader.betweenFrames()) {
        responseStartedInRead = readCount;
        unwantedSince = lastReceivedAt;
      }
      switch (reader.next(bytes)) {
        case NEED_MORE_BYTES -> {
          startStallTimer();
          return;
        }
        case HEADER -> onHeader();
        case BODY -> onBody();
        case END -> onEnd();
      }
    }
  }

  private void onHeader() throws MalformedMessageException {
    List<String> arguments = reader.arguments();
    currentId = arguments.get(0);
    currentRequest = requestOfCurrentResponse();
    if (currentRequest == null) {
      onUnsolicitedResponse();
      return;
    }
    unsolicitedResponses = 0;
    unwantedSince = null;
    deliverHeader(arguments);
  }

  /**
   * The request that the response answers; null for a duplicate, whose request was written only
   * after it was read.
   */
  private PendingRequest requestOfCurrentResponse() {
    PendingRequest request = pendingRequests.get(currentId);
    return request == null || request.isLaterThanRead(responseStartedInRead) ? null : request;
  }

  private void onUnsolicitedResponse() throws MalformedMessageException {
    settledIds.onUnsolicited(currentId);
    unsolicitedResponses++;
    if (unsolicitedResponses > MAX_UNSOLICITED_RESPONSES) {
      throw new MalformedMessageException(unsolicitedResponses + " unsolicited responses in a row");
    }
  }

  /** A malformed response costs only its own request, since its frame is intact. */
  private void deliverHeader(List<String> arguments) {
    CacheResponse response;
    try {
      response = CacheProtocol.decodeResponse(arguments);
    } catch (MalformedMessageException e) {
      Log.info("cache-protocol-error", cacheId + ": " + e.getMessage());
      response = CacheResponse.MALFORMED;
    }
    currentRequest.handler.onResponse(response, reader.bodyLength());
  }

  private void onBody() {
    if (currentRequest != null) {
      currentRequest.handler.onBody(reader.body(), connection);
    }
  }

  private void onEnd() {
    PendingRequest request = currentRequest;
    currentRequest = null;
    endListener.onResponseEnd(currentId, request);
  }

  /** The request was cancelled; if this is its response, the rest of it is discarded. */
  void onCancelled(PendingRequest request) {
    if (request == currentRequest) {
      currentRequest = null;
      unwantedSince = scheduler.now();
      connection.resume();
    }
  }

  private void startStallTimer() {
    if (stallTimer == null && !reader.betweenFrames()) {
      stallTimer = scheduler.schedule(stallTimeout, this::checkStall);
    }
  }

  /**
   * Closes the connection if the current response has stopped, or nobody waits for it and it takes
   * too long, since it holds up all responses behind it.
   */
  private void checkStall() {
    stallTimer = null;
    if (reader.betweenFrames()) {
      return;
    }
    Duration remaining = remainingTime();
    if (connection.paused()
        || connection.inbound().isReadSuspended()
        || connection.hasUnconsumedBytes()
        || remaining.compareTo(Duration.ZERO) > 0) {
      Duration delay = remaining.compareTo(RECHECK_INTERVAL) > 0 ? remaining : RECHECK_INTERVAL;
      stallTimer = scheduler.schedule(delay, this::checkStall);
    } else {
      connection.close(CloseReason.STALLED, false);
    }
  }

  private Duration remainingTime() {
    Duration now = scheduler.now();
    Duration untilStalled = stallTimeout.minus(now.minus(lastReceivedAt));
    if (unwantedSince == null) {
      return untilStalled;
    }
    Duration untilUseless = MAX_RESPONSE_TIME.minus(now.minus(unwantedSince));
    return untilUseless.compareTo(untilStalled) < 0 ? untilUseless : untilStalled;
  }

  /** The connection has ended. */
  void stop() {
    currentRequest = null;
    if (stallTimer != null) {
      stallTimer.run();
    }
  }
}
