package tamarindroute.net;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.session.IoSession;
import tamarindroute.log.Log;

/**
 * Owns one connection's state on the owner's thread: what was read and not yet used, what was written and has not
 * left, whether reading rests. It must never be called on another thread, but for the few package-private methods
 * that MINA's thread calls.
 */
public final class Connection {

    /** Reads handed over and not used up, past which no more are made: four buffers keep a stream flowing. */
    private static final int MOST_READS = 4;

    /** Behind a connection that is not let in: what it sends goes nowhere. */
    private static final Peer NOBODY = new Peer() {
        @Override
        public void received(ByteBuffer bytes) {
            bytes.position(bytes.limit());
        }

        @Override
        public void ended(Ending ending) { }
    };

    private final Sockets sockets;
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
    private volatile long left;

    private record Read(IoBuffer bytes, Duration at) { }

    Connection(Sockets sockets) {
        this.sockets = sockets;
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
        written += buffer.remaining();
        // Also where it never leaves: what is queued when a connection ends is told to the future alone.
        session.write(buffer).addListener(done -> buffer.free());
    }

    /** The other side's address, once the connection is up; null where it has gone already. */
    public InetSocketAddress remote() {
        return session == null ? null : (InetSocketAddress) session.getRemoteAddress();
    }

    /** When the bytes that the peer is being given came; a backlog of this gateway's own lies between. */
    public Duration readAt() {
        return readAt;
    }

    /** Where the bytes written so far end; compare with hasLeft. */
    public long written() {
        return written;
    }

    /** Whether all bytes up to this end were given to the machine. */
    public boolean hasLeft(long end) {
        return left >= end;
    }

    /** The bytes written that have not left. */
    public long waiting() {
        return written - left;
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

    /** Closes it; what was written still leaves where flush is set. The peer is told of the end at once. */
    public void close(Ending why, boolean flush) {
        if (over) {
            return;
        }
        // One that is still coming up is closed when it is up. MINA's cancel must not be used: where it meets a
        // connect that MINA has not yet registered, MINA's count of connects goes wrong for good, its thread
        // ends too early, and later connects come up at the other side but never here.
        if (session != null && flush) {
            session.closeOnFlush();
        } else if (session != null) {
            session.closeNow();
        }
        end(why);
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
     * On MINA's thread, before the bytes are handed over: reads rest here, for an owner that lags behind is too late
     * to stop a flood. The owner counts down and then looks whether they rest, so one of both sees the other.
     */
    void reading(IoSession from) {
        if (reads.incrementAndGet() >= mostReads()) {
            from.suspendRead();
            if (reads.get() < mostReads() && !paused) {
                from.resumeRead();
            }
        }
    }

    private int mostReads() {
        return sockets.pool().hasRoom() ? MOST_READS : 1;
    }

    /** On MINA's thread: so many bytes have left. */
    void leaving(int bytes) {
        left += bytes;
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
        if (!paused && !over && session != null && session.isReadSuspended() && reads.get() < mostReads()) {
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
