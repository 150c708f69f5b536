package tamarindroute.net;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.NoRouteToHostException;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.future.IoFutureListener;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.service.IoProcessor;
import org.apache.mina.core.service.SimpleIoProcessorPool;
import org.apache.mina.core.session.IdleStatus;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.SocketSessionConfig;
import org.apache.mina.transport.socket.nio.NioProcessor;
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;
import org.apache.mina.transport.socket.nio.NioSocketConnector;
import tamarindroute.log.Log;

/**
 * Owns MINA: its one selecting thread for all connections, the listening socket, connecting, and
 * the shares of descriptors. It hands all that happens over to the owner's thread and must never do
 * anything else on MINA's.
 */
public final class SocketTransport extends IoHandlerAdapter {

  private static final String CONNECTION_ATTRIBUTE = "connection";
  private static final String CLOSE_REASON_ATTRIBUTE = "why";

  /**
   * Descriptors for the program itself: its jar, selectors, standard streams, the feed, the
   * listening socket.
   */
  private static final int RESERVED_DESCRIPTORS = 64;

  /**
   * A limit below what the program itself needs leaves each side a few all the same, until the
   * machine says no.
   */
  private static final int MIN_DESCRIPTORS_PER_SIDE = 8;

  /**
   * Of those, for clients that are let in faster than others that have to go for them are closed.
   */
  private static final int ACCEPT_OVERSHOOT = RESERVED_DESCRIPTORS / 2;

  /**
   * Closed connections that wait for their clients' end; past this the first of them is cut. They
   * are of the clients' share, which keeps more than the third that clients are told to hold from
   * 256 descriptors up.
   */
  private static final int MAX_LINGERING = 8;

  /** Clients close after 4 s; what is silent for so much longer has vanished without a word. */
  private static final int CLIENT_IDLE_SECONDS = 30;

  /**
   * After this MINA closes a socket that has not come up; whoever wanted it has given up long
   * before.
   */
  private static final int CONNECT_TIMEOUT_MILLIS = 3_000;

  private final Scheduler scheduler;
  private final BufferPool bufferPool;
  private final IoProcessor<NioSession> processor =
      new SimpleIoProcessorPool<>(SelectorProcessor.class, 1);
  private final NioSocketAcceptor acceptor = new BoundedAcceptor(processor);
  private final NioSocketConnector connector = new NioSocketConnector(processor);

  /** Read on MINA's thread as well. */
  private volatile int maxClients;

  private final int descriptorsPerSide;
  private final int maxOutbound;
  private final AtomicInteger openClientSessions = new AtomicInteger();

  /** Accepted from the machine, but not seen by MINA's selecting thread yet. */
  private final AtomicInteger pendingAccepts = new AtomicInteger();

  private final Set<Connection> clients = new LinkedHashSet<>();
  private final Set<Connection> outbound = new HashSet<>();

  /**
   * Those that MINA still brings up, and of them those given up here: a socket each until MINA is
   * done with it.
   */
  private final Set<Connection> connecting = new HashSet<>();

  private final Set<Connection> abandonedConnects = new HashSet<>();
  private final Set<Connection> lingering = new LinkedHashSet<>();
  private boolean draining;
  private Runnable drainClients = () -> {};
  private Function<Connection, ConnectionHandler> handlerFactory;

  /**
   * Clients are told to hold a third of the descriptors at most; half of what is left over goes to
   * each side.
   */
  public SocketTransport(Scheduler scheduler, BufferPool bufferPool, int descriptors) {
    this.scheduler = scheduler;
    this.bufferPool = bufferPool;
    this.descriptorsPerSide =
        Math.max(MIN_DESCRIPTORS_PER_SIDE, (descriptors - RESERVED_DESCRIPTORS) / 2);
    this.maxClients = descriptorsPerSide;
    this.maxOutbound = descriptorsPerSide;
    IoBuffer.setAllocator(bufferPool);
    configure(acceptor.getSessionConfig());
    configure(connector.getSessionConfig());
    acceptor.getSessionConfig().setReaderIdleTime(CLIENT_IDLE_SECONDS);
    acceptor.setHandler(this);
    acceptor.setReuseAddress(true);
    // A door that is shut must not shut out those who are in.
    acceptor.setCloseOnDeactivation(false);
    // What the operators' machines queue for a process that is slow to accept.
    acceptor.setBacklog(1024);
    connector.setConnectTimeoutMillis(CONNECT_TIMEOUT_MILLIS);
    connector.setHandler(this);
  }

  private static void configure(SocketSessionConfig config) {
    config.setTcpNoDelay(true);
    config.setMinReadBufferSize(BufferPool.BUFFER_BYTES);
    config.setReadBufferSize(BufferPool.BUFFER_BYTES);
    config.setMaxReadBufferSize(BufferPool.BUFFER_BYTES);
  }

  /** No more clients than this at once, where that is fewer than the descriptors allow. */
  public void limitClients(int limit) {
    maxClients = Math.min(descriptorsPerSide, limit);
  }

  public BufferPool bufferPool() {
    return bufferPool;
  }

  /** Listens; the door makes the peer of each connection taken in. */
  public void listen(InetSocketAddress address, Function<Connection, ConnectionHandler> handlers)
      throws IOException {
    handlerFactory = handlers;
    acceptor.bind(address);
  }

  /** Listens no more; blocks for a moment, and so is not for the owner's thread. */
  public void stopListening() {
    acceptor.unbind();
  }

  /**
   * The door is shut, which all who are in are told; the task is run once, when the last client's
   * connection is wholly closed.
   */
  public void drainClients(Runnable task) {
    draining = true;
    drainClients = task;
    Set.copyOf(clients).forEach(client -> client.handler.onListenerClosed());
    checkDrained();
  }

  private void checkDrained() {
    if (draining && openClientSessions.get() + pendingAccepts.get() == 0) {
      Runnable task = drainClients;
      drainClients = () -> {};
      task.run();
    }
  }

  /**
   * Descriptors are scarce: few connections linger at once, but at the end, when no others come.
   */
  void addLingering(Connection connection) {
    lingering.add(connection);
    if (lingering.size() > MAX_LINGERING && !draining) {
      Connection oldest = lingering.iterator().next();
      lingering.remove(oldest);
      oldest.closeNow();
    }
  }

  Runnable schedule(Duration span, Runnable task) {
    return scheduler.schedule(span, task);
  }

  void execute(Runnable task) {
    scheduler.execute(task);
  }

  /** A connection that is to come up; the peer hears of it, or of its end, later. */
  public Connection connect(InetSocketAddress address, ConnectionHandler handler) {
    Connection connection = newConnection(handler);
    if (outboundDescriptors() >= maxOutbound) {
      Connection evicted = longestIdle(outbound);
      if (evicted == null) {
        scheduler.execute(() -> connection.close(CloseReason.NO_DESCRIPTOR, false));
        return connection;
      }
      evicted.close(CloseReason.CLOSED_LOCALLY, true);
    }
    outbound.add(connection);
    connecting.add(connection);
    openSession(address, connection);
    return connection;
  }

  /**
   * The same for the feed, out of the program's own descriptors: caches that use up their share
   * must not make it deaf, for it tells of the drains that would free them; nor is it ever let go
   * of for a cache.
   */
  Connection connectReserved(InetSocketAddress address, ConnectionHandler handler) {
    Connection connection = newConnection(handler);
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
        connector.connect(
            address, (session, made) -> session.setAttribute(CONNECTION_ATTRIBUTE, connection));
    future.addListener(
        (IoFutureListener<ConnectFuture>)
            done -> {
              Throwable failure = done.getException();
              scheduler.execute(
                  () -> {
                    connecting.remove(connection);
                    abandonedConnects.remove(connection);
                    if (failure != null) {
                      connection.onSessionLost(closeReasonOf(failure));
                    }
                  });
            });
  }

  /**
   * Whether there is a descriptor for one more, or one can be had from a connection that is of no
   * use just now.
   */
  public boolean canConnect() {
    return outboundDescriptors() < maxOutbound || longestIdle(outbound) != null;
  }

  /**
   * One given up while it was coming up holds its descriptor on; dials that hang must not pass the
   * share so.
   */
  private int outboundDescriptors() {
    return outbound.size() + abandonedConnects.size();
  }

  /** The connection that has been of no use for longest; null where all are of use. */
  private static Connection longestIdle(Set<Connection> candidates) {
    return candidates.stream()
        .filter(one -> one.handler.idleSince() != null)
        .min(Comparator.comparing(one -> one.handler.idleSince()))
        .orElse(null);
  }

  void onConnectionClosed(Connection connection) {
    outbound.remove(connection);
    if (connecting.contains(connection)) {
      abandonedConnects.add(connection);
    }
    clients.remove(connection);
  }

  /**
   * Lets a client in. Where there are too many, what is of no use for longest goes first; clients
   * that ask once and stay, or say nothing, would else shut out all others. Only where all are of
   * use is the new one closed.
   */
  private void admit(Connection connection, IoSession session) {
    if (!session.isConnected()) {
      return;
    }
    if (clients.size()
        >= Math.min(
            maxClients, Math.max(MIN_DESCRIPTORS_PER_SIDE, descriptorsPerSide - MAX_LINGERING))) {
      Connection evicted = longestIdle(clients);
      Log.info(
          "door-full",
          clients.size()
              + " client connections, "
              + (evicted == null ? "all in use: a new one closed" : "an idle one let go"));
      if (evicted == null) {
        connection.onSessionOpened(session);
        connection.close(CloseReason.CLOSED_LOCALLY, true);
        return;
      }
      evicted.close(CloseReason.CLOSED_LOCALLY, true);
    }
    clients.add(connection);
    connection.handler = handlerFactory.apply(connection);
    connection.onSessionOpened(session);
    if (draining) {
      connection.handler.onListenerClosed();
    }
  }

  private static CloseReason closeReasonOf(Throwable failure) {
    String text = String.valueOf(failure.getMessage());
    if (text.contains("Too many open files")) {
      return CloseReason.NO_DESCRIPTOR;
    }
    if (failure instanceof NoRouteToHostException || text.contains("unreachable")) {
      return CloseReason.UNREACHABLE;
    }
    if (failure instanceof ConnectException) {
      return text.contains("refused") ? CloseReason.REFUSED : CloseReason.TIMED_OUT;
    }
    return failure instanceof IOException ? CloseReason.RESET : CloseReason.UNREACHABLE;
  }

  /**
   * MINA's acceptor, which has a thread of its own: in a crowd it is far ahead of the one that
   * closes those too many, and would take all descriptors that there are. What is past the bound is
   * closed before it is anybody's.
   */
  private final class BoundedAcceptor extends NioSocketAcceptor {

    BoundedAcceptor(IoProcessor<NioSession> processor) {
      super(processor);
    }

    @Override
    protected NioSession accept(IoProcessor<NioSession> to, ServerSocketChannel at)
        throws Exception {
      if (openClientSessions.get() + pendingAccepts.get() > maxClients + ACCEPT_OVERSHOOT) {
        SocketChannel excess = at.accept();
        if (excess != null) {
          Log.info("door-crowd", openClientSessions.get() + " client connections");
          excess.close();
        }
        return null;
      }
      NioSession session = super.accept(to, at);
      if (session != null) {
        pendingAccepts.incrementAndGet();
      }
      return session;
    }
  }

  /**
   * MINA's processor, with one thing done on its own thread alone: what a connection waits for is
   * read and set in two steps, and MINA lets whoever suspends reads do so on any thread. Where its
   * own thread does the same for writes at that moment, one of both is lost, and the connection
   * stays deaf or mute for good.
   */
  public static final class SelectorProcessor extends NioProcessor {

    private final Queue<NioSession> changedSessions = new ConcurrentLinkedQueue<>();

    public SelectorProcessor(Executor executor) {
      super(executor);
    }

    @Override
    public void updateTrafficControl(NioSession session) {
      changedSessions.add(session);
      wakeup();
    }

    /**
     * MINA gives a read's buffer back where nothing was read, but not where the read ends in a
     * reset.
     */
    @Override
    protected int read(NioSession session, IoBuffer buffer) throws Exception {
      try {
        return super.read(session, buffer);
      } catch (IOException e) {
        buffer.free();
        throw e;
      }
    }

    @Override
    protected int select(long timeout) throws Exception {
      int selected = super.select(timeout);
      for (NioSession next = changedSessions.poll(); next != null; next = changedSessions.poll()) {
        super.updateTrafficControl(next);
        if (connectionOf(next).claimOutputShutdown()) {
          shutOutput(next);
        }
      }
      return selected;
    }

    /** MINA knows no end of one side alone; the channel is known to the selector. */
    private void shutOutput(NioSession session) {
      for (SelectionKey key : selector.keys()) {
        if (key.attachment() == session) {
          try {
            ((SocketChannel) key.channel()).shutdownOutput();
          } catch (IOException e) {
            // The other side is gone, which MINA finds out by itself.
          }
          return;
        }
      }
    }
  }

  private static Connection connectionOf(IoSession session) {
    return (Connection) session.getAttribute(CONNECTION_ATTRIBUTE);
  }

  @Override
  public void sessionCreated(IoSession session) {
    if (session.getService() == acceptor) {
      session.setAttribute(CONNECTION_ATTRIBUTE, new Connection(this, true));
      openClientSessions.incrementAndGet();
      pendingAccepts.decrementAndGet();
    }
  }

  @Override
  public void sessionOpened(IoSession session) {
    Connection connection = connectionOf(session);
    if (session.getService() != acceptor) {
      scheduler.execute(() -> connection.onSessionOpened(session));
    } else {
      scheduler.execute(() -> admit(connection, session));
    }
  }

  @Override
  public void messageReceived(IoSession session, Object message) {
    Connection connection = connectionOf(session);
    IoBuffer bytes = (IoBuffer) message;
    if (connection.discardsInput(bytes.remaining())) {
      bytes.free();
      return;
    }
    Duration at = scheduler.now();
    connection.throttleReads(session);
    scheduler.execute(() -> connection.onReceived(bytes, at));
  }

  @Override
  public void messageSent(IoSession session, Object message) {
    if (connectionOf(session).isOutputShutdownDue()) {
      // Looked at once more where the channel is known.
      ((NioSession) session).getProcessor().updateTrafficControl((NioSession) session);
    }
  }

  @Override
  public void sessionIdle(IoSession session, IdleStatus status) {
    Connection connection = connectionOf(session);
    scheduler.execute(() -> connection.handler.onIdle());
  }

  @Override
  public void exceptionCaught(IoSession session, Throwable cause) {
    if (cause instanceof IOException) {
      // Whatever its words: what was written to a connection that was up may have run.
      session.setAttributeIfAbsent(CLOSE_REASON_ATTRIBUTE, CloseReason.RESET);
    } else {
      Log.info("net", cause);
    }
    session.closeNow();
  }

  @Override
  public void inputClosed(IoSession session) {
    Connection connection = connectionOf(session);
    if (session.getService() != acceptor) {
      session.closeNow();
      return;
    }
    // A client may shut its side and wait for the answers; one that is gone for good resets what is
    // written.
    session.suspendRead();
    if (connection.onInputClosed()) {
      session.closeOnFlush();
      return;
    }
    scheduler.execute(() -> connection.handler.onInputClosed());
  }

  @Override
  public void sessionClosed(IoSession session) {
    Connection connection = connectionOf(session);
    connection.onSessionClosed();
    if (session.getService() == acceptor) {
      openClientSessions.decrementAndGet();
    }
    CloseReason closeReason =
        (CloseReason) session.getAttribute(CLOSE_REASON_ATTRIBUTE, CloseReason.CLOSED);
    scheduler.execute(
        () -> {
          lingering.remove(connection);
          connection.onSessionLost(closeReason);
          checkDrained();
        });
  }

  /** Closes all and ends MINA's threads. */
  public void shutDown() {
    acceptor.dispose(false);
    connector.dispose(false);
  }
}
