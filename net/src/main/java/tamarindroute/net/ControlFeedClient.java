package tamarindroute.net;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Random;
import java.util.function.BiFunction;
import tamarindroute.log.Log;
import tamarindroute.protocol.HttpResponseReader;
import tamarindroute.protocol.MalformedMessageException;

/**
 * Follows the control feed by long polling over HTTP: requests the events after the last one known,
 * again and again, and reconnects after a delay when that fails. There is one connection or one
 * retry delay at a time; what a former connection still delivers is ignored.
 */
public final class ControlFeedClient {

  /** Consumes the feed's events. */
  public interface FeedListener {

    /** The number of the last event that is known; later ones are requested. */
    long lastEventNumber();

    /**
     * Consumes a response.
     *
     * @param text of the response's body
     * @throws MalformedMessageException if the text makes no sense; the same events are requested
     *     again
     */
    void onEvents(String text) throws MalformedMessageException;
  }

  private static final int MAX_BODY_BYTES_BOUND = 4 * 1024 * 1024;

  /**
   * A response may take an eighth of the heap, which holds it up to three times; 9,000 caches fit
   * the smallest.
   */
  private static final int MAX_BODY_BYTES =
      (int) Math.min(MAX_BODY_BYTES_BOUND, Runtime.getRuntime().maxMemory() / 8);

  private static final int HTTP_OK = 200;

  private final BiFunction<InetSocketAddress, ConnectionHandler, Connection> connector;
  private final Scheduler scheduler;
  private final FeedListener listener;
  private final Random random;
  private InetSocketAddress address;

  /**
   * The connection that is established or being established; null before the start and during a
   * retry delay.
   */
  private Subscription subscription;

  private boolean started;
  private Runnable retryTimer = () -> {};

  /** Failed connections since the last complete response. */
  private int consecutiveFailures;

  /**
   * Creates a client that is not connected yet.
   *
   * @param transport that opens connections
   * @param scheduler the event loop
   * @param address of the feed
   * @param listener of the events
   * @param seed of the random part of retry delays
   */
  public ControlFeedClient(
      SocketTransport transport,
      Scheduler scheduler,
      InetSocketAddress address,
      FeedListener listener,
      long seed) {
    this(transport::connectReserved, scheduler, address, listener, seed);
  }

  /** The same with another way to open connections. */
  ControlFeedClient(
      BiFunction<InetSocketAddress, ConnectionHandler, Connection> connector,
      Scheduler scheduler,
      InetSocketAddress address,
      FeedListener listener,
      long seed) {
    this.connector = connector;
    this.scheduler = scheduler;
    this.address = address;
    this.listener = listener;
    this.random = new Random(seed);
  }

  /** Starts following the feed; later calls have no effect. */
  public void start() {
    if (!started) {
      started = true;
      reconnect();
    }
  }

  /**
   * Follows the feed at another address from now on, at once. The numbering of events continues
   * there; what the former feed still sends is ignored.
   */
  public void moveTo(InetSocketAddress newAddress) {
    if (newAddress.equals(address)) {
      return;
    }
    address = newAddress;
    consecutiveFailures = 0;
    if (started) {
      reconnect();
    }
  }

  /** Replaces the connection or the retry delay by a new connection. */
  private void reconnect() {
    retryTimer.run();
    retryTimer = () -> {};
    Subscription previous = subscription;
    // Not the current one any more before it is closed, so that its end is not taken for a failure.
    subscription = null;
    if (previous != null) {
      previous.connection.close(CloseReason.CLOSED_LOCALLY, false);
    }
    subscription = new Subscription();
    subscription.connect();
  }

  private void retryLater(CloseReason closeReason) {
    subscription = null;
    consecutiveFailures++;
    Log.info("feed-lost", closeReason);
    Duration delay = FeedTimeouts.retryDelay(closeReason, random);
    retryTimer = scheduler.schedule(delay, this::reconnect);
  }

  private byte[] request(Duration longPollWait) {
    return ControlFeedRequest.encode(address, listener.lastEventNumber(), longPollWait);
  }

  /**
   * One connection to the feed with its own timer and parser. Ignored once it is not the client's
   * current one.
   */
  private final class Subscription implements ConnectionHandler {

    private final HttpResponseReader response = new HttpResponseReader(MAX_BODY_BYTES);
    private Connection connection;
    private Runnable timeoutTimer = () -> {};
    private Duration requestedAt;
    private Duration lastReceivedAt;
    private Duration longPollWait = FeedTimeouts.LONG_POLL_WAIT;
    private boolean responseStarted;

    void connect() {
      connection = connector.apply(address, this);
      timeoutTimer =
          scheduler.schedule(
              FeedTimeouts.connectTimeout(consecutiveFailures),
              () -> connection.close(CloseReason.TIMED_OUT, false));
    }

    private boolean isCurrent() {
      return subscription == this;
    }

    @Override
    public void onOpened() {
      sendRequest(FeedTimeouts.firstPollWait(consecutiveFailures));
    }

    private void sendRequest(Duration wait) {
      longPollWait = wait;
      requestedAt = scheduler.now();
      lastReceivedAt = requestedAt;
      responseStarted = false;
      restartTimeout();
      connection.write(request(wait));
    }

    private void restartTimeout() {
      timeoutTimer.run();
      timeoutTimer = scheduler.schedule(remainingTime(), this::checkTimeout);
    }

    /** How long until the response must have begun, or continued. */
    private Duration remainingTime() {
      Duration due =
          responseStarted ? lastReceivedAt.plus(FeedTimeouts.STALL_TIMEOUT) : responseDue();
      Duration latest = requestedAt.plus(FeedTimeouts.RESPONSE_TIMEOUT);
      return (due.compareTo(latest) < 0 ? due : latest).minus(scheduler.now());
    }

    private Duration responseDue() {
      return requestedAt.plus(longPollWait).plus(FeedTimeouts.responseGrace(consecutiveFailures));
    }

    /**
     * Timers run before queued events, so bytes that were received are read before anything counts
     * as late.
     */
    private void checkTimeout() {
      Duration remaining = remainingTime();
      if (remaining.compareTo(Duration.ZERO) > 0 || connection.hasUnconsumedBytes()) {
        Duration delay =
            remaining.compareTo(FeedTimeouts.RECHECK_INTERVAL) > 0
                ? remaining
                : FeedTimeouts.RECHECK_INTERVAL;
        timeoutTimer = scheduler.schedule(delay, this::checkTimeout);
      } else {
        connection.close(responseStarted ? CloseReason.STALLED : CloseReason.TIMED_OUT, false);
      }
    }

    @Override
    public void onReceived(ByteBuffer bytes) {
      if (!isCurrent()) {
        bytes.position(bytes.limit());
        return;
      }
      lastReceivedAt = scheduler.now();
      try {
        if (response.read(bytes)) {
          onResponse();
        } else {
          onPartialResponse();
        }
      } catch (MalformedMessageException e) {
        Log.info("feed-malformed", e.getMessage());
        connection.close(CloseReason.PROTOCOL_ERROR, false);
      }
    }

    private void onPartialResponse() {
      if (!responseStarted) {
        responseStarted = true;
        restartTimeout();
      }
    }

    private void onResponse() throws MalformedMessageException {
      if (response.status() != HTTP_OK) {
        throw new MalformedMessageException(
            "HTTP status " + response.status() + " instead of " + HTTP_OK);
      }
      listener.onEvents(response.body());
      if (!isCurrent()) {
        return;
      }
      consecutiveFailures = 0;
      if (response.closesConnection()) {
        reconnect();
      } else {
        sendRequest(FeedTimeouts.LONG_POLL_WAIT);
      }
    }

    @Override
    public void onClosed(CloseReason closeReason) {
      timeoutTimer.run();
      if (isCurrent() && !isCompletedBy(closeReason)) {
        retryLater(closeReason);
      }
    }

    /**
     * Whether a response was whole with the end of the connection, and the next one is requested. A
     * response that breaks off looks the same, but its text makes no sense.
     */
    private boolean isCompletedBy(CloseReason closeReason) {
      if (closeReason != CloseReason.CLOSED || !response.endInput()) {
        return false;
      }
      try {
        onResponse();
        return true;
      } catch (MalformedMessageException e) {
        Log.info("feed-malformed", e.getMessage());
        return false;
      }
    }
  }
}
