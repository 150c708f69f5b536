package tamarindroute.rig.proxy;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;

/**
 * The bytes of one direction of a stream, in their order, each piece with the time before which it
 * doesn't go on. A cut holds all, the end and the reset too, until it is healed.
 */
final class StreamPipe {

  /** Beyond this nothing more is read, so that the sender's own buffers fill, as on a real way. */
  private static final int MAX_BUFFERED = 256 * 1024;

  private static final int CHUNK_SIZE = 16 * 1024;

  private enum End {
    NONE,
    ORDERLY,
    RESET
  }

  private record Chunk(long due, ByteBuffer bytes, End end) {}

  final SocketChannel from;
  final SocketChannel to;
  private final Link link;
  private final ProxyNetwork proxies;
  private final ArrayDeque<Chunk> chunks = new ArrayDeque<>();
  private int buffered;
  private long lastDue;
  private boolean ended;
  private boolean blocked;

  StreamPipe(ProxyNetwork proxies, SocketChannel from, SocketChannel to, Link link) {
    this.proxies = proxies;
    this.from = from;
    this.to = to;
    this.link = link;
  }

  boolean wantsRead() {
    return !ended && buffered < MAX_BUFFERED;
  }

  boolean wantsWrite() {
    return blocked;
  }

  void read(Runnable later) {
    ByteBuffer buffer = ByteBuffer.allocate(CHUNK_SIZE);
    try {
      int count = from.read(buffer);
      if (count < 0) {
        add(null, End.ORDERLY, later);
      } else if (count > 0) {
        add(buffer.flip(), End.NONE, later);
      }
    } catch (IOException e) {
      add(null, End.RESET, later);
    }
  }

  void reset(Runnable later) {
    add(null, End.RESET, later);
  }

  private void add(ByteBuffer bytes, End end, Runnable later) {
    if (ended) {
      return;
    }
    ended = end != End.NONE;
    buffered += bytes == null ? 0 : bytes.remaining();
    long delay =
        link.delayNanos()
            + (bytes != null && link.isLost() ? LinkFaults.RETRANSMISSION_DELAY.toNanos() : 0);
    lastDue = Math.max(lastDue, System.nanoTime() + delay);
    chunks.add(new Chunk(lastDue, bytes, end));
    if (delay > 0) {
      proxies.schedule(lastDue - System.nanoTime(), later);
    }
  }

  /** Sends what is due; false once the whole connection is to be ended by a reset. */
  boolean flush() {
    blocked = false;
    while (!chunks.isEmpty() && !link.isCut() && chunks.peek().due - System.nanoTime() <= 0) {
      Chunk piece = chunks.peek();
      try {
        if (piece.end == End.RESET) {
          return false;
        }
        if (piece.end == End.ORDERLY) {
          to.shutdownOutput();
        } else {
          buffered -= to.write(piece.bytes);
          if (piece.bytes.hasRemaining()) {
            blocked = true;
            return true;
          }
        }
      } catch (IOException e) {
        return false;
      }
      chunks.remove();
    }
    return true;
  }

  /** Whether the end has gone out. */
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
      // Already gone.
    }
  }
}
