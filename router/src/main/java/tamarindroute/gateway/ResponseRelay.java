package tamarindroute.gateway;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.apache.mina.core.buffer.IoBuffer;
import tamarindroute.host.EventLoop;
import tamarindroute.net.BufferPool;
import tamarindroute.net.Connection;
import tamarindroute.protocol.CacheResponse;
import tamarindroute.protocol.CacheStatus;
import tamarindroute.protocol.ClientProtocol;
import tamarindroute.protocol.RespWriter;

/**
 * Fifth stage of the pipeline: relays responses from caches to clients.
 *
 * <p>A response is collected in the buffer pool until it is complete. If its connection breaks
 * before that, the client has received nothing and the request can be retried at another cache. If
 * the pool runs out of buffers, connections to caches are paused.
 */
final class ResponseRelay {

  /**
   * With more unsent bytes of all clients, a response without room waits until they were taken.
   * This is twice the largest response.
   */
  private static final long MAX_UNSENT_BYTES_WITHOUT_ROOM = 2 * 240_000;

  private final BufferPool bufferPool;
  private final EventLoop eventLoop;
  private final Set<ClientWriter> clientWriters = new LinkedHashSet<>();
  private final List<Connection> pausedConnections = new ArrayList<>();

  /** Bytes not yet received of the responses for which room in the pool is reserved. */
  private long reservedBytes;

  ResponseRelay(BufferPool bufferPool, EventLoop eventLoop) {
    this.bufferPool = bufferPool;
    this.eventLoop = eventLoop;
  }

  /** Writes frames to one client. It is registered from its creation to {@link #unregister}. */
  final class ClientWriter {

    private final Connection connection;

    ClientWriter(Connection connection) {
      this.connection = connection;
      clientWriters.add(this);
    }

    /** Writes a complete encoded frame. */
    void send(byte[] frame) {
      ArrayDeque<IoBuffer> buffers = new ArrayDeque<>();
      bufferPool.copy(ByteBuffer.wrap(frame), buffers);
      connection.write(buffers);
    }

    /** Removes this writer from the registered ones, after its connection was closed. */
    void unregister() {
      clientWriters.remove(this);
    }
  }

  /** The response to one attempt, collected until it is complete or discarded. */
  final class PendingResponse {

    private final PendingRequest pending;
    private final ArrayDeque<IoBuffer> buffers = new ArrayDeque<>();
    private int remaining;

    /** The connection for the rest of whose response room is reserved; null for none. */
    private Connection reservedFor;

    PendingResponse(PendingRequest pending) {
      this.pending = pending;
    }

    /** Starts a served response with a body of the given length in bytes. */
    void begin(CacheResponse head, int bodyLength) {
      ByteBuffer header =
          ClientProtocol.encodeServedHeader(pending.tag, head.copyTag(), bodyLength);
      bufferPool.copy(header, buffers, bodyLength + RespWriter.FRAME_TRAILER_BYTES);
      remaining = bodyLength;
    }

    /**
     * Adds a part of the body. A response continues only if the pool has room for its rest,
     * otherwise its connection is paused: several partial responses that fill the pool together
     * would wait for each other. If no room is reserved, a response continues in any case, unless
     * slow clients fill the pool.
     */
    void append(ByteBuffer part, Connection source) {
      int count = part.remaining();
      remaining -= count;
      bufferPool.copy(part, buffers, remaining + RespWriter.FRAME_TRAILER_BYTES);
      if (reservedFor != null) {
        reservedBytes -= count;
      } else if (bufferPool.hasCapacityFor(reservedBytes + remaining)
          || (reservedBytes == 0 && unsentBytes() < MAX_UNSENT_BYTES_WITHOUT_ROOM)) {
        reservedFor = source;
        reservedBytes += remaining;
        source.setRoomReserved(true);
      } else {
        applyBackpressure(source);
      }
    }

    /** Sends the complete response to the client. */
    void finish(CacheResponse head) {
      if (head.status() == CacheStatus.NOT_MODIFIED) {
        discard();
        pending.client.responses.send(
            ClientProtocol.encodeNotModified(pending.tag, head.copyTag()));
        return;
      }
      bufferPool.copy(RespWriter.frameTrailer(), buffers);
      pending.client.responses.connection.write(buffers);
      releaseReservation();
    }

    /** Frees the buffers of a response that is not needed or was cut off. */
    void discard() {
      buffers.forEach(IoBuffer::free);
      buffers.clear();
      releaseReservation();
    }

    private void releaseReservation() {
      if (reservedFor != null) {
        reservedFor.setRoomReserved(false);
        reservedFor = null;
        reservedBytes -= remaining;
        eventLoop.execute(ResponseRelay.this::onCapacityAvailable);
      }
    }
  }

  /** Returns an empty response for a new attempt. */
  PendingResponse openResponse(PendingRequest pending) {
    return new PendingResponse(pending);
  }

  private long unsentBytes() {
    return clientWriters.stream().mapToLong(writer -> writer.connection.unsentBytes()).sum();
  }

  /** Pauses the cache's connection until the pool has room for its response. */
  private void applyBackpressure(Connection source) {
    source.pause();
    pausedConnections.add(source);
    bufferPool.reportShortage();
  }

  /** Resumes the paused connections, after the pool regained room or a reservation ended. */
  void onCapacityAvailable() {
    List<Connection> resumable = List.copyOf(pausedConnections);
    pausedConnections.clear();
    resumable.forEach(Connection::resume);
  }
}
