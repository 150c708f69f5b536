package tamarindroute.gateway;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.apache.mina.core.buffer.IoBuffer;
import tamarindroute.host.Clock;
import tamarindroute.log.Log;
import tamarindroute.net.Connection;
import tamarindroute.net.Ending;
import tamarindroute.net.Pool;
import tamarindroute.protocol.Fields;
import tamarindroute.protocol.RespWriter;

/**
 * The fifth stage: owns the way of an answer's bytes from a cache to the client. An answer waits in
 * the pool's buffers until it is whole, so that one which breaks off leaves no trace on the
 * client's connection and its view can go on. It must never let a broken answer look whole, nor
 * hold bytes past the pool's room.
 */
final class Relay {

  /** A client that has left less than two of the largest answers unread is not called slow. */
  private static final long SLOW = 2 * 240_000;

  private final Pool pool;
  private final Clock clock;
  private final Set<Outlet> outlets = new LinkedHashSet<>();
  private final List<Connection> resting = new ArrayList<>();

  /** The bytes still to come of answers that were let in to the pool. */
  private long promised;

  Relay(Pool pool, Clock clock) {
    this.pool = pool;
    this.clock = clock;
  }

  /** The frames written to one client. */
  final class Outlet {

    final Connection connection;

    Outlet(Connection connection) {
      this.connection = connection;
      outlets.add(this);
    }

    /** A frame without fields or body. */
    void word(String tag, String word) {
      word(tag, word, new Fields());
    }

    void word(String tag, String word, Fields fields) {
      ArrayDeque<IoBuffer> frame = new ArrayDeque<>();
      Connection.copy(
          ByteBuffer.wrap(RespWriter.frame(tag, word, fields.write(""), "")), pool, frame);
      connection.write(frame);
    }

    void ended() {
      outlets.remove(this);
    }
  }

  /** One answer's way. */
  final class Passage {

    private final Held held;
    private final ArrayDeque<IoBuffer> parts = new ArrayDeque<>();
    private int left;
    private boolean letIn;

    Passage(Held held) {
      this.held = held;
    }

    /** The answer begins: its frame's opening is made, for its tag and length are known. */
    void begin(Fields told, int length) {
      Fields fields = new Fields().with("ver", told.text("digest"));
      Connection.copy(RespWriter.opening(length, held.tag, "ACK", fields.write("")), pool, parts);
      left = length;
    }

    /**
     * A part of the answer has come. Only an answer for whose rest there is room goes on, else its
     * cache has to wait: half answers that fill the pool between them would wait for one another.
     * One may always go on, unless it is the clients who leave unread what fills the pool.
     */
    void part(ByteBuffer part, Connection from) {
      int some = part.remaining();
      Connection.copy(part, pool, parts);
      left -= some;
      if (letIn) {
        promised -= some;
      } else if (pool.hasRoomFor(promised + left) || promised == 0 && unread() < SLOW) {
        letIn = true;
        promised += left;
      } else {
        outOfRoom(from);
      }
    }

    /** The whole answer goes to the client. */
    void finish(Fields told, boolean unchanged) {
      if (unchanged) {
        drop();
        held.client.outlet.word(
            held.tag, "ACK", new Fields().with("unchanged", 1).with("ver", told.text("digest")));
        return;
      }
      Connection.copy(RespWriter.closing(), pool, parts);
      held.client.outlet.connection.write(parts);
      letOut();
    }

    /** The answer is not wanted, or broke. */
    void drop() {
      parts.forEach(IoBuffer::free);
      parts.clear();
      letOut();
    }

    /** What it was promised and has not used is others'. */
    private void letOut() {
      if (letIn) {
        letIn = false;
        promised -= left;
        clock.handOver(Relay.this::room);
      }
    }
  }

  Passage passage(Held held) {
    return new Passage(held);
  }

  private long unread() {
    return outlets.stream().mapToLong(outlet -> outlet.connection.waiting()).sum();
  }

  /**
   * No room: the client that has left most unread is let go, if it is slow; else the cache has to
   * wait.
   */
  private void outOfRoom(Connection from) {
    Outlet slowest =
        outlets.stream().max(Comparator.comparingLong(o -> o.connection.waiting())).orElse(null);
    if (slowest != null && slowest.connection.waiting() > SLOW) {
      Log.line("client-slow", slowest.connection.waiting() + " bytes left unread");
      slowest.connection.close(Ending.LET_GO, false);
    }
    from.pause();
    resting.add(from);
  }

  /** There is room in the pool again, or an answer that was let in is over. */
  void room() {
    List<Connection> again = List.copyOf(resting);
    resting.clear();
    again.forEach(Connection::resume);
  }
}
