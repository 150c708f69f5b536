package tamarindroute.net;

import java.util.concurrent.atomic.AtomicLong;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.IoFutureListener;
import org.apache.mina.core.future.WriteFuture;
import org.apache.mina.core.session.IoSession;

/**
 * The bytes that a connection has written, and how many of them were passed to the operating
 * system. Written on the event loop; the counts are read on any thread.
 */
final class OutboundBytes {

  private volatile long written;

  /**
   * Counted on whichever thread completes a write: MINA's, or the event loop's if that is sooner
   * than its listener.
   */
  private final AtomicLong sent = new AtomicLong();

  /** Writes a buffer, which is freed once it was sent or the connection has ended. */
  // Only the event loop writes the count.
  @SuppressWarnings("NonAtomicVolatileUpdate")
  void write(IoBuffer buffer, IoSession session) {
    int length = buffer.remaining();
    written += length;
    // Only the future learns of buffers that are still queued when the connection ends. The bytes
    // are counted before the buffer is freed, since another user may change its limit from then on.
    session
        .write(buffer)
        .addListener(
            (IoFutureListener<WriteFuture>)
                done -> {
                  if (done.isWritten()) {
                    sent.addAndGet(length);
                  }
                  buffer.free();
                });
  }

  /** The number of bytes written so far. */
  long written() {
    return written;
  }

  /** The number of bytes passed to the operating system so far. */
  long sent() {
    return sent.get();
  }

  /** Whether all bytes before this offset were passed to the operating system. */
  boolean isSent(long endOffset) {
    return sent.get() >= endOffset;
  }

  /** The number of bytes written but not passed to the operating system yet. */
  long unsent() {
    return written - sent.get();
  }
}
