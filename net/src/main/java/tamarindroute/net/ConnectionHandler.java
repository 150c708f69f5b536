package tamarindroute.net;

import java.nio.ByteBuffer;
import java.time.Duration;

/** Handles the events of one connection. Called on the event loop, which it must not block. */
public interface ConnectionHandler {

  /** The connection is established. */
  default void onOpened() {}

  /**
   * Bytes were received.
   *
   * @param bytes to be consumed completely, unless the connection is paused meanwhile; not valid
   *     after the call
   */
  void onReceived(ByteBuffer bytes);

  /** Nothing was received for the time that a client's connection may be idle. */
  default void onIdle() {}

  /**
   * Since when the connection has had nothing to do, so that it may be closed for the sake of
   * another one.
   *
   * @return the time by the scheduler's clock; null while the connection is in use
   */
  default Duration idleSince() {
    return null;
  }

  /** The other side sends no more; it may still read, or be gone. */
  default void onInputClosed() {}

  /**
   * No more clients are accepted: the connection is to be closed once all requests on it are
   * completed.
   */
  default void onListenerClosed() {}

  /** The connection has ended; the last call. */
  void onClosed(CloseReason closeReason);
}
