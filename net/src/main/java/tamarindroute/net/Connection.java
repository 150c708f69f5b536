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
  private static final int MOST_READS = 4;

  /**
   * What was written to a client leaves within the longest time that one waits for an answer, or
   * never.
   */
  private static final Duration LEAVES_WITHIN = Duration.ofSeconds(3);

  /**
   * Requests that cross a close come within 50 ms, by the protocol; this allows for a busy machine.
   */
  private static final Duration LINGERS = Duration.ofMillis(200);

  /**
   * More than a client can have on its way: 32 requests of 48,000 bytes. Past it, it floods and
   * does not listen.
   */
  private static final int MOST_THROWN = 2 * 1024 * 1024;

  /**
   * A client may shut its side and wait; one that is gone must have begun no attempt after 0.1 s.
   * This is half.
   */
  private static final long LEFT_AFTER_NANOS = 50_000_000;

  /** Behind a connection that is not let in: what it sends goes nowhere. */
  private static final Peer NOBODY =
      new Peer() {
        @Override
        public void received(ByteBuffer bytes) {
          bytes.position(bytes.limit());
        }

        @Override
        public void ended(Ending ending) {}
      };

  private final Sockets sockets;
  private final boolean fromClient;
  Peer peer = NOBODY;
  private volatile IoSession session;
  private final AtomicInteger reads = new AtomicInteger();
  private final ArrayDeque<Read> unused = new ArrayDeque<>();
  private Duration readAt = Duration.ZERO;
  private volatile boolean paused;
  private boolean using;
  private boolean over;
  private Ending ending;
  private volatile long written;

  /**
   * Counted by whoever finds a write done: MINA's thread, or the owner's where that was sooner than
   * its listener.
   */
  private final AtomicLong left = new AtomicLong();

  /** What comes is of no use to anyone; MINA's thread throws it away. */
  private volatile boolean discarding;

  /** This side has ended it, and waits for the other side's end. */
  private volatile boolean lingering;

  /**
   * Since when the other side is known to send no more, and whether all is over; set on MINA's
   * thread.
   */
  private volatile long inputOverAt;

  private volatile boolean inputOver;
  private volatile boolean gone;
  private boolean outputShut;
  private long thrown;
  private Runnable lingerTimer = () -> {};

  private record Read(IoBuffer bytes, Duration at) {}

  Connection(Sockets sockets, boolean fromClient) {
    this.sockets = sockets;
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
    if (over || session == null) {
      buffer.free();
      return;
    }
    int length = buffer.remaining();
    written += length;
    // Also where it never leaves: what is queued when a connection ends is told to the future
    // alone. Counted before
    // it is freed, for from then on it is another's, with a limit of its own.
    session
        .write(buffer)
        .addListener(
            (IoFutureListener<WriteFuture>)
                done -> {
                  if (done.isWritten()) {
                    left.addAndGet(length);
                  }
                  buffer.free();
                });
  }

  /** The other side's address, once the connection is up; null where it has gone already. */
  public InetSocketAddress remote() {
    return session == null ? null : (InetSocketAddress) session.getRemoteAddress();
  }

  /**
   * When the bytes that the peer is being given came; a backlog of this gateway's own lies between.
   */
  public Duration readAt() {
    return readAt;
  }

  /** Where the bytes written so far end; compare with hasLeft. */
  public long written() {
    return written;
  }

  /** Whether all bytes up to this end were given to the machine. */
  public boolean hasLeft(long end) {
    return left.get() >= end;
  }

  /** The bytes written that have not left. */
  public long waiting() {
    return written - left.get();
  }

  /** Whether bytes have come that the peer has not been given. */
  public boolean hasUnused() {
    return reads.get() > 0;
  }

  public boolean paused() {
    return paused;
  }

  /** No further bytes are wanted for now. */
  public void pause() {
    if (!paused && !over) {
      paused = true;
      session.suspendRead();
    }
  }

  public void resume() {
    if (paused) {
      paused = false;
      use();
    }
  }

  /**
   * Closes it; what was written still leaves where flush is set. The peer is told of the end at
   * once. A client's connection lingers then: a close over unread bytes would reset it, and answers
   * on their way go with that.
   */
  public void close(Ending why, boolean flush) {
    if (over) {
      return;
    }
    // One that is still coming up is closed when it is up. MINA's cancel must not be used: where it
    // meets a
    // connect that MINA has not yet registered, MINA's count of connects goes wrong for good, its
    // thread
    // ends too early, and later connects come up at the other side but never here.
    if (session != null && flush && fromClient) {
      linger();
    } else if (session != null && flush) {
      session.closeOnFlush();
    } else if (session != null) {
      session.closeNow();
    }
    end(why);
  }

  /** What comes from now on is thrown away, at no cost to the owner; its end is told as ever. */
  public void discard() {
    discarding = true;
  }

  /**
   * Whether nobody is there to be served: all is over, or the other side's end came a while ago.
   */
  public boolean isLeft() {
    return gone || inputOver && System.nanoTime() - inputOverAt > LEFT_AFTER_NANOS;
  }

  /**
   * Each side tells the other by a flag and then looks at the other's, so that one of both sees.
   */
  private void linger() {
    discarding = true;
    lingering = true;
    sockets.lingers(this);
    lingerTimer = sockets.after(LEAVES_WITHIN, this::cut);
    if (inputOver) {
      session.closeOnFlush();
    } else {
      session.resumeRead();
    }
  }

  /** Ends a lingering at once. */
  void cut() {
    session.closeNow();
  }

  /** On MINA's thread: whether this side's end is due, once: all that was written has left. */
  boolean shutsOutput() {
    if (!lingering || inputOver || outputShut || left.get() < written) {
      return false;
    }
    outputShut = true;
    sockets.handOver(
        () -> {
          lingerTimer.run();
          if (!gone) {
            lingerTimer = sockets.after(LINGERS, this::cut);
          }
        });
    return true;
  }

  /** On MINA's thread: the other side sends no more; true where this side waited for just that. */
  boolean inputIsOver() {
    inputOverAt = System.nanoTime();
    inputOver = true;
    return lingering;
  }

  /** On MINA's thread: the session is no more. */
  void isGone() {
    gone = true;
  }

  /** On MINA's thread: whether these bytes go nowhere. */
  boolean throwsAway(int bytes) {
    if (!discarding) {
      return false;
    }
    if (lingering) {
      thrown += bytes;
      if (thrown > MOST_THROWN && left.get() >= written) {
        cut();
      }
    }
    return true;
  }

  /** On the owner's thread: the connection is up, unless it was given up meanwhile. */
  void up(IoSession opened) {
    if (over) {
      opened.closeNow();
      return;
    }
    session = opened;
    peer.opened();
  }

  /**
   * On MINA's thread, before the bytes are handed over: reads rest here, for an owner that lags
   * behind is too late to stop a flood. The owner counts down and then looks whether they rest, so
   * one of both sees the other.
   */
  void reading(IoSession from) {
    if (reads.incrementAndGet() >= mostReads()) {
      from.suspendRead();
      if (reads.get() < mostReads() && !paused || lingering) {
        from.resumeRead();
      }
    }
  }

  private int mostReads() {
    return sockets.pool().hasRoom() ? MOST_READS : 1;
  }

  /** On MINA's thread, after a write: whether it was the last and this side's end is due. */
  boolean endDue() {
    return lingering && left.get() >= written;
  }

  void received(IoBuffer buffer, Duration at) {
    unused.add(new Read(buffer, at));
    use();
  }

  private void use() {
    if (using) {
      return;
    }
    using = true;
    while (!unused.isEmpty() && !paused) {
      Read first = unused.peek();
      readAt = first.at();
      if (!over) {
        given(first.bytes().buf());
      }
      if (over || !first.bytes().hasRemaining()) {
        unused.poll().bytes().free();
        reads.decrementAndGet();
      }
    }
    using = false;
    if (!paused
        && !over
        && session != null
        && session.isReadSuspended()
        && reads.get() < mostReads()) {
      session.resumeRead();
    }
    if (ending != null && unused.isEmpty()) {
      end(ending);
    }
  }

  /** A defect in who reads costs this connection, not the buffers nor the other connections. */
  private void given(ByteBuffer bytes) {
    try {
      peer.received(bytes);
    } catch (RuntimeException e) {
      Log.defect(e);
      close(Ending.UNREADABLE, false);
    }
  }

  /** The other side is gone; what it sent before is used first. */
  void lost(Ending why) {
    lingerTimer.run();
    if (ending == null) {
      ending = why;
      use();
    }
  }

  private void end(Ending why) {
    if (over) {
      return;
    }
    over = true;
    if (!using) {
      unused.forEach(read -> read.bytes().free());
      unused.clear();
    }
    paused = false;
    sockets.ended(this);
    peer.ended(why);
  }

  /** Copies bytes into buffers of the pool. */
  public static void copy(ByteBuffer bytes, Pool pool, ArrayDeque<IoBuffer> to) {
    while (bytes.hasRemaining()) {
      IoBuffer last = to.peekLast();
      if (last == null || last.limit() == last.capacity()) {
        last = pool.take();
        last.limit(0);
        to.add(last);
      }
      int at = last.limit();
      int some = Math.min(bytes.remaining(), last.capacity() - at);
      last.limit(at + some);
      last.buf().put(at, bytes, bytes.position(), some);
      bytes.position(bytes.position() + some);
    }
  }
}
