package tamarindroute.net;

import java.util.concurrent.atomic.AtomicReference;

/**
 * Whether a connection waits to be read, or is to be read before others that wait. Queued and taken
 * on MINA's thread, granted on the event loop.
 */
class ReadTurn {

  private enum State {
    NONE,
    QUEUED,
    GRANTED
  }

  private final AtomicReference<State> state = new AtomicReference<>(State.NONE);

  /** Queues the connection; false if it is queued already or has its turn. */
  boolean queue() {
    return state.compareAndSet(State.NONE, State.QUEUED);
  }

  /** Grants the turn; false if the connection is not queued any more. */
  boolean grant() {
    return state.compareAndSet(State.QUEUED, State.GRANTED);
  }

  boolean isGranted() {
    return state.get() == State.GRANTED;
  }

  /** Whether the connection has its turn, which is used up thereby. */
  boolean take() {
    // Called for each read, and seldom with a turn.
    return isGranted() && state.compareAndSet(State.GRANTED, State.NONE);
  }

  /** Ends the wait; returns whether the connection had its turn. */
  boolean cancel() {
    return state.get() != State.NONE && state.getAndSet(State.NONE) == State.GRANTED;
  }
}
