package tamarindroute.gateway;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.mina.core.buffer.IoBuffer;
import tamarindroute.host.EventLoop;
import tamarindroute.log.Log;
import tamarindroute.net.BufferPool;
import tamarindroute.net.CloseReason;
import tamarindroute.net.Connection;
import tamarindroute.net.ConnectionHandler;
import tamarindroute.protocol.ClientCommand;
import tamarindroute.protocol.ClientProtocol;
import tamarindroute.protocol.ClientStatus;
import tamarindroute.protocol.MalformedMessageException;
import tamarindroute.protocol.RespReader;

/**
 * First stage of the pipeline: reads one client's commands and keeps the requests open on its
 * connection by their tags. A frame that is not of the protocol ends the connection once the
 * requests open on it have their responses.
 */
final class ClientConnection implements ConnectionHandler {

  /**
   * From a connection's start to its first request's end, and from a request's first byte to its
   * last.
   */
  static final Duration FRAME_TIMEOUT = Duration.ofSeconds(2);

  /** Half of the 0.1 s after which no attempt may begin for a client that has gone. */
  private static final Duration ABANDONED_AFTER = Duration.ofMillis(50);

  /** A client sends its first request as soon as it is connected. */
  private static final Duration FIRST_REQUEST_GRACE = Duration.ofMillis(100);

  /** Calls with invalid fields after which the connection is closed. */
  private static final int MAX_INVALID_REQUESTS = 64;

  /**
   * A whole call.
   *
   * @param body the client's body, in the pool's buffers
   * @param overCapacity whether the pool had no room for the body, which is incomplete then
   */
  record ReceivedCall(
      ClientCommand.Call call, ArrayDeque<IoBuffer> body, int bodyLength, boolean overCapacity) {}

  final ResponseRelay.ClientWriter responses;

  private final AdmissionControl admission;
  private final BufferPool bufferPool;
  private final EventLoop eventLoop;
  private final Connection connection;
  private final Map<String, PendingRequest> pendingByTag = new HashMap<>();
  private final RespReader reader =
      new RespReader(
          ClientProtocol.CALL_ARGUMENTS,
          ClientProtocol.MAX_ARGUMENT_BYTES,
          ClientProtocol.MAX_BODY_BYTES);
  private ArrayDeque<IoBuffer> body = new ArrayDeque<>();
  private boolean overCapacity;
  private boolean inputFinished;
  private Duration lastUsedAt;
  private boolean hasSentRequest;
  private int invalidRequests;

  /** Cancels the timer of the frame being read; null where none is. */
  private Runnable cancelFrameTimer;

  private Runnable cancelAbandonTimer = () -> {};

  ClientConnection(
      AdmissionControl admission,
      ResponseRelay relay,
      BufferPool bufferPool,
      EventLoop eventLoop,
      Connection connection) {
    this.admission = admission;
    this.bufferPool = bufferPool;
    this.eventLoop = eventLoop;
    this.connection = connection;
    this.responses = relay.new ClientWriter(connection);
    this.lastUsedAt = eventLoop.now();
    startFrameTimer();
  }

  private void startFrameTimer() {
    cancelFrameTimer = eventLoop.schedule(FRAME_TIMEOUT, this::onFrameTimeout);
  }

  private void onFrameTimeout() {
    Log.info("client-timeout", hasSentRequest ? "a request was not completed" : "no request");
    stopReading();
  }

  /** Requests that are open are still answered; further input is discarded. */
  private void stopReading() {
    inputFinished = true;
    connection.discard();
    releaseBody();
    closeIfNothingPending();
  }

  /** Whether nobody is there to be served any more. */
  boolean isAbandoned() {
    return connection.isAbandoned();
  }

  /** When the bytes that are being read arrived. */
  Duration lastReceivedAt() {
    return connection.receivedAt();
  }

  /** A request that is coming in makes the connection the last to be evicted. */
  @Override
  public Duration idleSince() {
    if (!pendingByTag.isEmpty() || connection.unsentBytes() > 0) {
      return null;
    }
    if (!reader.betweenFrames() || connection.hasUnconsumedBytes()) {
      return eventLoop.now();
    }
    if (hasSentRequest) {
      return lastUsedAt;
    }
    // One that sent nothing when it could have is evicted before any that did.
    boolean inGrace = eventLoop.now().minus(lastUsedAt).compareTo(FIRST_REQUEST_GRACE) < 0;
    return inGrace ? eventLoop.now() : Duration.ZERO;
  }

  @Override
  public void onReceived(ByteBuffer bytes) {
    try {
      while (!inputFinished) {
        switch (reader.next(bytes)) {
          case NEED_MORE_BYTES -> {
            onInputConsumed();
            return;
          }
          case HEADER -> overCapacity = false;
          case BODY -> addToBody(reader.body());
          case END -> onFrameEnd();
        }
      }
    } catch (MalformedMessageException e) {
      // The other requests that are open here are sound and still get their responses.
      Log.info("client-protocol-error", e.getMessage());
      stopReading();
    }
    bytes.position(bytes.limit());
  }

  private void onInputConsumed() {
    if (cancelFrameTimer == null && !reader.betweenFrames()) {
      startFrameTimer();
    }
    if (admission.isDraining()) {
      closeIfNothingPending();
    }
  }

  private void addToBody(ByteBuffer part) {
    overCapacity |= !bufferPool.hasCapacity();
    if (!overCapacity) {
      bufferPool.copy(part, body);
    }
  }

  private void onFrameEnd() throws MalformedMessageException {
    hasSentRequest = true;
    lastUsedAt = connection.receivedAt();
    if (cancelFrameTimer != null) {
      cancelFrameTimer.run();
      cancelFrameTimer = null;
    }
    onCommand(ClientProtocol.decodeCommand(reader.arguments(), reader.hasBody()));
    // A body that came with another command must not stand ahead of the next call's.
    releaseBody();
  }

  private void releaseBody() {
    body.forEach(IoBuffer::free);
    body.clear();
  }

  private void onCommand(ClientCommand command) throws MalformedMessageException {
    if (command instanceof ClientCommand.Call call) {
      onCall(call);
    } else if (command instanceof ClientCommand.Cancel) {
      onCancel(command.tag());
    } else if (command instanceof ClientCommand.HealthCheck) {
      ClientStatus status = admission.isReady() ? ClientStatus.READY : ClientStatus.NOT_READY;
      responses.send(ClientProtocol.encodeResponse(command.tag(), status));
    }
  }

  private void onCall(ClientCommand.Call call) throws MalformedMessageException {
    if (pendingByTag.containsKey(call.tag())) {
      throw new MalformedMessageException(
          "tag", call.tag(), "one that is not open on the connection");
    }
    ReceivedCall received = new ReceivedCall(call, body, reader.bodyLength(), overCapacity);
    body = new ArrayDeque<>();
    boolean withinLimit = pendingByTag.size() < ClientProtocol.MAX_OPEN_REQUESTS;
    if (!admission.admit(this, received, withinLimit)) {
      countInvalidRequest();
    }
  }

  private void countInvalidRequest() throws MalformedMessageException {
    invalidRequests++;
    if (invalidRequests > MAX_INVALID_REQUESTS) {
      throw new MalformedMessageException(invalidRequests + " calls with invalid fields");
    }
  }

  private void onCancel(String tag) {
    PendingRequest pending = pendingByTag.get(tag);
    if (pending != null) {
      admission.onClientCancelled(pending);
    }
  }

  @Override
  public void onIdle() {
    closeIfNothingPending();
  }

  /**
   * The client has closed, or only sends no more. Attempts in flight may still be answered; no
   * further one is begun, and after a moment those that still wait for a connection to a cache are
   * dropped.
   */
  @Override
  public void onInputClosed() {
    inputFinished = true;
    pendingByTag.values().forEach(PendingRequest::stopAttempts);
    cancelAbandonTimer =
        eventLoop.schedule(
            ABANDONED_AFTER,
            () -> List.copyOf(pendingByTag.values()).forEach(admission::onClientDisconnected));
    closeIfNothingPending();
  }

  /** Bytes that have come already are handled first. */
  @Override
  public void onListenerClosed() {
    eventLoop.execute(this::closeIfNothingPending);
  }

  /** A request of this connection was admitted. */
  void onRequestStarted(PendingRequest pending) {
    pendingByTag.put(pending.tag, pending);
  }

  /** A request of this connection is finished. */
  void onRequestFinished(PendingRequest pending) {
    pendingByTag.remove(pending.tag, pending);
    lastUsedAt = eventLoop.now();
    if (inputFinished || admission.isDraining()) {
      closeIfNothingPending();
    }
  }

  private void closeIfNothingPending() {
    if (pendingByTag.isEmpty()) {
      inputFinished = true;
      connection.close(CloseReason.CLOSED_LOCALLY, true);
    }
  }

  @Override
  public void onClosed(CloseReason reason) {
    if (cancelFrameTimer != null) {
      cancelFrameTimer.run();
    }
    cancelAbandonTimer.run();
    releaseBody();
    List.copyOf(pendingByTag.values()).forEach(admission::onClientCancelled);
    responses.unregister();
  }
}
