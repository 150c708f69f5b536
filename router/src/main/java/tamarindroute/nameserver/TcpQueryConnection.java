package tamarindroute.nameserver;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.function.Consumer;
import tamarindroute.dns.DnsSettings;
import tamarindroute.dns.TcpMessageFramer;
import tamarindroute.log.Log;
import tamarindroute.net.CloseReason;
import tamarindroute.net.Connection;
import tamarindroute.net.ConnectionHandler;
import tamarindroute.net.Scheduler;
import tamarindroute.protocol.MalformedMessageException;

/**
 * A client's TCP connection. Queries are pipelined and answered in any order (RFC 7766). Responses
 * are not queued for a client that does not read, as they would be outdated when it does.
 */
final class TcpQueryConnection implements ConnectionHandler {

  /** Receives queries. */
  interface QueryListener {

    /**
     * Handles a query.
     *
     * @param callback to be called once, with the response or with null for none
     */
    void onQuery(byte[] query, InetAddress sender, Consumer<byte[]> callback);
  }

  /** Longest query in bytes. */
  private static final int MAX_QUERY_LENGTH = 1024;

  /** Time for a message from its first byte, and for the first message from the connection. */
  private static final Duration MESSAGE_TIMEOUT = Duration.ofSeconds(2);

  /** Half of the time within which answers must reflect a drain. */
  private static final Duration UNREAD_TIMEOUT = Duration.ofMillis(250);

  private final Scheduler scheduler;
  private final Connection connection;
  private final Duration idleTimeout;
  private final int maxPipelinedQueries;
  private final QueryListener listener;
  private final TcpMessageFramer framer = new TcpMessageFramer(MAX_QUERY_LENGTH);
  private InetAddress sender;
  private Duration lastUsedAt;
  private Runnable cancelTimeout;

  /** Cancels the check for unread responses; null if none is scheduled. */
  private Runnable cancelUnreadCheck;

  private int openQueries;
  private boolean inputClosed;
  private boolean closed;

  TcpQueryConnection(
      Scheduler scheduler,
      Connection connection,
      DnsSettings.Limits limits,
      QueryListener listener) {
    this.scheduler = scheduler;
    this.connection = connection;
    this.idleTimeout = limits.idleTimeout();
    this.maxPipelinedQueries = limits.maxPipelinedQueries();
    this.listener = listener;
    this.lastUsedAt = scheduler.now();
    this.cancelTimeout = scheduler.schedule(MESSAGE_TIMEOUT, this::onTimeout);
  }

  @Override
  public void onOpened() {
    InetSocketAddress remote = connection.remoteAddress();
    if (remote == null) {
      connection.close(CloseReason.CLOSED_LOCALLY, false);
    } else {
      sender = remote.getAddress();
    }
  }

  /** Called when no complete message arrived in time. */
  private void onTimeout() {
    if (openQueries > 0) {
      cancelTimeout = scheduler.schedule(MESSAGE_TIMEOUT, this::onTimeout);
    } else {
      connection.closeIfUnused();
    }
  }

  @Override
  public void onReceived(ByteBuffer bytes) {
    try {
      readQueries(bytes);
    } catch (MalformedMessageException e) {
      Log.info("query-malformed", e.getMessage());
      connection.close(CloseReason.PROTOCOL_ERROR, false);
      return;
    }
    if (inputClosed) {
      bytes.position(bytes.limit());
    }
    if (!closed) {
      cancelTimeout.run();
      Duration timeout = framer.isBetweenMessages() ? idleTimeout : MESSAGE_TIMEOUT;
      cancelTimeout = scheduler.schedule(timeout, this::onTimeout);
    }
  }

  /** Reads queries until input is missing or enough are in flight. */
  private void readQueries(ByteBuffer bytes) throws MalformedMessageException {
    while (!connection.paused() && !inputClosed) {
      byte[] query = framer.nextMessage(bytes);
      if (query == null) {
        return;
      }
      openQueries++;
      if (openQueries >= maxPipelinedQueries) {
        connection.pause();
      }
      listener.onQuery(query, sender, this::onResponse);
    }
  }

  private void onResponse(byte[] response) {
    openQueries--;
    lastUsedAt = scheduler.now();
    if (closed) {
      return;
    }
    if (response != null) {
      connection.write(TcpMessageFramer.frame(response));
      if (cancelUnreadCheck == null) {
        scheduleUnreadCheck();
      }
    }
    if (connection.paused() && openQueries < maxPipelinedQueries) {
      connection.resume();
    }
    closeIfDone();
  }

  private void scheduleUnreadCheck() {
    long written = connection.bytesWritten();
    cancelUnreadCheck =
        scheduler.schedule(
            UNREAD_TIMEOUT,
            () -> {
              cancelUnreadCheck = null;
              checkUnread(written);
            });
  }

  /** Closes the connection if bytes that were written before the last check are still unsent. */
  private void checkUnread(long written) {
    if (closed) {
      return;
    }
    if (!connection.isSent(written)) {
      Log.info("responses-unread", connection.unsentBytes() + " bytes of responses left unread");
      connection.close(CloseReason.CLOSED_LOCALLY, false);
    } else if (connection.unsentBytes() > 0) {
      scheduleUnreadCheck();
    }
  }

  @Override
  public Duration idleSince() {
    return openQueries > 0 ? null : lastUsedAt;
  }

  @Override
  public void onInputClosed() {
    inputClosed = true;
    closeIfDone();
  }

  private void closeIfDone() {
    if (inputClosed && openQueries == 0) {
      connection.close(CloseReason.CLOSED_LOCALLY, true);
    }
  }

  @Override
  public void onClosed(CloseReason closeReason) {
    closed = true;
    cancelTimeout.run();
    if (cancelUnreadCheck != null) {
      cancelUnreadCheck.run();
    }
  }
}
