package tamarindroute.net;

import java.util.ArrayDeque;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.mina.core.session.IoSession;

/**
 * Lets clients be read in turn. Few of their reads wait for the event loop at a time, so that reads
 * from caches are never far behind; of the connections that have bytes to read, the one that has
 * waited longest comes first, so that clients that send without end starve no other.
 */
final class ClientReadQueue {

  /** Five hundred requests without a body; the event loop has done with them in some 50 ms. */
  private static final int MAX_WAITING_BYTES = 64 * 1024;

  private final Scheduler scheduler;
  private final int maxWaitingReads;

  /** Handed over to the event loop and not taken up yet. Counted up on MINA's thread only. */
  private final AtomicInteger waitingReads = new AtomicInteger();

  /** The bytes of these reads. */
  private final AtomicInteger waitingBytes = new AtomicInteger();

  /** Connections that may be read next and were not yet; changed on the event loop only. */
  private final AtomicInteger grants = new AtomicInteger();

  /** Connections in the queue or on their way to it. */
  private final AtomicInteger queuedCount = new AtomicInteger();

  /** Confined to the event loop. */
  private final ArrayDeque<Connection> queue = new ArrayDeque<>();

  /**
   * Creates an empty queue.
   *
   * @param maxWaitingReads that wait for the event loop at a time
   */
  ClientReadQueue(Scheduler scheduler, int maxWaitingReads) {
    this.scheduler = scheduler;
    this.maxWaitingReads = maxWaitingReads;
  }

  /**
   * On MINA's thread: whether it was this connection's turn; true only once for each turn. The turn
   * is passed on even if the read brings nothing that the event loop would take up.
   */
  boolean takeTurn(Connection connection) {
    boolean granted = connection.inbound().readTurn().take();
    if (granted) {
      scheduler.execute(this::onTurnEnded);
    }
    return granted;
  }

  /** On MINA's thread: the connection needs no turn any more, since its bytes are discarded. */
  void leave(Connection connection) {
    if (connection.inbound().readTurn().cancel()) {
      scheduler.execute(this::onTurnEnded);
    }
  }

  private void onTurnEnded() {
    grants.decrementAndGet();
    grantNext();
  }

  /**
   * On MINA's thread: whether the connection, which has bytes to read, is read out of turn since no
   * other waits. Otherwise its reads are suspended and it is queued.
   */
  boolean admits(Connection connection, IoSession session) {
    if (queuedCount.get() == 0 && hasFreePlace()) {
      return true;
    }
    session.suspendRead();
    ReadTurn turn = connection.inbound().readTurn();
    if (turn.queue()) {
      queuedCount.incrementAndGet();
      scheduler.execute(() -> add(connection));
    } else if (turn.isGranted()) {
      // Granted just now, so the event loop may have resumed the reads before they were suspended.
      session.resumeRead();
    }
    return false;
  }

  private void add(Connection connection) {
    queue.add(connection);
    grantNext();
  }

  private boolean hasFreePlace() {
    return waitingReads.get() + grants.get() < maxWaitingReads
        && waitingBytes.get() < MAX_WAITING_BYTES;
  }

  /** On MINA's thread, before a read of so many bytes is handed over to the event loop. */
  void onHandOver(int bytes) {
    waitingReads.incrementAndGet();
    waitingBytes.addAndGet(bytes);
  }

  /** A read of so many bytes that was handed over is taken up. */
  void onTakenUp(int bytes) {
    waitingReads.decrementAndGet();
    waitingBytes.addAndGet(-bytes);
    grantNext();
  }

  private void grantNext() {
    while (!queue.isEmpty() && hasFreePlace()) {
      InboundQueue next = queue.poll().inbound();
      queuedCount.decrementAndGet();
      grants.incrementAndGet();
      if (next.readTurn().grant()) {
        next.resumeReading();
      } else {
        grants.decrementAndGet();
      }
    }
  }

  /** The session of the connection has ended; a turn that it had goes to the next. */
  void onSessionLost(Connection connection) {
    if (connection.inbound().readTurn().cancel()) {
      grants.decrementAndGet();
    }
    grantNext();
  }
}
