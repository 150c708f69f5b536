package tamarindroute.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.function.Function;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.future.IoFutureListener;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.service.IoProcessor;
import org.apache.mina.core.service.SimpleIoProcessorPool;
import org.apache.mina.core.session.IdleStatus;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;
import org.apache.mina.transport.socket.nio.NioSocketConnector;
import tamarindroute.log.Log;

/**
 * TCP through MINA: one selector thread for all connections, the listening socket, and outgoing
 * connections. Every event is handed over to the event loop. The file descriptors of the process
 * are shared out between clients and caches.
 */
public final class SocketTransport extends IoHandlerAdapter {

  /**
   * For the process itself: its jar, selectors, standard streams, the control feed, the listening
   * socket.
   */
  static final int RESERVED_DESCRIPTORS = 64;

  /**
   * For clients and for caches each, even if the limit leaves less; the operating system then
   * refuses some.
   */
  static final int MIN_DESCRIPTORS_PER_SIDE = 8;

  /** When MINA gives a connect up; whoever wanted the connection has done so long before. */
  private static final int CONNECT_TIMEOUT_MILLIS = 3_000;

  private static final String CLOSE_REASON_ATTRIBUTE = "why";

  private final Scheduler scheduler;
  private final BufferPool bufferPool;
  private final ClientConnections clients;
  private final OutboundConnections outbound;
  private final ReadAdmission readAdmission;
  private final NioSocketAcceptor acceptor;
  private final NioSocketConnector connector;

  /**
   * Starts MINA's threads.
   *
   * @param scheduler the event loop
   * @param bufferPool for reads and writes
   * @param descriptors the number of file descriptors that the process may open
   */
  public SocketTransport(Scheduler scheduler, BufferPool bufferPool, int descriptors) {
    this.scheduler = scheduler;
    this.bufferPool = bufferPool;
    int perSide = Math.max(MIN_DESCRIPTORS_PER_SIDE, (descriptors - RESERVED_DESCRIPTORS) / 2);
    clients = new ClientConnections(scheduler, perSide);
    outbound = new OutboundConnections(perSide);
    readAdmission = new ReadAdmission(scheduler, bufferPool);
    bufferPool.onCapacityAvailable(() -> scheduler.execute(readAdmission::reconsiderDeferred));
    BufferShortageMonitor.start(scheduler, bufferPool, clients::all);
    IoProcessor<NioSession> processor = new SimpleIoProcessorPool<>(SelectorProcessor.class, 1);
    acceptor = new BoundedAcceptor(processor, clients, this);
    connector = newConnector(processor);
    IoBuffer.setAllocator(bufferPool);
  }

  private NioSocketConnector newConnector(IoProcessor<NioSession> processor) {
    NioSocketConnector created = new NioSocketConnector(processor);
    SocketOptions.configureOutbound(created.getSessionConfig());
    created.setConnectTimeoutMillis(CONNECT_TIMEOUT_MILLIS);
    created.setHandler(this);
    return created;
  }

  /** Sets the largest number of clients, if that is less than the descriptors allow. */
  public void limitClients(int limit) {
    clients.limit(limit);
  }

  /** The buffers for reads and writes. */
  public BufferPool bufferPool() {
    return bufferPool;
  }

  /**
   * Listens for clients.
   *
   * @param address to listen on
   * @param handlers makes the handler of each client's connection
   * @throws IOException if the address cannot be listened on
   */
  public void listen(InetSocketAddress address, Function<Connection, ConnectionHandler> handlers)
      throws IOException {
    clients.handledBy(handlers);
    acceptor.bind(address);
  }

  /**
   * Closes the listening socket. Blocks for a moment, and so must not be called on the event loop.
   */
  public void stopListening() {
    acceptor.unbind();
  }

  /**
   * Informs all clients that no more are accepted, after {@link #stopListening}.
   *
   * @param listener run once, when the last client's connection has ended completely
   */
  public void drainClients(Runnable listener) {
    clients.drain(listener);
  }

  /** The connections that clients opened. */
  ClientConnections clients() {
    return clients;
  }

  Runnable schedule(Duration delay, Runnable task) {
    return scheduler.schedule(delay, task);
  }

  void execute(Runnable task) {
    scheduler.execute(task);
  }

  /** Whether a connection can be opened, after an idle one was closed if need be. */
  public boolean canConnect() {
    return outbound.canConnect();
  }

  /**
   * Opens a connection to a cache; its handler learns later that it is established or has failed.
   * Closes an idle connection if no descriptor is left.
   */
  public Connection connect(InetSocketAddress address, ConnectionHandler handler) {
    Connection connection = newConnection(handler);
    if (outbound.add(connection)) {
      openSession(address, connection);
    } else {
      scheduler.execute(() -> connection.close(CloseReason.NO_DESCRIPTOR, false));
    }
    return connection;
  }

  /**
   * Opens a connection to the control feed with a reserved descriptor: the feed must be reachable
   * even if caches use all of theirs, since it announces the drains that free them. Such a
   * connection is never closed for another.
   */
  Connection connectReserved(InetSocketAddress address, ConnectionHandler handler) {
    Connection connection = newConnection(handler);
    connection.setRoomReserved(true);
    openSession(address, connection);
    return connection;
  }

  private Connection newConnection(ConnectionHandler handler) {
    Connection connection = new Connection(this, false);
    connection.handler = handler;
    return connection;
  }

  private void openSession(InetSocketAddress address, Connection connection) {
    ConnectFuture future =
        connector.connect(address, (session, made) -> connection.attachTo(session));
    future.addListener(
        (IoFutureListener<ConnectFuture>)
            done -> {
              Throwable failure = done.getException();
              scheduler.execute(() -> onConnectEnded(connection, failure));
            });
  }

  private void onConnectEnded(Connection connection, Throwable failure) {
    outbound.onConnectEnded(connection);
    if (failure != null) {
      connection.onSessionLost(CloseReason.ofConnectFailure(failure));
    }
  }

  /** On MINA's thread: whether a connection that has bytes to read is read now. */
  boolean admitsRead(IoSession session, SelectRounds rounds) {
    return readAdmission.admits(Connection.of(session), session, rounds);
  }

  /** The connection has ended for its handler. */
  void onConnectionClosed(Connection connection) {
    outbound.onConnectionClosed(connection);
    clients.onConnectionClosed(connection);
  }

  private boolean isClient(IoSession session) {
    return session.getService() == acceptor;
  }

  @Override
  public void sessionCreated(IoSession session) {
    if (isClient(session)) {
      new Connection(this, true).attachTo(session);
      clients.onSessionCreated();
    }
  }

  @Override
  public void sessionOpened(IoSession session) {
    Connection connection = Connection.of(session);
    if (isClient(session)) {
      scheduler.execute(() -> clients.admit(connection, session));
    } else {
      scheduler.execute(() -> connection.onSessionOpened(session));
    }
  }

  @Override
  public void messageReceived(IoSession session, Object message) {
    Connection connection = Connection.of(session);
    IoBuffer bytes = (IoBuffer) message;
    if (connection.inputDiscarder().discards(bytes.remaining())) {
      bytes.free();
      return;
    }
    readAdmission.handOver(connection, session, bytes);
  }

  @Override
  public void messageSent(IoSession session, Object message) {
    if (Connection.of(session).closer().isOutputShutdownDue()) {
      // The processor knows the channel, and checks again there.
      SelectorProcessor.reconsider(session);
    }
  }

  @Override
  public void sessionIdle(IoSession session, IdleStatus status) {
    Connection connection = Connection.of(session);
    scheduler.execute(() -> connection.handler.onIdle());
  }

  @Override
  public void exceptionCaught(IoSession session, Throwable cause) {
    if (cause instanceof IOException) {
      // Whatever the message says: a request on an established connection may have been executed.
      session.setAttributeIfAbsent(CLOSE_REASON_ATTRIBUTE, CloseReason.RESET);
    } else {
      Log.info("net", cause);
    }
    session.closeNow();
  }

  @Override
  public void inputClosed(IoSession session) {
    if (!isClient(session)) {
      session.closeNow();
      return;
    }
    // A client may close its side and wait for responses; one that is gone resets what is sent to
    // it.
    Connection connection = Connection.of(session);
    session.suspendRead();
    if (connection.closer().onInputClosed()) {
      session.closeOnFlush();
    } else {
      scheduler.execute(() -> connection.handler.onInputClosed());
    }
  }

  @Override
  public void sessionClosed(IoSession session) {
    Connection connection = Connection.of(session);
    connection.remoteSide().onSessionClosed();
    if (isClient(session)) {
      clients.onSessionClosed();
    }
    CloseReason closeReason =
        (CloseReason) session.getAttribute(CLOSE_REASON_ATTRIBUTE, CloseReason.CLOSED);
    scheduler.execute(() -> onSessionLost(connection, closeReason));
  }

  private void onSessionLost(Connection connection, CloseReason closeReason) {
    readAdmission.onSessionLost(connection);
    clients.onSessionLost(connection);
    connection.onSessionLost(closeReason);
    clients.checkDrained();
  }

  /** Closes all connections and ends MINA's threads. */
  public void shutDown() {
    acceptor.dispose(false);
    connector.dispose(false);
  }
}
