package tamarindroute.rig.proxy;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;

/**
 * One direction of a stream: chunks in order, each with the time from which it may be sent. A cut
 * holds back everything, also the end and a reset, until it is healed.
 */
final class StreamPipe {

  /** Beyond this nothing is read, so that the sender's buffers fill, as on a real link. */
  private static final int MAX_BUFFERED_BYTES = 256 * 1024;

  private static final int CHUNK_BYTES = 16 * 1024;
  private static final ByteBuffer EMPTY = ByteBuffer.allocate(0);

  private enum End {
    NONE,
    ORDERLY,
    RESET
  }

  private record Chunk(long dueNanos, ByteBuffer bytes, End end) {
    boolean isDue() {
      return dueNanos - System.nanoTime() <= 0;
    }
  }

  private final ProxyLoop loop;
  private final SocketChannel source;
  private final SocketChannel destination;
  private final Link link;
  private final ArrayDeque<Chunk> chunks = new ArrayDeque<>();
  private int bufferedBytes;
  private long lastDueNanos;
  private boolean ended;
  private boolean blocked;

  StreamPipe(ProxyLoop loop, SocketChannel source, SocketChannel destination, Link link) {
    this.loop = loop;
    this.source = source;
    this.destination = destination;
    this.link = link;
  }

  boolean wantsRead() {
    return !ended && bufferedBytes < MAX_BUFFERED_BYTES;
  }

  boolean wantsWrite() {
    return blocked;
  }

  /** Reads what has arrived; {@code whenDue} runs when it may be sent. */
  void read(Runnable whenDue) {
    ByteBuffer buffer = ByteBuffer.allocate(CHUNK_BYTES);
    try {
      int count = source.read(buffer);
      if (count < 0) {
        add(EMPTY, End.ORDERLY, whenDue);
      } else if (count > 0) {
        add(buffer.flip(), End.NONE, whenDue);
      }
    } catch (IOException e) {
      reset(whenDue);
    }
  }

  /** Adds a reset after what is buffered. */
  void reset(Runnable whenDue) {
    add(EMPTY, End.RESET, whenDue);
  }

  private void add(ByteBuffer bytes, End end, Runnable whenDue) {
    if (ended) {
      return;
    }
    ended = end != End.NONE;
    bufferedBytes += bytes.remaining();
    long delayNanos = link.delayNanos();
    if (end == End.NONE && link.isLost()) {
      delayNanos += LinkFaults.RETRANSMISSION_DELAY.toNanos();
    }
    lastDueNanos = Math.max(lastDueNanos, System.nanoTime() + delayNanos);
    chunks.add(new Chunk(lastDueNanos, bytes, end));
    if (delayNanos > 0) {
      loop.schedule(lastDueNanos - System.nanoTime(), whenDue);
    }
  }

  /** Sends what is due; false if the connection is to be reset. */
  boolean flush() {
    blocked = false;
    while (!chunks.isEmpty() && !link.isCut() && chunks.peek().isDue()) {
      Chunk chunk = chunks.peek();
      if (chunk.end == End.RESET) {
        return false;
      }
      try {
        send(chunk);
      } catch (IOException e) {
        return false;
      }
      if (chunk.bytes.hasRemaining()) {
        blocked = true;
        return true;
      }
      chunks.remove();
    }
    return true;
  }

  private void send(Chunk chunk) throws IOException {
    if (chunk.end == End.ORDERLY) {
      destination.shutdownOutput();
    } else {
      bufferedBytes -= destination.write(chunk.bytes);
    }
  }

  /** Whether the end of the stream was sent. */
  boolean isDone() {
    return ended && chunks.isEmpty();
  }

  static void reset(SocketChannel channel) {
    try {
      if (channel.isOpen()) {
        channel.setOption(StandardSocketOptions.SO_LINGER, 0);
        channel.close();
      }
    } catch (IOException e) {
      // It is closed all the same.
    }
  }
}
