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
 * First stage of the pipeline: reads one client's commands and maps tags to the requests that are
 * open on its connection. After a malformed frame the connection is closed as soon as its open
 * requests have their responses.
 */
final class ClientConnection implements ConnectionHandler {

  /**
   * Time from the end of a client's input until its unsent attempts are dropped. No attempt may
   * begin 0.1 s after a client has gone; the other half allows for a backlog of this gateway.
   */
  private static final Duration ABANDONED_AFTER = Duration.ofMillis(50);

  /** A client sends its first request once connected. The grace allows for a busy machine. */
  private static final Duration FIRST_REQUEST_GRACE = Duration.ofMillis(100);

  /**
   * A completely received call.
   *
   * @param body the client's body, in the pool's buffers
   * @param overCapacity whether the buffer pool had no room for the body, which is then incomplete
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
  private final CallViolations violations = new CallViolations();

  private final FrameTimeout frameTimeout;
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
    admission.onClientOpened();
    // The rest of a frame may have arrived in time and wait to be read, so it is asked for.
    frameTimeout = new FrameTimeout(eventLoop, this::closeIfNothingPending);
    frameTimeout.start();
  }

  private void logFrameTimeout() {
    Log.info(
        "client-timeout",
        hasSentRequest
            ? "the last bytes of a request did not arrive in time; closing the connection"
            : "no complete request arrived after connecting; closing the connection");
  }

  /** Discards further input and closes the connection once its open requests are answered. */
  private void stopReading() {
    inputFinished = true;
    connection.discard();
    releaseBody();
    closeIfNothingPending();
  }

  int openRequests() {
    return pendingByTag.size();
  }

  /** Whether the connection has ended or its input was closed a while ago. */
  boolean isAbandoned() {
    return connection.isAbandoned();
  }

  /** Returns the time at which the bytes being read arrived. */
  Duration lastReceivedAt() {
    return connection.receivedAt();
  }

  /**
   * Returns now while a request is being received, so that the connection is evicted last: eviction
   * would lose the part received so far. Input that was not handled yet is the connection's to
   * know.
   */
  @Override
  public Duration idleSince() {
    if (!pendingByTag.isEmpty() || connection.unsentBytes() > 0) {
      return null;
    }
    if (!reader.betweenFrames()) {
      return eventLoop.now();
    }
    if (hasSentRequest) {
      return lastUsedAt;
    }
    // A connection without a request after the grace time is evicted before any that sent one.
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
      // Closing at once would lose the responses of the other open requests, which are valid.
      Log.info(
          "client-protocol-error",
          "closing the connection after its open requests: " + e.getMessage());
      stopReading();
    }
    bytes.position(bytes.limit());
  }

  private void onInputConsumed() {
    if (!reader.betweenFrames()) {
      frameTimeout.start();
    }
    if (frameTimeout.isHopeless(connection.receivedAt())) {
      logFrameTimeout();
      stopReading();
    } else if (admission.isDraining() || frameTimeout.isOverdue()) {
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
    frameTimeout.stop();
    onCommand(ClientProtocol.decodeCommand(reader.arguments(), reader.hasBody()));
    // The body of a command that is not a call must not be prepended to the next call's body.
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
          "call tag", call.tag(), "a tag that no open request of the connection has");
    }
    ReceivedCall received = new ReceivedCall(call, body, reader.bodyLength(), overCapacity);
    body = new ArrayDeque<>();
    boolean withinLimit = pendingByTag.size() < ClientProtocol.MAX_OPEN_REQUESTS;
    boolean valid = admission.admit(this, received, withinLimit);
    violations.onCall(valid, withinLimit);
  }

  private void onCancel(String tag) {
    PendingRequest pending = pendingByTag.get(tag);
    if (pending != null) {
      admission.onClientCancelled(pending);
    }
  }

  @Override
  public void onIdle() {
    if (pendingByTag.isEmpty() && connection.unsentBytes() > 0) {
      // A client that has taken nothing for so long will not.
      connection.close(CloseReason.CLOSED_LOCALLY, true);
    } else {
      closeIfNothingPending();
    }
  }

  /**
   * Handles a client that closed the connection or only its sending side. Attempts in flight may
   * still be answered, but no further attempt begins. Attempts that still wait for a connection to
   * a cache are dropped after {@link #ABANDONED_AFTER}.
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

  /** Closes the connection if it is idle, after the bytes received so far are handled. */
  @Override
  public void onListenerClosed() {
    eventLoop.execute(this::closeIfNothingPending);
  }

  /** Records an admitted request as open on this connection. */
  void onRequestStarted(PendingRequest pending) {
    pendingByTag.put(pending.tag, pending);
  }

  /** Removes a finished request from this connection. */
  void onRequestFinished(PendingRequest pending) {
    pendingByTag.remove(pending.tag, pending);
    lastUsedAt = eventLoop.now();
    if (inputFinished || admission.isDraining() || frameTimeout.isOverdue()) {
      closeIfNothingPending();
    }
  }

  /** A request that is not read yet is pending, too, unless the input has ended. */
  private void closeIfNothingPending() {
    if (!pendingByTag.isEmpty()) {
      return;
    }
    if (inputFinished) {
      connection.close(CloseReason.CLOSED_LOCALLY, true);
    } else {
      connection.closeIfUnused();
    }
  }

  @Override
  public void onClosed(CloseReason reason) {
    if (frameTimeout.isOverdue() && !inputFinished) {
      logFrameTimeout();
    }
    frameTimeout.stop();
    cancelAbandonTimer.run();
    releaseBody();
    List.copyOf(pendingByTag.values()).forEach(admission::onClientCancelled);
    responses.unregister();
    admission.onClientClosed();
  }
}
