package tamarindroute.net;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.apache.mina.core.buffer.IoBuffer;
import tamarindroute.log.Log;
import tamarindroute.protocol.FieldList;
import tamarindroute.protocol.MalformedMessageException;
import tamarindroute.protocol.RespReader;
import tamarindroute.protocol.RespWriter;

/**
 * Owns the few connections to one cache, parent or origin, and the requests open on each. It must
 * never send a request twice, nor judge the cache: every end of a connection is told to those who
 * wait, and that is all.
 */
public final class CacheConnectionPool {

  /** Words before the body of an answer, and bounds on both; a body is 240,000 bytes at most. */
  private static final int RESPONSE_HEAD_ELEMENTS = 3;

  private static final int MAX_ELEMENT_BYTES = 4096;
  private static final int MAX_BODY_BYTES = 256 * 1024;

  /** No word of the protocol's, and so an error after which it may have run. */
  private static final String MALFORMED_STATUS = "";

  /**
   * A connection that carries fewer takes the next request too: a handshake costs the cache work
   * and its table of connections a place, and the request one to three ways there and back; the
   * settings let one carry many. No more, for a connection that breaks costs all that is open on
   * it.
   */
  private static final int BUSY_CONNECTION_REQUESTS = 4;

  /** Far more than a connection has given up in the time in which one view can be sent again. */
  private static final int MAX_CANCELLED_IDS = 500;

  /**
   * So many frames in a row that nobody waits for are noise, not late answers, and come for ever.
   */
  private static final int MAX_UNSOLICITED_RESPONSES = MAX_CANCELLED_IDS + 100;

  /**
   * Whoever has answered twice is not trusted for so many answers more: spoilt caches do it to some
   * in a hundred.
   */
  private static final int DUPLICATE_SUSPICION_RESPONSES = 200;

  /** Of those ids so many are remembered: one is asked again at once, or not for long. */
  private static final int MAX_ANSWERED_IDS = 64;

  /**
   * An answer that comes at all comes within the longest deadline, which the protocol bounds by
   * this.
   */
  private static final Duration MAX_RESPONSE_TIME = Duration.ofSeconds(3);

  /** An answer that rests for this gateway's own sake is looked at again after this. */
  private static final Duration RECHECK_INTERVAL = Duration.ofMillis(20);

  /**
   * What the machine allows: connections to a cache, requests on one, time to come up, idle time.
   */
  public record Limits(
      int maxConnections,
      int maxRequestsPerConnection,
      Duration connectTimeout,
      Duration idleTimeout) {}

  private final SocketTransport transport;
  private final Scheduler scheduler;
  private final InetSocketAddress address;
  private final String cacheId;
  private final Limits limits;
  private final List<CacheConnection> connections = new ArrayList<>();
  private boolean shutDown;

  /**
   * How many answers more it is taken to answer twice; 0 for a cache that has not done so lately.
   */
  private int duplicateSuspicion;

  public CacheConnectionPool(
      SocketTransport transport,
      Scheduler scheduler,
      String cacheId,
      InetSocketAddress address,
      Limits limits) {
    this.transport = transport;
    this.scheduler = scheduler;
    this.cacheId = cacheId;
    this.address = address;
    this.limits = limits;
  }

  public InetSocketAddress address() {
    return address;
  }

  public boolean isShutDown() {
    return shutDown;
  }

  /**
   * Sends a request, with its fields as they are when it is written; what is returned gives it up,
   * unless over.
   */
  public Runnable send(
      String id,
      Supplier<String> fields,
      Iterable<IoBuffer> body,
      int length,
      ResponseHandler handler) {
    CacheConnection connection = selectConnection(id);
    connection.send(id, new PendingRequest(handler, fields, body, length));
    return () -> connection.cancel(id, handler);
  }

  /** Asks the cache how it is; an answer's word is READY or AILING, its fields hold the report. */
  public Runnable sendHealthCheck(String id, ResponseHandler handler) {
    CacheConnection connection = selectConnection(id);
    connection.send(id, new PendingRequest(handler, null, List.of(), 0));
    return () -> connection.cancel(id, handler);
  }

  /**
   * The cache is gone: connections are closed as their last request ends, and those that are coming
   * up at once, for whoever has the address by now is another.
   */
  public void shutDown() {
    shutDown = true;
    List.copyOf(connections)
        .forEach(
            connection -> {
              if (connection.connected) {
                connection.closeIfUnneeded();
              } else {
                connection.connection.close(CloseReason.CLOSED_LOCALLY, false);
              }
            });
  }

  /**
   * The least busy connection, or a new one while there are few and all carry several requests.
   * Where no descriptor is left for another, a busy one carries the request too.
   */
  private CacheConnection selectConnection(String id) {
    CacheConnection best = null;
    for (CacheConnection connection : List.copyOf(connections)) {
      if (connection.pendingRequests.isEmpty() && connection.isIdleTooLong()) {
        connection.connection.close(CloseReason.CLOSED_LOCALLY, true);
      } else if (!connection.unresponsive
          && !connection.hasUsed(id)
          && (best == null || connection.pendingRequests.size() < best.pendingRequests.size())) {
        best = connection;
      }
    }
    if (best == null
        || best.pendingRequests.size() >= limits.maxRequestsPerConnection()
        || best.pendingRequests.size() >= BUSY_CONNECTION_REQUESTS
            && connections.size() < limits.maxConnections()
            && transport.canConnect()) {
      best = new CacheConnection();
      connections.add(best);
      best.connect();
    }
    return best;
  }

  private static final class PendingRequest {
    final ResponseHandler handler;
    final boolean healthCheck;
    Supplier<String> fields;
    Iterable<IoBuffer> body;
    final int bodyLength;
    long endOffset = Long.MAX_VALUE;
    Duration writtenAt;

    /** The read that was the last to be looked at when it was written. */
    long writtenInRead;

    PendingRequest(
        ResponseHandler handler, Supplier<String> fields, Iterable<IoBuffer> body, int bodyLength) {
      this.handler = handler;
      this.healthCheck = fields == null;
      this.fields = fields;
      this.body = body;
      this.bodyLength = bodyLength;
    }
  }

  /** One connection. */
  private final class CacheConnection implements ConnectionHandler {

    private Connection connection;
    private boolean connected;
    private Runnable connectTimer;
    private Duration lastUsedAt = scheduler.now();
    private Duration lastReceivedAt = Duration.ZERO;

    /** A request was given up here and nothing at all has come since it was written. */
    private boolean unresponsive;

    /** What was given up here last had not left by then. */
    private boolean lastCancelledUnsent;

    private final Map<String, PendingRequest> pendingRequests = new LinkedHashMap<>();

    /**
     * Given up here; a late answer must not be taken for that of a later request of the same id.
     */
    private final Set<String> cancel = new LinkedHashSet<>();

    /** Answered here by a cache that answers twice; empty for any other. */
    private final Set<String> answeredIds = new LinkedHashSet<>();

    private final RespReader reader =
        new RespReader(RESPONSE_HEAD_ELEMENTS, MAX_ELEMENT_BYTES, MAX_BODY_BYTES);
    private Runnable stallTimer;
    private PendingRequest currentRequest;
    private String currentId;

    /** The reads looked at so far, and in which of them the answer under way began. */
    private long readCount;

    private long responseStartedInRead;

    /** Since when nobody waits for the answer under way, as far as it is known whose it is. */
    private Duration unwantedSince;

    private int unsolicitedResponses;

    void connect() {
      connection = transport.connect(address, this);
      connectTimer =
          scheduler.schedule(
              limits.connectTimeout(),
              () -> {
                if (!connected) {
                  connection.close(CloseReason.TIMED_OUT, false);
                }
              });
    }

    /** A cache closes what is idle for the time of the settings; a request must not cross that. */
    boolean isIdleTooLong() {
      return connected
          && !limits.idleTimeout().isZero()
          && scheduler
                  .now()
                  .minus(lastUsedAt)
                  .compareTo(limits.idleTimeout().multipliedBy(4).dividedBy(5))
              > 0;
    }

    boolean hasUsed(String id) {
      return pendingRequests.containsKey(id) || cancel.contains(id) || answeredIds.contains(id);
    }

    void send(String id, PendingRequest request) {
      pendingRequests.put(id, request);
      if (connected) {
        write(id, request);
      }
    }

    private void write(String id, PendingRequest request) {
      lastUsedAt = scheduler.now();
      request.writtenAt = lastUsedAt;
      request.writtenInRead = readCount;
      if (request.healthCheck) {
        connection.write(RespWriter.frame("INFO", id));
        request.endOffset = connection.bytesWritten();
        return;
      }
      ArrayDeque<IoBuffer> frame = new ArrayDeque<>();
      Connection.copy(
          RespWriter.frameHeader(request.bodyLength, "ASK", id, request.fields.get()),
          transport.bufferPool(),
          frame);
      for (IoBuffer part : request.body) {
        Connection.copy(part.buf().duplicate(), transport.bufferPool(), frame);
      }
      Connection.copy(RespWriter.frameTrailer(), transport.bufferPool(), frame);
      connection.write(frame);
      request.endOffset = connection.bytesWritten();
      request.fields = null;
      request.body = null;
    }

    void cancel(String id, ResponseHandler handler) {
      PendingRequest request = pendingRequests.get(id);
      if (request == null || request.handler != handler) {
        return;
      }
      pendingRequests.remove(id);
      if (connected && request.endOffset != Long.MAX_VALUE) {
        lastCancelledUnsent = !connection.isSent(request.endOffset);
        if (!request.healthCheck) {
          connection.write(RespWriter.frame("QUIT", id));
        }
        // A machine that vanished leaves its connections open and silent, for good: the next
        // request
        // takes a new one, which comes up only if the machine is there.
        unresponsive |= lastReceivedAt.compareTo(request.writtenAt) < 0;
        cancel.add(id);
        if (cancel.size() > MAX_CANCELLED_IDS) {
          cancel.remove(cancel.iterator().next());
        }
      }
      if (request == currentRequest) {
        currentRequest = null;
        unwantedSince = scheduler.now();
        connection.resume();
      }
      closeIfUnneeded();
    }

    /**
     * Descriptors may be scarce and caches many: what carries nothing gives way to another cache's.
     */
    @Override
    public Duration idleSince() {
      return connected && pendingRequests.isEmpty() ? lastUsedAt : null;
    }

    /**
     * What was given up and could not leave a mute connection stays here, or it would run long
     * after.
     */
    void closeIfUnneeded() {
      if ((shutDown || unresponsive) && pendingRequests.isEmpty()) {
        connection.close(CloseReason.CLOSED_LOCALLY, !(unresponsive && lastCancelledUnsent));
      }
    }

    @Override
    public void onOpened() {
      connected = true;
      connectTimer.run();
      lastUsedAt = scheduler.now();
      for (Map.Entry<String, PendingRequest> waiting : List.copyOf(pendingRequests.entrySet())) {
        PendingRequest request = waiting.getValue();
        // The end of one that waited here may have been the end of another, too.
        if (pendingRequests.get(waiting.getKey()) != request) {
          continue;
        }
        if (request.handler.isStillWanted()) {
          write(waiting.getKey(), request);
        } else {
          pendingRequests.remove(waiting.getKey());
          request.handler.onFailure(CloseReason.NO_LONGER_WANTED, false);
        }
      }
      closeIfUnneeded();
    }

    @Override
    public void onReceived(ByteBuffer bytes) {
      lastReceivedAt = connection.receivedAt();
      unresponsive = false;
      readCount++;
      try {
        while (!connection.paused()) {
          if (reader.betweenFrames()) {
            responseStartedInRead = readCount;
            unwantedSince = lastReceivedAt;
          }
          switch (reader.next(bytes)) {
            case NEED_MORE_BYTES -> {
              if (stallTimer == null && !reader.betweenFrames()) {
                stallTimer = scheduler.schedule(limits.connectTimeout(), this::checkStall);
              }
              return;
            }
            case HEADER -> onResponseHead();
            case BODY -> {
              if (currentRequest != null) {
                currentRequest.handler.onBody(reader.body(), connection);
              }
            }
            case END -> onResponseEnd();
          }
        }
      } catch (MalformedMessageException e) {
        Log.info("cache-unreadable", cacheId + ": " + e.getMessage());
        connection.close(CloseReason.PROTOCOL_ERROR, false);
      }
    }

    /**
     * An answer that stopped short keeps all behind it from coming, so its connection is of no
     * further use. A cache that is there goes on within the time in which one that is there lets a
     * connection come up; and what nobody waits for any more must not go on for ever.
     */
    private void checkStall() {
      stallTimer = null;
      if (reader.betweenFrames()) {
        return;
      }
      Duration remaining = limits.connectTimeout().minus(scheduler.now().minus(lastReceivedAt));
      if (unwantedSince != null) {
        Duration whole = MAX_RESPONSE_TIME.minus(scheduler.now().minus(unwantedSince));
        remaining = whole.compareTo(remaining) < 0 ? whole : remaining;
      }
      if (connection.paused()
          || connection.hasUnconsumedBytes()
          || remaining.compareTo(Duration.ZERO) > 0) {
        stallTimer =
            scheduler.schedule(
                remaining.compareTo(RECHECK_INTERVAL) > 0 ? remaining : RECHECK_INTERVAL,
                this::checkStall);
      } else {
        connection.close(CloseReason.STALLED, false);
      }
    }

    /**
     * An answer whose words make no sense is spoilt, and costs its own trip alone: the frames are
     * sound.
     */
    private void onResponseHead() throws MalformedMessageException {
      List<String> head = reader.arguments();
      currentId = head.get(0);
      currentRequest = pendingRequests.get(currentId);
      if (currentRequest != null && responseStartedInRead <= currentRequest.writtenInRead) {
        // It was read before this was written: the last leg's answer, a second time. Taken for this
        // one's it
        // would prove that nothing ran.
        currentRequest = null;
      }
      if (currentRequest == null) {
        unsolicitedResponses();
        return;
      }
      unsolicitedResponses = 0;
      unwantedSince = null;
      String status = head.size() > 1 ? head.get(1) : MALFORMED_STATUS;
      FieldList fields = new FieldList();
      try {
        fields = FieldList.parse(head.size() > 2 ? head.get(2) : "");
      } catch (MalformedMessageException e) {
        Log.info("cache-unreadable", cacheId + ": " + e.getMessage());
        status = MALFORMED_STATUS;
      }
      currentRequest.handler.onResponse(status, fields, reader.bodyLength());
    }

    /**
     * A late answer to what was given up, or a second one; a cache that has once told twice may
     * again.
     */
    private void unsolicitedResponses() throws MalformedMessageException {
      if (!cancel.contains(currentId)) {
        duplicateSuspicion = DUPLICATE_SUSPICION_RESPONSES;
      }
      if (++unsolicitedResponses > MAX_UNSOLICITED_RESPONSES) {
        throw new MalformedMessageException("nothing but answers that nobody asked for");
      }
    }

    /**
     * The next leg of a request takes another connection, where the answer to this one may come
     * again.
     */
    private void rememberAnswered(String id) {
      if (duplicateSuspicion == 0) {
        answeredIds.clear();
        return;
      }
      duplicateSuspicion--;
      answeredIds.add(id);
      if (answeredIds.size() > MAX_ANSWERED_IDS) {
        answeredIds.remove(answeredIds.iterator().next());
      }
    }

    private void onResponseEnd() {
      PendingRequest request = currentRequest;
      currentRequest = null;
      lastUsedAt = scheduler.now();
      if (request != null) {
        pendingRequests.remove(currentId);
        rememberAnswered(currentId);
        request.handler.onComplete();
        closeIfUnneeded();
      }
    }

    @Override
    public void onClosed(CloseReason closeReason) {
      connections.remove(this);
      connectTimer.run();
      if (stallTimer != null) {
        stallTimer.run();
      }
      List<PendingRequest> all = List.copyOf(pendingRequests.values());
      if (!all.isEmpty()) {
        Log.info(
            "cache-lost",
            cacheId
                + " "
                + closeReason
                + (connected ? "" : " before it was up")
                + ", "
                + all.size()
                + " requests open");
      }
      pendingRequests.clear();
      currentRequest = null;
      for (PendingRequest request : all) {
        boolean given = request.endOffset != Long.MAX_VALUE;
        request.handler.onFailure(
            closeReason, given && (closeReason.isLocal() || connection.isSent(request.endOffset)));
      }
    }
  }
}
