package tamarindroute.net;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.IoFutureListener;
import org.apache.mina.core.future.WriteFuture;
import org.apache.mina.core.session.IoSession;
import tamarindroute.log.Log;

/**
 * Owns one connection's state on the owner's thread: what was read and not yet used, what was
 * written and has not left, whether reading rests. It must never be called on another thread, but
 * for the few package-private methods that MINA's thread calls.
 */
public final class Connection {

  /**
   * Reads handed over and not used up, past which no more are made: four buffers keep a stream
   * flowing.
   */
  private static final int MAX_UNCONSUMED_READS = 4;

  /**
   * What was written to a client leaves within the longest time that one waits for an answer, or
   * never.
   */
  private static final Duration FLUSH_TIMEOUT = Duration.ofSeconds(3);

  /**
   * Requests that cross a close come within 50 ms, by the protocol; this allows for a busy machine.
   */
  private static final Duration LINGER_TIMEOUT = Duration.ofMillis(200);

  /**
   * More than a client can have on its way: 32 requests of 48,000 bytes. Past it, it floods and
   * does not listen.
   */
  private static final int MAX_DISCARDED_BYTES = 2 * 1024 * 1024;

  /**
   * A client may shut its side and wait; one that is gone must have begun no attempt after 0.1 s.
   * This is half.
   */
  private static final long ABANDONED_AFTER_NANOS = 50_000_000;

  /** Behind a connection that is not let in: what it sends goes nowhere. */
  private static final ConnectionHandler DISCARDING_HANDLER =
      new ConnectionHandler() {
        @Override
        public void onReceived(ByteBuffer bytes) {
          bytes.position(bytes.limit());
        }

        @Override
        public void onClosed(CloseReason closeReason) {}
      };

  private final SocketTransport transport;
  private final boolean fromClient;
  ConnectionHandler handler = DISCARDING_HANDLER;
  private volatile IoSession session;
  private final AtomicInteger unconsumedReadCount = new AtomicInteger();
  private final ArrayDeque<Read> unconsumedReads = new ArrayDeque<>();
  private Duration receivedAt = Duration.ZERO;
  private volatile boolean paused;
  private boolean consuming;
  private boolean finished;
  private CloseReason pendingCloseReason;
  private volatile long bytesWritten;

  /**
   * Counted by whoever finds a write done: MINA's thread, or the owner's where that was sooner than
   * its listener.
   */
  private final AtomicLong bytesSent = new AtomicLong();

  /** What comes is of no use to anyone; MINA's thread throws it away. */
  private volatile boolean discarding;

  /** This side has ended it, and waits for the other side's end. */
  private volatile boolean lingering;

  /**
   * Since when the other side is known to send no more, and whether all is over; set on MINA's
   * thread.
   */
  private volatile long inputClosedAtNanos;

  private volatile boolean inputClosed;
  private volatile boolean sessionClosed;
  private boolean outputShutDown;
  private long discardedBytes;
  private Runnable lingerTimer = () -> {};

  private record Read(IoBuffer bytes, Duration receivedAt) {}

  Connection(SocketTransport transport, boolean fromClient) {
    this.transport = transport;
    this.fromClient = fromClient;
  }

  IoSession session() {
    return session;
  }

  /** Writes bytes of the caller's own. */
  public void write(byte[] bytes) {
    write(IoBuffer.wrap(bytes));
  }

  /** Writes pooled buffers, in their order, and empties the queue. */
  public void write(ArrayDeque<IoBuffer> buffers) {
    for (IoBuffer next = buffers.poll(); next != null; next = buffers.poll()) {
      write(next);
    }
  }

  /** Writes a pooled buffer, which is freed when it has left. */
  private void write(IoBuffer buffer) {
    if (finished || session == null) {
      buffer.free();
      return;
    }
    int length = buffer.remaining();
    bytesWritten += length;
    // Also where it never leaves: what is queued when a connection ends is told to the future
    // alone. Counted before
    // it is freed, for from then on it is another's, with a limit of its own.
    session
        .write(buffer)
        .addListener(
            (IoFutureListener<WriteFuture>)
                done -> {
                  if (done.isWritten()) {
                    bytesSent.addAndGet(length);
                  }
                  buffer.free();
                });
  }

  /** The other side's address, once the connection is up; null where it has gone already. */
  public InetSocketAddress remoteAddress() {
    return session == null ? null : (InetSocketAddress) session.getRemoteAddress();
  }

  /**
   * When the bytes that the peer is being given came; a backlog of this gateway's own lies between.
   */
  public Duration receivedAt() {
    return receivedAt;
  }

  /** Where the bytes written so far end; compare with hasLeft. */
  public long bytesWritten() {
    return bytesWritten;
  }

  /** Whether all bytes up to this end were given to the machine. */
  public boolean isSent(long end) {
    return bytesSent.get() >= end;
  }

  /** The bytes written that have not left. */
  public long unsentBytes() {
    return bytesWritten - bytesSent.get();
  }

  /** Whether bytes have come that the peer has not been given. */
  public boolean hasUnconsumedBytes() {
    return unconsumedReadCount.get() > 0;
  }

  public boolean paused() {
    return paused;
  }

  /** No further bytes are wanted for now. */
  public void pause() {
    if (!paused && !finished) {
      paused = true;
      session.suspendRead();
    }
  }

  public void resume() {
    if (paused) {
      paused = false;
      consume();
    }
  }

  /**
   * Closes it; what was written still leaves where flush is set. The peer is told of the end at
   * once. A client's connection lingers then: a close over unread bytes would reset it, and answers
   * on their way go with that.
   */
  public void close(CloseReason reason, boolean flush) {
    if (finished) {
      return;
    }
    // One that is still coming up is closed when it is up. MINA's cancel must not be used: where it
    // meets a
    // connect that MINA has not yet registered, MINA's count of connects goes wrong for good, its
    // thread
    // ends too early, and later connects come up at the other side but never here.
    if (session != null && flush && fromClient) {
      startLingering();
    } else if (session != null && flush) {
      session.closeOnFlush();
    } else if (session != null) {
      session.closeNow();
    }
    finish(reason);
  }

  /** What comes from now on is thrown away, at no cost to the owner; its end is told as ever. */
  public void discard() {
    discarding = true;
  }

  /**
   * Whether nobody is there to be served: all is over, or the other side's end came a while ago.
   */
  public boolean isAbandoned() {
    return sessionClosed
        || inputClosed && System.nanoTime() - inputClosedAtNanos > ABANDONED_AFTER_NANOS;
  }

  /**
   * Each side tells the other by a flag and then looks at the other's, so that one of both sees.
   */
  private void startLingering() {
    discarding = true;
    lingering = true;
    transport.addLingering(this);
    lingerTimer = transport.schedule(FLUSH_TIMEOUT, this::closeNow);
    if (inputClosed) {
      session.closeOnFlush();
    } else {
      session.resumeRead();
    }
  }

  /** Ends a lingering at once. */
  void closeNow() {
    session.closeNow();
  }

  /** On MINA's thread: whether this side's end is due, once: all that was written has left. */
  boolean claimOutputShutdown() {
    if (!lingering || inputClosed || outputShutDown || bytesSent.get() < bytesWritten) {
      return false;
    }
    outputShutDown = true;
    transport.execute(
        () -> {
          lingerTimer.run();
          if (!sessionClosed) {
            lingerTimer = transport.schedule(LINGER_TIMEOUT, this::closeNow);
          }
        });
    return true;
  }

  /** On MINA's thread: the other side sends no more; true where this side waited for just that. */
  boolean onInputClosed() {
    inputClosedAtNanos = System.nanoTime();
    inputClosed = true;
    return lingering;
  }

  /** On MINA's thread: the session is no more. */
  void onSessionClosed() {
    sessionClosed = true;
  }

  /** On MINA's thread: whether these bytes go nowhere. */
  boolean discardsInput(int bytes) {
    if (!discarding) {
      return false;
    }
    if (lingering) {
      discardedBytes += bytes;
      if (discardedBytes > MAX_DISCARDED_BYTES && bytesSent.get() >= bytesWritten) {
        closeNow();
      }
    }
    return true;
  }

  /** On the owner's thread: the connection is up, unless it was given up meanwhile. */
  void onSessionOpened(IoSession opened) {
    if (finished) {
      opened.closeNow();
      return;
    }
    session = opened;
    handler.onOpened();
  }

  /**
   * On MINA's thread, before the bytes are handed over: reads rest here, for an owner that lags
   * behind is too late to stop a flood. The owner counts down and then looks whether they rest, so
   * one of both sees the other.
   */
  void throttleReads(IoSession from) {
    if (unconsumedReadCount.incrementAndGet() >= maxUnconsumedReads()) {
      from.suspendRead();
      if (unconsumedReadCount.get() < maxUnconsumedReads() && !paused || lingering) {
        from.resumeRead();
      }
    }
  }

  private int maxUnconsumedReads() {
    return transport.bufferPool().hasCapacity() ? MAX_UNCONSUMED_READS : 1;
  }

  /** On MINA's thread, after a write: whether it was the last and this side's end is due. */
  boolean isOutputShutdownDue() {
    return lingering && bytesSent.get() >= bytesWritten;
  }

  void onReceived(IoBuffer buffer, Duration at) {
    unconsumedReads.add(new Read(buffer, at));
    consume();
  }

  private void consume() {
    if (consuming) {
      return;
    }
    consuming = true;
    while (!unconsumedReads.isEmpty() && !paused) {
      Read first = unconsumedReads.peek();
      receivedAt = first.receivedAt();
      if (!finished) {
        deliver(first.bytes().buf());
      }
      if (finished || !first.bytes().hasRemaining()) {
        unconsumedReads.poll().bytes().free();
        unconsumedReadCount.decrementAndGet();
      }
    }
    consuming = false;
    if (!paused
        && !finished
        && session != null
        && session.isReadSuspended()
        && unconsumedReadCount.get() < maxUnconsumedReads()) {
      session.resumeRead();
    }
    if (pendingCloseReason != null && unconsumedReads.isEmpty()) {
      finish(pendingCloseReason);
    }
  }

  /** A defect in who reads costs this connection, not the buffers nor the other connections. */
  private void deliver(ByteBuffer bytes) {
    try {
      handler.onReceived(bytes);
    } catch (RuntimeException e) {
      Log.defect(e);
      close(CloseReason.PROTOCOL_ERROR, false);
    }
  }

  /** The other side is gone; what it sent before is used first. */
  void onSessionLost(CloseReason reason) {
    lingerTimer.run();
    if (pendingCloseReason == null) {
      pendingCloseReason = reason;
      consume();
    }
  }

  private void finish(CloseReason reason) {
    if (finished) {
      return;
    }
    finished = true;
    if (!consuming) {
      unconsumedReads.forEach(read -> read.bytes().free());
      unconsumedReads.clear();
    }
    paused = false;
    transport.onConnectionClosed(this);
    handler.onClosed(reason);
  }

  /** Copies bytes into buffers of the pool. */
  public static void copy(ByteBuffer bytes, BufferPool bufferPool, ArrayDeque<IoBuffer> to) {
    while (bytes.hasRemaining()) {
      IoBuffer last = to.peekLast();
      if (last == null || last.limit() == last.capacity()) {
        last = bufferPool.acquire();
        last.limit(0);
        to.add(last);
      }
      int at = last.limit();
      int length = Math.min(bytes.remaining(), last.capacity() - at);
      last.limit(at + length);
      last.buf().put(at, bytes, bytes.position(), length);
      bytes.position(bytes.position() + length);
    }
  }
}
