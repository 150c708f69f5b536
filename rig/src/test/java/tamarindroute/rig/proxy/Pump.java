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
final class Pump {

  /** Beyond this nothing more is read, so that the sender's own buffers fill, as on a real way. */
  private static final int MOST = 256 * 1024;

  private static final int PIECE = 16 * 1024;

  private enum End {
    NONE,
    ORDERLY,
    RESET
  }

  private record Piece(long due, ByteBuffer bytes, End end) {}

  final SocketChannel from;
  final SocketChannel to;
  private final Way way;
  private final Proxies proxies;
  private final ArrayDeque<Piece> pieces = new ArrayDeque<>();
  private int held;
  private long last;
  private boolean ended;
  private boolean blocked;

  Pump(Proxies proxies, SocketChannel from, SocketChannel to, Way way) {
    this.proxies = proxies;
    this.from = from;
    this.to = to;
    this.way = way;
  }

  boolean wantsRead() {
    return !ended && held < MOST;
  }

  boolean wantsWrite() {
    return blocked;
  }

  void read(Runnable later) {
    ByteBuffer buffer = ByteBuffer.allocate(PIECE);
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
    held += bytes == null ? 0 : bytes.remaining();
    long delay = way.delayNanos() + (bytes != null && way.lost() ? Fault.AGAIN.toNanos() : 0);
    last = Math.max(last, System.nanoTime() + delay);
    pieces.add(new Piece(last, bytes, end));
    if (delay > 0) {
      proxies.after(last - System.nanoTime(), later);
    }
  }

  /** Sends what is due; false once the whole connection is to be ended by a reset. */
  boolean flush() {
    blocked = false;
    while (!pieces.isEmpty() && !way.cut() && pieces.peek().due - System.nanoTime() <= 0) {
      Piece piece = pieces.peek();
      try {
        if (piece.end == End.RESET) {
          return false;
        }
        if (piece.end == End.ORDERLY) {
          to.shutdownOutput();
        } else {
          held -= to.write(piece.bytes);
          if (piece.bytes.hasRemaining()) {
            blocked = true;
            return true;
          }
        }
      } catch (IOException e) {
        return false;
      }
      pieces.remove();
    }
    return true;
  }

  /** Whether the end has gone out. */
  boolean done() {
    return ended && pieces.isEmpty();
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
