package tamarindroute.net;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.mina.core.buffer.IoBuffer;
import tamarindroute.log.Log;
import tamarindroute.protocol.CacheProtocol;
import tamarindroute.protocol.MalformedMessageException;
import tamarindroute.protocol.RespWriter;

/**
 * One connection to a cache, on which requests are multiplexed: responses may come in any order,
 * each as one frame. Requests wait here until the connection is established.
 */
final class CacheConnection implements ConnectionHandler {

  private final CacheConnectionPool pool;
  private final SocketTransport transport;
  private final Scheduler scheduler;
  private final CacheConnectionPool.Limits limits;
  private final Map<String, PendingRequest> pendingRequests = new LinkedHashMap<>();
  private final SettledRequestIds settledIds;
  private final CacheResponseReader responseReader;
  private Connection connection;
  private boolean established;
  private Runnable connectTimer;
  private Duration lastUsedAt;

  /** Whether a request was cancelled here and nothing was received since it was written. */
  private boolean unresponsive;

  /** Whether the request that was cancelled last had not been sent by then. */
  private boolean lastCancelledUnsent;

  CacheConnection(
      CacheConnectionPool pool,
      SocketTransport transport,
      Scheduler scheduler,
      DuplicateResponseDetector duplicates) {
    this.pool = pool;
    this.transport = transport;
    this.scheduler = scheduler;
    this.limits = pool.limits();
    this.settledIds = new SettledRequestIds(duplicates);
    this.responseReader =
        new CacheResponseReader(
            pendingRequests,
            settledIds,
            scheduler,
            limits.connectTimeout(),
            pool.cacheId(),
            this::onResponseEnd);
    this.lastUsedAt = scheduler.now();
  }

  /** Starts to establish the connection. */
  void connect() {
    connection = transport.connect(pool.address(), this);
    connectTimer = scheduler.schedule(limits.connectTimeout(), this::onConnectTimeout);
  }

  private void onConnectTimeout() {
    if (!established) {
      connection.close(CloseReason.TIMED_OUT, false);
    }
  }

  /** The number of requests that wait to be written or for their responses. */
  int pendingCount() {
    return pendingRequests.size();
  }

  /** Whether a request of this id can be sent here. */
  boolean accepts(String id) {
    return !unresponsive && !pendingRequests.containsKey(id) && !settledIds.contains(id);
  }

  /**
   * Closes the connection if the cache may do so any moment, since a request must not cross that;
   * whether it did.
   */
  boolean closeIfIdleTooLong() {
    if (!pendingRequests.isEmpty() || !isIdleTooLong()) {
      return false;
    }
    connection.close(CloseReason.CLOSED_LOCALLY, true);
    return true;
  }

  /**
   * A cache closes a connection after the idle timeout; this one counts as idle after four fifths
   * of that.
   */
  private boolean isIdleTooLong() {
    Duration idleTime = scheduler.now().minus(lastUsedAt);
    return established
        && !limits.idleTimeout().isZero()
        && idleTime.compareTo(limits.idleTimeout().multipliedBy(4).dividedBy(5)) > 0;
  }

  /** Sends a request, once the connection is established. */
  void send(String id, PendingRequest request) {
    pendingRequests.put(id, request);
    if (established) {
      write(id, request);
    }
  }

  private void write(String id, PendingRequest request) {
    lastUsedAt = scheduler.now();
    if (request.isHealthCheck()) {
      connection.write(CacheProtocol.encodeHealthCheck(id));
    } else {
      connection.write(requestFrame(id, request));
    }
    request.onWritten(connection.bytesWritten(), lastUsedAt, responseReader.readCount());
  }

  private ArrayDeque<IoBuffer> requestFrame(String id, PendingRequest request) {
    ArrayDeque<IoBuffer> frame = new ArrayDeque<>();
    ByteBuffer header =
        CacheProtocol.encodeRequestHeader(id, request.fields().get(), request.bodyLength());
    int bytesToFollow = request.bodyLength() + RespWriter.FRAME_TRAILER_BYTES;
    transport.bufferPool().copy(header, frame, bytesToFollow);
    for (IoBuffer part : request.body()) {
      bytesToFollow -= part.remaining();
      transport.bufferPool().copy(part.buf().duplicate(), frame, bytesToFollow);
    }
    transport.bufferPool().copy(RespWriter.frameTrailer(), frame);
    return frame;
  }

  /**
   * Cancels the request of this id and handler, unless it is over; its handler is not called any
   * more.
   */
  void cancel(String id, ResponseHandler handler) {
    PendingRequest request = pendingRequests.get(id);
    if (request == null || request.handler != handler) {
      return;
    }
    pendingRequests.remove(id);
    if (established && request.isWritten()) {
      cancelWritten(id, request);
    }
    responseReader.onCancelled(request);
    closeIfUnneeded();
  }

  private void cancelWritten(String id, PendingRequest request) {
    lastCancelledUnsent = !request.isSent(connection);
    if (!request.isHealthCheck()) {
      connection.write(CacheProtocol.encodeCancel(id));
    }
    // A machine that vanished leaves its connections open and silent. The next request then takes a
    // new one, which is established only if the machine is there.
    unresponsive |= request.isNewerThan(responseReader.lastReceivedAt());
    settledIds.addCancelled(id);
  }

  /** An idle connection may be closed for the sake of one to another cache. */
  @Override
  public Duration idleSince() {
    return established && pendingRequests.isEmpty() ? lastUsedAt : null;
  }

  /**
   * The cache is gone: closes the connection when its last request ends, at once if it is not
   * established.
   */
  void shutDown() {
    if (established) {
      closeIfUnneeded();
    } else {
      connection.close(CloseReason.CLOSED_LOCALLY, false);
    }
  }

  private void closeIfUnneeded() {
    if ((pool.isShutDown() || unresponsive) && pendingRequests.isEmpty()) {
      // What was cancelled but not sent must not be sent either, or the cache would execute it much
      // later.
      boolean flush = !(unresponsive && lastCancelledUnsent);
      connection.close(CloseReason.CLOSED_LOCALLY, flush);
    }
  }

  @Override
  public void onOpened() {
    established = true;
    connectTimer.run();
    lastUsedAt = scheduler.now();
    for (Map.Entry<String, PendingRequest> waiting : List.copyOf(pendingRequests.entrySet())) {
      writeWaiting(waiting.getKey(), waiting.getValue());
    }
    closeIfUnneeded();
  }

  private void writeWaiting(String id, PendingRequest request) {
    if (pendingRequests.get(id) != request) {
      // The failure of a request before this one has cancelled it.
      return;
    }
    if (request.handler.isStillWanted()) {
      write(id, request);
    } else {
      pendingRequests.remove(id);
      request.handler.onFailure(CloseReason.NO_LONGER_WANTED, false);
    }
  }

  @Override
  public void onReceived(ByteBuffer bytes) {
    unresponsive = false;
    try {
      responseReader.read(bytes, connection);
    } catch (MalformedMessageException e) {
      Log.info("cache-protocol-error", pool.cacheId() + ": " + e.getMessage());
      connection.close(CloseReason.PROTOCOL_ERROR, false);
    }
  }

  private void onResponseEnd(String id, PendingRequest request) {
    lastUsedAt = scheduler.now();
    if (request != null) {
      pendingRequests.remove(id);
      settledIds.addAnswered(id);
      request.handler.onComplete();
      closeIfUnneeded();
    }
  }

  @Override
  public void onClosed(CloseReason closeReason) {
    pool.remove(this);
    connectTimer.run();
    responseReader.stop();
    List<PendingRequest> failed = List.copyOf(pendingRequests.values());
    pendingRequests.clear();
    if (!failed.isEmpty()) {
      logLost(closeReason, failed.size());
    }
    for (PendingRequest request : failed) {
      request.handler.onFailure(closeReason, mayBeSent(request, closeReason));
    }
  }

  private void logLost(CloseReason closeReason, int failedCount) {
    String when = established ? "" : " before it was established";
    Log.info(
        "cache-lost",
        pool.cacheId() + " " + closeReason + when + ", " + failedCount + " requests pending");
  }

  /**
   * After a local close MINA may still be sending the request, so it counts as sent once it was
   * written.
   */
  private boolean mayBeSent(PendingRequest request, CloseReason closeReason) {
    return request.isWritten() && (closeReason.isLocal() || request.isSent(connection));
  }
}
