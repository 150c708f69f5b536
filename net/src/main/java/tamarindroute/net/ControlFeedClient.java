package tamarindroute.net;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Random;
import java.util.function.BiFunction;
import tamarindroute.log.Log;
import tamarindroute.protocol.HttpResponseReader;
import tamarindroute.protocol.MalformedMessageException;

/**
 * Owns the connection to the control feed: asks for later events, again and again, and anew after a
 * pause where that fails. There is one connection or one pause at a time, and what a former
 * connection still says is dropped. It must never know what an event says, nor skip one: the number
 * asked for is the reader's.
 */
public final class ControlFeedClient {

  /** What reads the events. */
  public interface FeedListener {

    /** The number of the last event that is known. */
    long lastEventNumber();

    /** Takes an answer's text; throws where it makes no sense. */
    void onEvents(String text) throws MalformedMessageException;
  }

  /**
   * What is told late counts as told after 7 s, and 2 s after a wait of ours that nobody ended. The
   * worst way there is a silent connection (2.8 s), a dial that hangs (0.7 s), one that hangs for
   * longer (1.4 s) and their pauses (0.1 s each): 5.2 s. With one hanging dial it is 3.7 s, which
   * is 1.7 s after the wait.
   */
  private static final Duration LONG_POLL_WAIT = Duration.ofMillis(2000);

  /** An answer that has not begun so long after the wait does not come. */
  private static final Duration RESPONSE_GRACE = Duration.ofMillis(800);

  /**
   * Where the feed is slower than that time and again, it is waited for longer, or it would never
   * be read.
   */
  private static final Duration SLOW_FEED_RESPONSE_GRACE = Duration.ofMillis(2000);

  /**
   * After one or two connections that failed the answer is asked for soon: another silent one is
   * noticed in 1 s.
   */
  private static final Duration RETRY_POLL_WAIT = Duration.ofMillis(200);

  /**
   * An answer that has begun goes on within this; a long one on a slow way is not cut while it
   * comes.
   */
  private static final Duration STALL_TIMEOUT = Duration.ofMillis(1000);

  /** Nor does one that only trickles keep the gateway deaf for good. */
  private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(20);

  /** Bytes that this gateway's own backlog keeps back are looked for again after this. */
  private static final Duration RECHECK_INTERVAL = Duration.ofMillis(20);

  /**
   * A dial takes two ways; a second one is given the time in which the system sends the first
   * packet again.
   */
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(700);

  private static final Duration RETRY_CONNECT_TIMEOUT = Duration.ofMillis(1400);

  /**
   * A broken feed is asked again soon, and not in a rush: 0.2 to 0.3 s, drawn, so that a fleet is
   * out of step. After a connection that was waited for in vain the drawn part is enough, for that
   * wait was longer.
   */
  private static final int RETRY_DELAY_MILLIS = 200;

  private static final int RETRY_JITTER_MILLIS = 100;

  /**
   * Of an answer: an eighth of the heap, in which it stands up to three times; 9,000 caches in the
   * smallest.
   */
  private static final int MAX_BODY_BYTES =
      (int) Math.min(4 * 1024 * 1024, Runtime.getRuntime().maxMemory() / 8);

  private final BiFunction<InetSocketAddress, ConnectionHandler, Connection> connector;
  private final Scheduler scheduler;
  private final FeedListener listener;
  private final Random random;
  private InetSocketAddress address;

  /** The one connection that is up or coming up; null before the start and in a pause. */
  private Subscription subscription;

  private boolean started;
  private Runnable retryTimer = () -> {};

  /** Connections that failed since the last whole answer. */
  private int consecutiveFailures;

  public ControlFeedClient(
      SocketTransport transport,
      Scheduler scheduler,
      InetSocketAddress address,
      FeedListener listener,
      long seed) {
    this(transport::connectReserved, scheduler, address, listener, seed);
  }

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

  public void start() {
    if (!started) {
      started = true;
      reconnect();
    }
  }

  /**
   * From now on the feed is elsewhere; its numbers go on, so what is asked for there is what comes
   * next. It is asked at once, also out of a pause, and what the old one still sends is not read.
   */
  public void moveTo(InetSocketAddress newAddress) {
    if (!newAddress.equals(address)) {
      address = newAddress;
      consecutiveFailures = 0;
      if (started) {
        reconnect();
      }
    }
  }

  /** The one way to a connection: ends whatever there is before it. */
  private void reconnect() {
    retryTimer.run();
    retryTimer = () -> {};
    Subscription previous = subscription;
    subscription = null;
    if (previous != null) {
      previous.connection.close(CloseReason.CLOSED_LOCALLY, false);
    }
    subscription = new Subscription();
    subscription.connect();
  }

  /**
   * One connection, with timers and a reader of its own; once it is not the feed's, nothing it does
   * counts.
   */
  private final class Subscription implements ConnectionHandler {

    private final HttpResponseReader response = new HttpResponseReader(MAX_BODY_BYTES);
    private Connection connection;
    private Runnable timeoutTimer = () -> {};
    private Duration requestedAt;
    private Duration lastReceivedAt;
    private Duration wait = LONG_POLL_WAIT;
    private boolean responseStarted;

    void connect() {
      connection = connector.apply(address, this);
      timeoutTimer =
          scheduler.schedule(
              consecutiveFailures > 0 && consecutiveFailures % 2 == 0
                  ? RETRY_CONNECT_TIMEOUT
                  : CONNECT_TIMEOUT,
              () -> connection.close(CloseReason.TIMED_OUT, false));
    }

    @Override
    public void onOpened() {
      sendRequest(
          consecutiveFailures == 1 || consecutiveFailures == 2 ? RETRY_POLL_WAIT : LONG_POLL_WAIT);
    }

    private void sendRequest(Duration longPollWait) {
      wait = longPollWait;
      requestedAt = scheduler.now();
      lastReceivedAt = requestedAt;
      responseStarted = false;
      timeoutTimer.run();
      timeoutTimer = scheduler.schedule(remainingTime(), this::checkTimeout);
      connection.write(
          ("GET /v1/events?SUB="
                  + listener.lastEventNumber()
                  + "&wait="
                  + wait.toMillis()
                  + " HTTP/1.1\r\nHost: "
                  + address.getHostString()
                  + ":"
                  + address.getPort()
                  + "\r\nAccept: application/json\r\n\r\n")
              .getBytes(StandardCharsets.US_ASCII));
    }

    /** How long the answer has still to come, or to go on. */
    private Duration remainingTime() {
      Duration due =
          responseStarted
              ? lastReceivedAt.plus(STALL_TIMEOUT)
              : requestedAt
                  .plus(wait)
                  .plus(consecutiveFailures > 3 ? SLOW_FEED_RESPONSE_GRACE : RESPONSE_GRACE);
      Duration last = requestedAt.plus(RESPONSE_TIMEOUT);
      return (due.compareTo(last) < 0 ? due : last).minus(scheduler.now());
    }

    /**
     * Timers go before what was handed over: bytes that have come are used before anything is
     * judged late.
     */
    private void checkTimeout() {
      Duration remaining = remainingTime();
      if (remaining.compareTo(Duration.ZERO) > 0 || connection.hasUnconsumedBytes()) {
        timeoutTimer =
            scheduler.schedule(
                remaining.compareTo(RECHECK_INTERVAL) > 0 ? remaining : RECHECK_INTERVAL,
                this::checkTimeout);
      } else {
        connection.close(responseStarted ? CloseReason.STALLED : CloseReason.TIMED_OUT, false);
      }
    }

    @Override
    public void onReceived(ByteBuffer bytes) {
      if (subscription != this) {
        bytes.position(bytes.limit());
        return;
      }
      lastReceivedAt = scheduler.now();
      try {
        if (!response.read(bytes)) {
          if (!responseStarted) {
            responseStarted = true;
            timeoutTimer.run();
            timeoutTimer = scheduler.schedule(remainingTime(), this::checkTimeout);
          }
        } else {
          if (response.status() != 200) {
            throw new MalformedMessageException("status " + response.status());
          }
          listener.onEvents(response.body());
          if (subscription != this) {
            return;
          }
          consecutiveFailures = 0;
          if (response.closesConnection()) {
            reconnect();
          } else {
            sendRequest(LONG_POLL_WAIT);
          }
        }
      } catch (MalformedMessageException e) {
        Log.info("feed-unreadable", e.getMessage());
        connection.close(CloseReason.PROTOCOL_ERROR, false);
      }
    }

    @Override
    public void onClosed(CloseReason closeReason) {
      timeoutTimer.run();
      if (subscription != this) {
        return;
      }
      subscription = null;
      consecutiveFailures++;
      Log.info("feed-lost", closeReason);
      boolean waited = closeReason == CloseReason.TIMED_OUT || closeReason == CloseReason.STALLED;
      int millis = (waited ? 0 : RETRY_DELAY_MILLIS) + random.nextInt(RETRY_JITTER_MILLIS);
      retryTimer = scheduler.schedule(Duration.ofMillis(millis), ControlFeedClient.this::reconnect);
    }
  }
}
