package tamarindroute.net;

import java.util.concurrent.atomic.AtomicReference;

/**
 * The request to end a client's connection unless it is in use. Made and withdrawn on the event
 * loop; confirmed or declined on MINA's thread.
 */
final class CloseRequest {

  private enum State {
    NONE,
    REQUESTED,
    CONFIRMED
  }

  private final Connection connection;
  private final SocketTransport transport;
  private final AtomicReference<State> state = new AtomicReference<>(State.NONE);

  CloseRequest(Connection connection, SocketTransport transport) {
    this.connection = connection;
    this.transport = transport;
  }

  /** On the event loop: makes the request, unless it was made already. */
  void make() {
    if (state.compareAndSet(State.NONE, State.REQUESTED)) {
      SelectorProcessor.reconsider(connection.session());
    }
  }

  /** On the event loop: the connection is used. */
  void withdraw() {
    // Called for each read, and hardly ever with an open request.
    if (isOpen() && state.compareAndSet(State.REQUESTED, State.NONE)) {
      transport.clients().onCloseDeclined(connection);
    }
  }

  /** Whether the request is neither decided nor withdrawn. */
  boolean isOpen() {
    return state.get() == State.REQUESTED;
  }

  /** On MINA's thread: whether a decision is due, since all that was written was sent. */
  boolean isDue() {
    return isOpen() && connection.unsentBytes() == 0;
  }

  /**
   * On MINA's thread: ends the connection, which from now on discards what is received; false if
   * the request was withdrawn.
   */
  boolean confirm() {
    if (!state.compareAndSet(State.REQUESTED, State.CONFIRMED)) {
      return false;
    }
    connection.inputDiscarder().start();
    transport.execute(() -> connection.close(CloseReason.CLOSED_LOCALLY, true));
    return true;
  }

  /** On MINA's thread: the connection is in use, and stays. */
  void decline() {
    if (state.compareAndSet(State.REQUESTED, State.NONE)) {
      transport.execute(() -> transport.clients().onCloseDeclined(connection));
    }
  }
}
