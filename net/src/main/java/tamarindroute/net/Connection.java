package tamarindroute.net;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayDeque;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.session.IoSession;
import tamarindroute.log.Log;

/**
 * One TCP connection. Confined to the event loop, except for the methods marked as called on MINA's
 * thread and the volatile fields that these share.
 */
public final class Connection {

  /** The session attribute that holds the connection. */
  private static final String SESSION_ATTRIBUTE = "connection";

  private final SocketTransport transport;
  private final boolean fromClient;
  private final InboundQueue inbound;
  private final OutboundBytes outbound = new OutboundBytes();
  private final RemoteSide remoteSide = new RemoteSide();
  private final InputDiscarder inputDiscarder = new InputDiscarder();
  private final CloseRequest closeRequest;
  private final SessionCloser closer;
  ConnectionHandler handler = DiscardingHandler.INSTANCE;
  private volatile IoSession session;
  private boolean finished;
  private CloseReason pendingCloseReason;

  /**
   * Creates a connection that is not established yet.
   *
   * @param transport that the connection belongs to
   * @param fromClient whether a client opened it
   */
  Connection(SocketTransport transport, boolean fromClient) {
    this.transport = transport;
    this.fromClient = fromClient;
    this.closeRequest = new CloseRequest(this, transport);
    this.closer = new SessionCloser(this, transport);
    this.inbound = new InboundQueue(this, transport.bufferPool());
  }

  /** The connection of a session. */
  static Connection of(IoSession session) {
    return (Connection) session.getAttribute(SESSION_ATTRIBUTE);
  }

  /** Makes this the connection of the session. */
  void attachTo(IoSession target) {
    target.setAttribute(SESSION_ATTRIBUTE, this);
  }

  IoSession session() {
    return session;
  }

  /** Writes bytes that the caller does not change any more. */
  public void write(byte[] bytes) {
    write(IoBuffer.wrap(bytes));
  }

  /**
   * Writes the buffers in their order and removes them from the queue; they are freed once they
   * were sent.
   */
  public void write(ArrayDeque<IoBuffer> buffers) {
    for (IoBuffer next = buffers.poll(); next != null; next = buffers.poll()) {
      write(next);
    }
  }

  private void write(IoBuffer buffer) {
    if (finished || session == null) {
      buffer.free();
      return;
    }
    outbound.write(buffer, session);
  }

  /**
   * The other side's address; null before the connection is established, and if the other side is
   * already gone.
   */
  public InetSocketAddress remoteAddress() {
    return session == null ? null : (InetSocketAddress) session.getRemoteAddress();
  }

  /**
   * When the bytes that the handler is being given were received, by the scheduler's clock: from a
   * client when they arrived, however long they waited to be read, or a little earlier; from others
   * when they were read.
   */
  public Duration receivedAt() {
    return inbound.receivedAt();
  }

  /**
   * The number of bytes written so far: the offset at which the last write ends, for {@link
   * #isSent}.
   */
  public long bytesWritten() {
    return outbound.written();
  }

  /** Whether all bytes before this offset were passed to the operating system. */
  public boolean isSent(long endOffset) {
    return outbound.isSent(endOffset);
  }

  OutboundBytes outbound() {
    return outbound;
  }

  InboundQueue inbound() {
    return inbound;
  }

  InputDiscarder inputDiscarder() {
    return inputDiscarder;
  }

  /** The number of bytes written but not passed to the operating system yet. */
  public long unsentBytes() {
    return outbound.unsent();
  }

  /** Whether bytes were received that the handler was not given yet. */
  public boolean hasUnconsumedBytes() {
    return inbound.hasUnconsumedReads();
  }

  /** Tells whether room is reserved for what comes next: it is read even if the pool is full. */
  public void setRoomReserved(boolean reserved) {
    inbound.setRoomReserved(reserved);
  }

  /** Whether a client opened the connection. */
  boolean isFromClient() {
    return fromClient;
  }

  /** Whether the handler is given no bytes for now. */
  public boolean paused() {
    return inbound.paused();
  }

  /** Gives the handler no further bytes until {@link #resume}. */
  public void pause() {
    if (!finished) {
      inbound.pause(session);
    }
  }

  /** Gives the handler bytes again, at once if some were received. */
  public void resume() {
    inbound.resume();
  }

  /**
   * Ends the connection; the handler learns of it at once. A client's connection that is flushed
   * lingers, since a close with unread bytes would make the operating system reset it, and lose
   * responses that are still on their way.
   *
   * @param reason passed to the handler
   * @param flush whether what was written is still sent
   */
  public void close(CloseReason reason, boolean flush) {
    if (finished) {
      return;
    }
    // A connection that is still being established is closed once it is. MINA's cancel must not be
    // used: for a connect that MINA has not registered yet it breaks MINA's count of connects,
    // whereupon MINA's thread ends too early and later connects never complete.
    if (session != null) {
      closer.close(session, flush);
    }
    finish(reason);
  }

  /**
   * Ends a client's connection in order unless something is owed on it: bytes that were not sent
   * yet are sent first, and if the client has sent bytes that the handler was not given, it is
   * given them and the connection stays. To be called while no request of the connection is open;
   * the handler learns of the end by {@link ConnectionHandler#onClosed}.
   */
  public void closeIfUnused() {
    if (!finished) {
      closeRequest.make();
    }
  }

  /** The request to close this connection if it is unused. */
  CloseRequest closeRequest() {
    return closeRequest;
  }

  /** The end of the session. */
  SessionCloser closer() {
    return closer;
  }

  /** Ends a lingering close at once. */
  void closeNow() {
    session.closeNow();
  }

  /** Discards all that is received from now on, without work for the event loop. */
  public void discard() {
    inputDiscarder.start();
  }

  /**
   * Whether nobody is there to be served: the connection has ended, or its input was closed a while
   * ago.
   */
  public boolean isAbandoned() {
    return remoteSide.isAbandoned();
  }

  boolean isFinished() {
    return finished;
  }

  /** What the other side has closed; on any thread. */
  RemoteSide remoteSide() {
    return remoteSide;
  }

  /** The connection is established, unless it was closed meanwhile. */
  void onSessionOpened(IoSession opened) {
    if (finished) {
      opened.closeNow();
      return;
    }
    session = opened;
    handler.onOpened();
  }

  /** Bytes were received, at this time by the scheduler's clock. */
  void onReceived(IoBuffer buffer, Duration at) {
    inbound.add(buffer, at);
  }

  /**
   * Gives bytes to the handler. An exception in it costs this connection, but no buffers and no
   * other connection.
   */
  void deliver(ByteBuffer bytes) {
    closeRequest.withdraw();
    try {
      handler.onReceived(bytes);
    } catch (RuntimeException | OutOfMemoryError | StackOverflowError e) {
      close(CloseReason.PROTOCOL_ERROR, false);
      Log.defect(e);
    }
  }

  /**
   * The other side has ended the connection; the handler learns of it once it was given all that
   * was received before.
   */
  void onSessionLost(CloseReason reason) {
    inputDiscarder.cancelTimer();
    if (pendingCloseReason == null) {
      pendingCloseReason = reason;
      inbound.consume();
    }
  }

  /** The handler was given all that was received. */
  void onAllConsumed() {
    if (pendingCloseReason != null) {
      finish(pendingCloseReason);
    }
  }

  private void finish(CloseReason reason) {
    if (finished) {
      return;
    }
    finished = true;
    inbound.release();
    transport.onConnectionClosed(this);
    handler.onClosed(reason);
  }
}
