package tamarindroute.net;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.session.IoSession;

/**
 * Bounds the received bytes of all connections together. A connection is read only while few reads
 * wait for the event loop and, if its bytes would have to be held, while the buffer pool is not
 * exhausted; until then its reads are suspended.
 */
final class ReadAdmission {

  /**
   * Reads that wait for the event loop may take this part of the buffer pool, those from clients
   * and those from caches each.
   */
  private static final int WAITING_DIVISOR = 8;

  private static final int MIN_WAITING_READS = 4;

  private final Scheduler scheduler;
  private final BufferPool bufferPool;
  private final ClientReadQueue clientReads;
  private final int maxWaitingReads;

  /** Of caches: handed over and not taken up yet. Counted up on MINA's thread only. */
  private final AtomicInteger waitingReads = new AtomicInteger();

  /** Connections that wait for the buffer pool; confined to the event loop. */
  private final Set<Connection> deferred = new LinkedHashSet<>();

  ReadAdmission(Scheduler scheduler, BufferPool bufferPool) {
    this.scheduler = scheduler;
    this.bufferPool = bufferPool;
    this.maxWaitingReads = Math.max(MIN_WAITING_READS, bufferPool.maxBuffers() / WAITING_DIVISOR);
    this.clientReads = new ClientReadQueue(scheduler, maxWaitingReads);
  }

  /**
   * On MINA's thread: whether the connection, which has bytes to read, is read now. Otherwise its
   * reads are suspended until the event loop has caught up and there is room.
   */
  boolean admits(Connection connection, IoSession session, SelectRounds rounds) {
    connection.inbound().unread().onReadable(rounds);
    if (connection.inputDiscarder().isDiscarding()) {
      clientReads.leave(connection);
      return true;
    }
    boolean admitted = admits(connection, session, clientReads.takeTurn(connection));
    if (!admitted) {
      connection.inbound().unread().onReadDeferred();
    }
    return admitted;
  }

  private boolean admits(Connection connection, IoSession session, boolean granted) {
    if (!hasRoomFor(connection) || isUndecidedClient(connection)) {
      return defer(connection, session);
    }
    if (connection.isFromClient()) {
      return granted || clientReads.admits(connection, session);
    }
    return waitingReads.get() < maxWaitingReads || defer(connection, session);
  }

  /** Whether the event loop may still refuse the client, which is then not to be read at all. */
  private static boolean isUndecidedClient(Connection connection) {
    return connection.isFromClient() && connection.session() == null;
  }

  private boolean hasRoomFor(Connection connection) {
    return !bufferPool.isExhausted() || connection.inbound().mayReadWhenExhausted();
  }

  private boolean defer(Connection connection, IoSession session) {
    session.suspendRead();
    scheduler.execute(() -> reconsider(connection));
    return false;
  }

  /** Since tasks keep their order, all reads that waited before were taken up by now. */
  private void reconsider(Connection connection) {
    if (hasRoomFor(connection)) {
      connection.inbound().resumeReading();
    } else {
      deferred.add(connection);
      bufferPool.reportShortage();
    }
  }

  /** Resumes the reads that there is room for by now. */
  void reconsiderDeferred() {
    List<Connection> waiting = List.copyOf(deferred);
    deferred.clear();
    waiting.forEach(this::reconsider);
  }

  /** On MINA's thread: hands received bytes over to the event loop. */
  void handOver(Connection connection, IoSession session, IoBuffer bytes) {
    Duration receivedAt = receivedAt(connection, bytes);
    connection.inbound().beforeHandOver(session);
    if (connection.isFromClient()) {
      clientReads.onHandOver(bytes.remaining());
    } else {
      waitingReads.incrementAndGet();
    }
    scheduler.execute(() -> takeUp(connection, bytes, receivedAt));
  }

  /** The protocol counts a client's time from its last byte, also while that waits to be read. */
  private Duration receivedAt(Connection connection, IoBuffer bytes) {
    boolean drained = bytes.limit() < bytes.capacity();
    long arrivedAfterNanos = connection.inbound().unread().onRead(drained);
    Duration now = scheduler.now();
    return connection.isFromClient() ? now.minusNanos(System.nanoTime() - arrivedAfterNanos) : now;
  }

  private void takeUp(Connection connection, IoBuffer bytes, Duration receivedAt) {
    if (connection.isFromClient()) {
      clientReads.onTakenUp(bytes.remaining());
    } else {
      waitingReads.decrementAndGet();
    }
    connection.onReceived(bytes, receivedAt);
  }

  /** The session of the connection has ended. */
  void onSessionLost(Connection connection) {
    deferred.remove(connection);
    clientReads.onSessionLost(connection);
  }
}
