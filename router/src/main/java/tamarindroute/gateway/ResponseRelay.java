package tamarindroute.gateway;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.apache.mina.core.buffer.IoBuffer;
import tamarindroute.host.EventLoop;
import tamarindroute.log.Log;
import tamarindroute.net.BufferPool;
import tamarindroute.net.CloseReason;
import tamarindroute.net.Connection;
import tamarindroute.protocol.FieldList;
import tamarindroute.protocol.RespWriter;

/**
 * The fifth stage: owns the way of an answer's bytes from a cache to the client. An answer waits in
 * the pool's buffers until it is whole, so that one which breaks off leaves no trace on the
 * client's connection and its view can go on. It must never let a broken answer look whole, nor
 * hold bytes past the pool's room.
 */
final class ResponseRelay {

  /** A client that has left less than two of the largest answers unread is not called slow. */
  private static final long SLOW_CLIENT_BYTES = 2 * 240_000;

  private final BufferPool bufferPool;
  private final EventLoop eventLoop;
  private final Set<ClientWriter> clientWriters = new LinkedHashSet<>();
  private final List<Connection> pausedConnections = new ArrayList<>();

  /** The bytes still to come of answers that were let in to the pool. */
  private long reservedBytes;

  ResponseRelay(BufferPool bufferPool, EventLoop eventLoop) {
    this.bufferPool = bufferPool;
    this.eventLoop = eventLoop;
  }

  /** The frames written to one client. */
  final class ClientWriter {

    final Connection connection;

    ClientWriter(Connection connection) {
      this.connection = connection;
      clientWriters.add(this);
    }

    /** A frame without fields or body. */
    void send(String tag, String status) {
      send(tag, status, new FieldList());
    }

    void send(String tag, String status, FieldList fields) {
      ArrayDeque<IoBuffer> frame = new ArrayDeque<>();
      Connection.copy(
          ByteBuffer.wrap(RespWriter.frame(tag, status, fields.format(""), "")), bufferPool, frame);
      connection.write(frame);
    }

    void unregister() {
      clientWriters.remove(this);
    }
  }

  /** One answer's way. */
  final class PendingResponse {

    private final PendingRequest pending;
    private final ArrayDeque<IoBuffer> parts = new ArrayDeque<>();
    private int remaining;
    private boolean admitted;

    PendingResponse(PendingRequest pending) {
      this.pending = pending;
    }

    /** The answer begins: its frame's opening is made, for its tag and length are known. */
    void begin(FieldList responseFields, int length) {
      FieldList fields = new FieldList().with("ver", responseFields.text("digest"));
      Connection.copy(
          RespWriter.frameHeader(length, pending.tag, "ACK", fields.format("")), bufferPool, parts);
      remaining = length;
    }

    /**
     * A part of the answer has come. Only an answer for whose rest there is room goes on, else its
     * cache has to wait: half answers that fill the pool between them would wait for one another.
     * One may always go on, unless it is the clients who leave unread what fills the pool.
     */
    void append(ByteBuffer bytes, Connection source) {
      int count = bytes.remaining();
      Connection.copy(bytes, bufferPool, parts);
      remaining -= count;
      if (admitted) {
        reservedBytes -= count;
      } else if (bufferPool.hasCapacityFor(reservedBytes + remaining)
          || reservedBytes == 0 && unreadBytes() < SLOW_CLIENT_BYTES) {
        admitted = true;
        reservedBytes += remaining;
      } else {
        applyBackpressure(source);
      }
    }

    /** The whole answer goes to the client. */
    void finish(FieldList responseFields, boolean notModified) {
      if (notModified) {
        discard();
        pending.client.responses.send(
            pending.tag,
            "ACK",
            new FieldList().with("unchanged", 1).with("ver", responseFields.text("digest")));
        return;
      }
      Connection.copy(RespWriter.frameTrailer(), bufferPool, parts);
      pending.client.responses.connection.write(parts);
      releaseReservation();
    }

    /** The answer is not wanted, or broke. */
    void discard() {
      parts.forEach(IoBuffer::free);
      parts.clear();
      releaseReservation();
    }

    /** What it was promised and has not used is others'. */
    private void releaseReservation() {
      if (admitted) {
        admitted = false;
        reservedBytes -= remaining;
        eventLoop.execute(ResponseRelay.this::onCapacityAvailable);
      }
    }
  }

  PendingResponse openResponse(PendingRequest pending) {
    return new PendingResponse(pending);
  }

  private long unreadBytes() {
    return clientWriters.stream().mapToLong(writer -> writer.connection.unsentBytes()).sum();
  }

  /**
   * No room: the client that has left most unread is let go, if it is slow; else the cache has to
   * wait.
   */
  private void applyBackpressure(Connection source) {
    ClientWriter slowestClient =
        clientWriters.stream()
            .max(Comparator.comparingLong(writer -> writer.connection.unsentBytes()))
            .orElse(null);
    if (slowestClient != null && slowestClient.connection.unsentBytes() > SLOW_CLIENT_BYTES) {
      Log.info("client-slow", slowestClient.connection.unsentBytes() + " bytes left unread");
      slowestClient.connection.close(CloseReason.CLOSED_LOCALLY, false);
    }
    source.pause();
    pausedConnections.add(source);
  }

  /** There is room in the pool again, or an answer that was let in is over. */
  void onCapacityAvailable() {
    List<Connection> resumable = List.copyOf(pausedConnections);
    pausedConnections.clear();
    resumable.forEach(Connection::resume);
  }
}
