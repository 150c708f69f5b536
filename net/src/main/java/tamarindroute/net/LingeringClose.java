package tamarindroute.net;

import java.time.Duration;

/**
 * Orderly close of a client's connection: waits until all written bytes were sent, shuts down the
 * output, and discards what is received until the client closes its side. Bounded in time and in
 * discarded bytes.
 */
final class LingeringClose {

  /**
   * The longest time that a client waits for a response; later nothing that was written is of use.
   */
  private static final Duration FLUSH_TIMEOUT = Duration.ofSeconds(3);

  /** The protocol lets requests cross a close for 50 ms; this allows for a busy machine. */
  private static final Duration LINGER_TIMEOUT = Duration.ofMillis(200);

  /**
   * More than the 32 requests of 48,000 bytes that a client can have on their way; any client past
   * it floods.
   */
  private static final int MAX_DISCARDED_BYTES = 2 * 1024 * 1024;

  private final Connection connection;
  private final SocketTransport transport;
  private Runnable timer = () -> {};

  /** Both used on MINA's thread only. */
  private boolean outputShutDown;

  private long discardedBytes;

  LingeringClose(Connection connection, SocketTransport transport) {
    this.connection = connection;
    this.transport = transport;
  }

  /** Starts the timeout for the unsent bytes; on the event loop. */
  void start() {
    transport.clients().onLingering(connection);
    timer = transport.schedule(FLUSH_TIMEOUT, connection::closeNow);
  }

  /** The connection has ended; on the event loop. */
  void cancelTimer() {
    timer.run();
  }

  /**
   * On MINA's thread: whether the output is to be shut down now, since all was sent; true only
   * once.
   */
  boolean claimOutputShutdown() {
    if (outputShutDown || connection.remoteSide().isInputClosed() || connection.unsentBytes() > 0) {
      return false;
    }
    outputShutDown = true;
    transport.execute(this::awaitClientClose);
    return true;
  }

  private void awaitClientClose() {
    timer.run();
    if (!connection.remoteSide().isSessionClosed()) {
      timer = transport.schedule(LINGER_TIMEOUT, connection::closeNow);
    }
  }

  /** On MINA's thread: received bytes were discarded. */
  void onDiscarded(int length) {
    discardedBytes += length;
    if (discardedBytes > MAX_DISCARDED_BYTES && connection.unsentBytes() == 0) {
      connection.closeNow();
    }
  }
}
