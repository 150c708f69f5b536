package tamarindroute.net;

import org.apache.mina.core.session.IoSession;

/** Ends the session of a connection: at once, or after what was written is sent. */
final class SessionCloser {

  private final Connection connection;
  private final SocketTransport transport;

  SessionCloser(Connection connection, SocketTransport transport) {
    this.connection = connection;
    this.transport = transport;
  }

  /** On the event loop: ends the session; if it is flushed, a client's lingers. */
  void close(IoSession session, boolean flush) {
    if (!flush) {
      session.closeNow();
    } else if (connection.isFromClient()) {
      startLingering(session);
    } else {
      session.closeOnFlush();
    }
  }

  /**
   * Starts the lingering close. Both threads first set their own flag and then read the other's, so
   * that at least one of them sees that both this side and the client have finished.
   */
  private void startLingering(IoSession session) {
    connection.inputDiscarder().startLingering(new LingeringClose(connection, transport));
    if (connection.remoteSide().isInputClosed()) {
      session.closeOnFlush();
    } else {
      session.resumeRead();
    }
  }

  /**
   * On MINA's thread, after a write: whether this was the last write before the output may be shut
   * down.
   */
  boolean isOutputShutdownDue() {
    return connection.unsentBytes() == 0
        && (connection.inputDiscarder().isLingering() || connection.closeRequest().isOpen());
  }

  /**
   * On MINA's thread: the other side sends no more. Returns whether a lingering close waited for
   * that.
   */
  boolean onInputClosed() {
    connection.inbound().unread().onInputClosed();
    connection.remoteSide().onInputClosed();
    return connection.inputDiscarder().isLingering();
  }
}
