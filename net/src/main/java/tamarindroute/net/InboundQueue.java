package tamarindroute.net;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.session.IoSession;

/**
 * The bytes of a connection that were received but not consumed by its handler, and the flow
 * control of its reads. Confined to the event loop, except for {@link #beforeHandOver} and the
 * fields that it shares.
 */
final class InboundQueue {

  /** Unconsumed reads from which on reading is suspended; this many keep a stream flowing. */
  private static final int MAX_UNCONSUMED_READS = 4;

  /** The same while the buffer pool has no capacity. */
  private static final int MAX_UNCONSUMED_READS_WITHOUT_CAPACITY = 1;

  private record Read(IoBuffer bytes, Duration receivedAt) {}

  private final Connection connection;
  private final BufferPool bufferPool;

  /** Counted up on MINA's thread and down on the event loop. */
  private final AtomicInteger unconsumedCount = new AtomicInteger();

  private final ArrayDeque<Read> unconsumed = new ArrayDeque<>();
  private Duration receivedAt = Duration.ZERO;
  private volatile boolean paused;
  private boolean consuming;

  /** Written on the event loop, and read on MINA's thread. */
  private volatile boolean roomReserved;

  private final ReadTurn readTurn = new ReadTurn();
  private final UnreadInput unread = new UnreadInput();

  InboundQueue(Connection connection, BufferPool bufferPool) {
    this.connection = connection;
    this.bufferPool = bufferPool;
  }

  /** When the bytes that the handler is being given were received. */
  Duration receivedAt() {
    return receivedAt;
  }

  boolean hasUnconsumedReads() {
    return unconsumedCount.get() > 0;
  }

  boolean paused() {
    return paused;
  }

  /**
   * On any thread: whether the other side is known to have sent bytes that the handler was not
   * given yet, read or not.
   */
  boolean hasUnhandledInput() {
    return unread.awaitsRead() || hasUnconsumedReads();
  }

  /** What is known of the bytes that were not read yet. */
  UnreadInput unread() {
    return unread;
  }

  void pause(IoSession session) {
    if (!paused) {
      paused = true;
      session.suspendRead();
    }
  }

  void resume() {
    if (paused) {
      paused = false;
      consume();
    }
  }

  /** Whether nothing is read for now, for whatever reason. */
  boolean isReadSuspended() {
    IoSession session = connection.session();
    return session != null && session.isReadSuspended();
  }

  /** Notes whether room is reserved in the buffer pool for what comes next. */
  void setRoomReserved(boolean reserved) {
    roomReserved = reserved;
    if (reserved) {
      resumeReading();
    }
  }

  /** The connection's turn among those that wait to be read. */
  ReadTurn readTurn() {
    return readTurn;
  }

  /**
   * On any thread: whether bytes may be read though the buffer pool is exhausted. Those of a client
   * that has taken all that it was sent take no room for long.
   */
  boolean mayReadWhenExhausted() {
    return roomReserved || (connection.isFromClient() && connection.unsentBytes() == 0);
  }

  /**
   * Counts a read and suspends reading if there are too many, on MINA's thread: an event loop that
   * lags behind would be too late to stop a flood. The event loop counts down and then checks
   * whether reading is suspended; this counts, suspends and then checks the count again, so that at
   * least one of them resumes reading.
   */
  void beforeHandOver(IoSession session) {
    if (unconsumedCount.incrementAndGet() >= maxUnconsumed()) {
      session.suspendRead();
      if ((unconsumedCount.get() < maxUnconsumed() && !paused)
          || connection.inputDiscarder().isLingering()) {
        session.resumeRead();
      }
    }
  }

  private int maxUnconsumed() {
    return bufferPool.hasCapacity() ? MAX_UNCONSUMED_READS : MAX_UNCONSUMED_READS_WITHOUT_CAPACITY;
  }

  /**
   * Queues a read that was counted, and gives it to the handler unless the connection is paused.
   */
  void add(IoBuffer buffer, Duration at) {
    unconsumed.add(new Read(buffer, at));
    consume();
  }

  /** Gives the handler all that it will take; discards the rest if the connection has ended. */
  void consume() {
    if (consuming) {
      return;
    }
    consuming = true;
    try {
      while (!unconsumed.isEmpty() && !paused) {
        consumeFirst();
      }
    } finally {
      consuming = false;
    }
    resumeReading();
    if (unconsumed.isEmpty()) {
      connection.onAllConsumed();
    }
  }

  private void consumeFirst() {
    Read first = unconsumed.peek();
    receivedAt = first.receivedAt();
    if (!connection.isFinished()) {
      connection.deliver(first.bytes().buf());
    }
    if (connection.isFinished() || !first.bytes().hasRemaining()) {
      unconsumed.poll().bytes().free();
      unconsumedCount.decrementAndGet();
    }
  }

  /** Reads again after a suspension, unless too many reads are unconsumed. */
  void resumeReading() {
    IoSession session = connection.session();
    if (connection.inputDiscarder().isLingering()) {
      session.resumeRead();
    } else if (!paused
        && !connection.isFinished()
        && session != null
        && session.isReadSuspended()
        && unconsumedCount.get() < maxUnconsumed()) {
      session.resumeRead();
    }
  }

  /** Frees all buffers, since the connection has ended; while consuming, the loop does that. */
  void release() {
    if (!consuming) {
      unconsumed.forEach(read -> read.bytes().free());
      unconsumed.clear();
    }
    paused = false;
  }
}
