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
import tamarindroute.protocol.MalformedMessageException;
import tamarindroute.protocol.RespReader;

/**
 * The first stage: owns one client's connection and the views open on it by their tags, and turns
 * its frames into calls. It must never let a frame in that is not of the protocol: that ends the
 * connection, and nothing else.
 */
final class ClientConnection implements ConnectionHandler {

  private static final int CALL_ARGUMENTS = 4;
  private static final int MAX_ARGUMENT_LENGTH = 4096;

  /**
   * A client that has left must get no attempt begun 0.1 s later; half of it is for this gateway's
   * own backlog.
   */
  private static final Duration ABANDONED_AFTER = Duration.ofMillis(50);

  /** A write brings 48,000 bytes at most. */
  private static final int MAX_BODY_LENGTH = 48 * 1024;

  /**
   * From a connection's start to its first request's end, and from a request's first byte to its
   * last.
   */
  static final Duration FRAME_TIMEOUT = Duration.ofMillis(2000);

  /**
   * A client sends its first request as soon as it is connected; this allows for a busy machine.
   */
  private static final Duration FIRST_REQUEST_GRACE = Duration.ofMillis(100);

  /** The views open on a connection at once, by the protocol. */
  private static final int MAX_OPEN_REQUESTS = 32;

  /**
   * After so many unusable calls on one connection it is no client's, but costs work that others
   * need.
   */
  private static final int MAX_INVALID_REQUESTS = 64;

  /** A whole call, its body in the pool's buffers; roomless where there was none for the body. */
  record ClientCall(
      String tag,
      String requestClass,
      String fields,
      ArrayDeque<IoBuffer> body,
      int bodyLength,
      boolean overCapacity) {}

  private final AdmissionControl admission;
  private final BufferPool bufferPool;
  private final EventLoop eventLoop;
  final ResponseRelay.ClientWriter responses;
  final Map<String, PendingRequest> pendingByTag = new HashMap<>();
  private final RespReader reader =
      new RespReader(CALL_ARGUMENTS, MAX_ARGUMENT_LENGTH, MAX_BODY_LENGTH);
  private ArrayDeque<IoBuffer> body = new ArrayDeque<>();
  private boolean overCapacity;
  private boolean inputFinished;

  /** When it was last of use; a client that has not asked yet is of use for a moment. */
  private Duration lastUsedAt;

  private boolean hasSentRequest;
  private int invalidRequests;
  private Runnable frameTimer;
  private Runnable abandonTimer = () -> {};

  ClientConnection(
      AdmissionControl admission,
      ResponseRelay relay,
      BufferPool bufferPool,
      EventLoop eventLoop,
      Connection connection) {
    this.admission = admission;
    this.bufferPool = bufferPool;
    this.eventLoop = eventLoop;
    this.responses = relay.new ClientWriter(connection);
    this.lastUsedAt = eventLoop.now();
    this.frameTimer = eventLoop.schedule(FRAME_TIMEOUT, this::onFrameTimeout);
  }

  /**
   * Silence, half a request or a body without end: the connection goes, once the views open on it
   * are over.
   */
  private void onFrameTimeout() {
    Log.info(
        "client-silent",
        hasSentRequest ? "a request that was not made whole" : "no request at all");
    stopReading();
  }

  /** What is open is still answered; what the client sends from now on is nobody's. */
  private void stopReading() {
    inputFinished = true;
    responses.connection.discard();
    releaseBody();
    closeIfNothingPending();
  }

  /**
   * A request that is coming in makes it the last to go: half of it would be lost with the
   * connection.
   */
  @Override
  public Duration idleSince() {
    if (!pendingByTag.isEmpty() || responses.connection.unsentBytes() > 0) {
      return null;
    }
    if (!reader.betweenFrames() || responses.connection.hasUnconsumedBytes()) {
      return eventLoop.now();
    }
    // One that said nothing when it could have goes before any that asked: whoever uses it is not
    // known.
    return hasSentRequest
        ? lastUsedAt
        : eventLoop.now().minus(lastUsedAt).compareTo(FIRST_REQUEST_GRACE) < 0
            ? eventLoop.now()
            : Duration.ZERO;
  }

  @Override
  public void onReceived(ByteBuffer bytes) {
    try {
      while (!inputFinished) {
        switch (reader.next(bytes)) {
          case NEED_MORE_BYTES -> {
            if (frameTimer == null && !reader.betweenFrames()) {
              frameTimer = eventLoop.schedule(FRAME_TIMEOUT, this::onFrameTimeout);
            }
            if (admission.draining()) {
              closeIfNothingPending();
            }
            return;
          }
          case HEADER -> overCapacity = false;
          case BODY -> {
            overCapacity |= !bufferPool.hasCapacity();
            if (!overCapacity) {
              Connection.copy(reader.body(), bufferPool, body);
            }
          }
          case END -> {
            hasSentRequest = true;
            lastUsedAt = responses.connection.receivedAt();
            if (frameTimer != null) {
              frameTimer.run();
              frameTimer = null;
            }
            handleFrame(reader.arguments());
            // What came with a command that has no use for it must not stand ahead of the next
            // call's.
            releaseBody();
          }
        }
      }
    } catch (MalformedMessageException e) {
      // The other requests that are open here are sound: closed at once, they would lose their
      // answers.
      Log.info("client-unreadable", e.getMessage());
      stopReading();
    }
    bytes.position(bytes.limit());
  }

  private void releaseBody() {
    body.forEach(IoBuffer::free);
    body.clear();
  }

  private void handleFrame(List<String> arguments) throws MalformedMessageException {
    if (arguments.size() < 2 || !isValidTag(arguments.get(1))) {
      throw new MalformedMessageException("a frame without a tag");
    }
    String tag = arguments.get(1);
    switch (arguments.get(0)) {
      case "RPC.CALL" -> {
        if (!reader.hasBody() || pendingByTag.containsKey(tag)) {
          throw new MalformedMessageException(
              "a call without its words, or with a tag that is open");
        }
        ClientCall call =
            new ClientCall(
                tag, arguments.get(2), arguments.get(3), body, reader.bodyLength(), overCapacity);
        body = new ArrayDeque<>();
        if (!admission.admit(this, call, pendingByTag.size() < MAX_OPEN_REQUESTS)
            && ++invalidRequests > MAX_INVALID_REQUESTS) {
          throw new MalformedMessageException(invalidRequests + " calls that could not be used");
        }
      }
      case "RPC.CANCEL" -> {
        PendingRequest pending = pendingByTag.get(tag);
        if (pending != null) {
          admission.onClientCancelled(pending);
        }
      }
      case "RPC.HEALTH" -> responses.send(tag, admission.ready() ? "GREEN" : "RED");
      default -> throw new MalformedMessageException("no such command");
    }
  }

  /** A decimal number from 1 up, of no more digits than a long has. */
  private static boolean isValidTag(String text) {
    return text.length() <= 18
        && !text.isEmpty()
        && text.charAt(0) != '0'
        && text.chars().allMatch(c -> c >= '0' && c <= '9');
  }

  @Override
  public void onIdle() {
    closeIfNothingPending();
  }

  /**
   * A client that closed, or one that sends no more but reads. What is out may still be answered;
   * no attempt more is begun for it, and after a moment none goes out that waits for its connection
   * to come up.
   */
  @Override
  public void onInputClosed() {
    inputFinished = true;
    pendingByTag.values().forEach(pending -> pending.noFurtherAttempts = true);
    abandonTimer =
        eventLoop.schedule(
            ABANDONED_AFTER,
            () -> List.copyOf(pendingByTag.values()).forEach(admission::onClientDisconnected));
    closeIfNothingPending();
  }

  /** What has come already, and waits to be used, is answered first. */
  @Override
  public void onListenerClosed() {
    eventLoop.execute(this::closeIfNothingPending);
  }

  /** A view of this connection is over. */
  void onRequestFinished(PendingRequest pending) {
    pendingByTag.remove(pending.tag, pending);
    lastUsedAt = eventLoop.now();
    if (inputFinished || admission.draining()) {
      closeIfNothingPending();
    }
  }

  private void closeIfNothingPending() {
    if (pendingByTag.isEmpty()) {
      inputFinished = true;
      responses.connection.close(CloseReason.CLOSED_LOCALLY, true);
    }
  }

  @Override
  public void onClosed(CloseReason closeReason) {
    if (frameTimer != null) {
      frameTimer.run();
    }
    abandonTimer.run();
    releaseBody();
    List.copyOf(pendingByTag.values()).forEach(admission::onClientCancelled);
    responses.unregister();
  }
}
