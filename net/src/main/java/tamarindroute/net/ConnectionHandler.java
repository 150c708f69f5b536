package tamarindroute.net;

import java.nio.ByteBuffer;
import java.time.Duration;

/**
 * What is behind a connection, called on the owner's thread only. It must never block, nor keep the
 * bytes given.
 */
public interface ConnectionHandler {

  /** The connection is up. */
  default void onOpened() {}

  /** Bytes came; all are used up, unless the connection is paused meanwhile. */
  void onReceived(ByteBuffer bytes);

  /** Nothing has come for the time that a client's connection may be idle. */
  default void onIdle() {}

  /**
   * Since when it is of no use, so that it may be let go for another client; null while it is of
   * use.
   */
  default Duration idleSince() {
    return null;
  }

  /** The other side sends no more; it may still read, or be gone. */
  default void onInputClosed() {}

  /** Nobody comes any more: it goes as soon as nothing is owed on it. */
  default void onListenerClosed() {}

  /** The connection is over, once and finally. */
  void onClosed(CloseReason closeReason);
}
