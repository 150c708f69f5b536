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
public final class Sockets extends IoHandlerAdapter {

  private static final String CONNECTION = "connection";
  private static final String WHY = "why";

  /**
   * Descriptors for the program itself: its jar, selectors, standard streams, the feed, the
   * listening socket.
   */
  private static final int OWN_DESCRIPTORS = 64;

  /**
   * A limit below what the program itself needs leaves each side a few all the same, until the
   * machine says no.
   */
  private static final int LEAST_SIDE = 8;

  /**
   * Of those, for clients that are let in faster than others that have to go for them are closed.
   */
  private static final int CROWD = OWN_DESCRIPTORS / 2;

  /**
   * Closed connections that wait for their clients' end; past this the first of them is cut. They
   * are of the clients' share, which keeps more than the third that clients are told to hold from
   * 256 descriptors up.
   */
  private static final int MOST_LINGERING = 8;

  /** Clients close after 4 s; what is silent for so much longer has vanished without a word. */
  private static final int CLIENT_IDLE_SECONDS = 30;

  /**
   * After this MINA closes a socket that has not come up; whoever wanted it has given up long
   * before.
   */
  private static final int CONNECT_MILLIS = 3_000;

  private final Timers timers;
  private final Pool pool;
  private final IoProcessor<NioSession> processor = new SimpleIoProcessorPool<>(Selecting.class, 1);
  private final NioSocketAcceptor acceptor = new Door(processor);
  private final NioSocketConnector connector = new NioSocketConnector(processor);

  /** Read on MINA's thread as well. */
  private volatile int mostAccepted;

  private final int mostByDescriptors;
  private final int mostConnected;
  private final AtomicInteger accepted = new AtomicInteger();

  /** Accepted from the machine, but not seen by MINA's selecting thread yet. */
  private final AtomicInteger arriving = new AtomicInteger();

  private final Set<Connection> clients = new LinkedHashSet<>();
  private final Set<Connection> connected = new HashSet<>();

  /**
   * Those that MINA still brings up, and of them those given up here: a socket each until MINA is
   * done with it.
   */
  private final Set<Connection> comingUp = new HashSet<>();

  private final Set<Connection> givenUp = new HashSet<>();
  private final Set<Connection> lingering = new LinkedHashSet<>();
  private boolean doorShut;
  private Runnable whenNoClients = () -> {};
  private Function<Connection, Peer> door;

  /**
   * Clients are told to hold a third of the descriptors at most; half of what is left over goes to
   * each side.
   */
  public Sockets(Timers timers, Pool pool, int descriptors) {
    this.timers = timers;
    this.pool = pool;
    this.mostByDescriptors = Math.max(LEAST_SIDE, (descriptors - OWN_DESCRIPTORS) / 2);
    this.mostAccepted = mostByDescriptors;
    this.mostConnected = mostByDescriptors;
    IoBuffer.setAllocator(pool);
    configure(acceptor.getSessionConfig());
    configure(connector.getSessionConfig());
    acceptor.getSessionConfig().setReaderIdleTime(CLIENT_IDLE_SECONDS);
    acceptor.setHandler(this);
    acceptor.setReuseAddress(true);
    // A door that is shut must not shut out those who are in.
    acceptor.setCloseOnDeactivation(false);
    // What the operators' machines queue for a process that is slow to accept.
    acceptor.setBacklog(1024);
    connector.setConnectTimeoutMillis(CONNECT_MILLIS);
    connector.setHandler(this);
  }

  private static void configure(SocketSessionConfig config) {
    config.setTcpNoDelay(true);
    config.setMinReadBufferSize(Pool.SIZE);
    config.setReadBufferSize(Pool.SIZE);
    config.setMaxReadBufferSize(Pool.SIZE);
  }

  /** No more clients than this at once, where that is fewer than the descriptors allow. */
  public void mostClients(int most) {
    mostAccepted = Math.min(mostByDescriptors, most);
  }

  public Pool pool() {
    return pool;
  }

  /** Listens; the door makes the peer of each connection taken in. */
  public void listen(InetSocketAddress address, Function<Connection, Peer> peers)
      throws IOException {
    door = peers;
    acceptor.bind(address);
  }

  /** Listens no more; blocks for a moment, and so is not for the owner's thread. */
  public void shutDoor() {
    acceptor.unbind();
  }

  /**
   * The door is shut, which all who are in are told; the task is run once, when the last client's
   * connection is wholly closed.
   */
  public void whenNoClients(Runnable task) {
    doorShut = true;
    whenNoClients = task;
    Set.copyOf(clients).forEach(client -> client.peer.doorShut());
    noClients();
  }

  private void noClients() {
    if (doorShut && accepted.get() + arriving.get() == 0) {
      Runnable task = whenNoClients;
      whenNoClients = () -> {};
      task.run();
    }
  }

  /**
   * Descriptors are scarce: few connections linger at once, but at the end, when no others come.
   */
  void lingers(Connection connection) {
    lingering.add(connection);
    if (lingering.size() > MOST_LINGERING && !doorShut) {
      Connection oldest = lingering.iterator().next();
      lingering.remove(oldest);
      oldest.cut();
    }
  }

  Runnable after(Duration span, Runnable task) {
    return timers.after(span, task);
  }

  void handOver(Runnable task) {
    timers.handOver(task);
  }

  /** A connection that is to come up; the peer hears of it, or of its end, later. */
  public Connection connect(InetSocketAddress address, Peer peer) {
    Connection connection = connection(peer);
    if (descriptorsOut() >= mostConnected) {
      Connection out = idlest(connected);
      if (out == null) {
        timers.handOver(() -> connection.close(Ending.NO_DESCRIPTOR, false));
        return connection;
      }
      out.close(Ending.LET_GO, true);
    }
    connected.add(connection);
    comingUp.add(connection);
    dial(address, connection);
    return connection;
  }

  /**
   * The same for the feed, out of the program's own descriptors: caches that use up their share
   * must not make it deaf, for it tells of the drains that would free them; nor is it ever let go
   * of for a cache.
   */
  Connection connectReserved(InetSocketAddress address, Peer peer) {
    Connection connection = connection(peer);
    dial(address, connection);
    return connection;
  }

  private Connection connection(Peer peer) {
    Connection connection = new Connection(this, false);
    connection.peer = peer;
    return connection;
  }

  private void dial(InetSocketAddress address, Connection connection) {
    ConnectFuture future =
        connector.connect(address, (session, made) -> session.setAttribute(CONNECTION, connection));
    future.addListener(
        (IoFutureListener<ConnectFuture>)
            done -> {
              Throwable failure = done.getException();
              timers.handOver(
                  () -> {
                    comingUp.remove(connection);
                    givenUp.remove(connection);
                    if (failure != null) {
                      connection.lost(why(failure));
                    }
                  });
            });
  }

  /**
   * Whether there is a descriptor for one more, or one can be had from a connection that is of no
   * use just now.
   */
  public boolean mayConnect() {
    return descriptorsOut() < mostConnected || idlest(connected) != null;
  }

  /**
   * One given up while it was coming up holds its descriptor on; dials that hang must not pass the
   * share so.
   */
  private int descriptorsOut() {
    return connected.size() + givenUp.size();
  }

  /** The connection that has been of no use for longest; null where all are of use. */
  private static Connection idlest(Set<Connection> among) {
    return among.stream()
        .filter(one -> one.peer.uselessSince() != null)
        .min(Comparator.comparing(one -> one.peer.uselessSince()))
        .orElse(null);
  }

  void ended(Connection connection) {
    connected.remove(connection);
    if (comingUp.contains(connection)) {
      givenUp.add(connection);
    }
    clients.remove(connection);
  }

  /**
   * Lets a client in. Where there are too many, what is of no use for longest goes first; clients
   * that ask once and stay, or say nothing, would else shut out all others. Only where all are of
   * use is the new one closed.
   */
  private void letIn(Connection connection, IoSession session) {
    if (!session.isConnected()) {
      return;
    }
    if (clients.size()
        >= Math.min(mostAccepted, Math.max(LEAST_SIDE, mostByDescriptors - MOST_LINGERING))) {
      Connection out = idlest(clients);
      Log.line(
          "door-full",
          clients.size()
              + " client connections, "
              + (out == null ? "all in use: a new one closed" : "an idle one let go"));
      if (out == null) {
        connection.up(session);
        connection.close(Ending.LET_GO, true);
        return;
      }
      out.close(Ending.LET_GO, true);
    }
    clients.add(connection);
    connection.peer = door.apply(connection);
    connection.up(session);
    if (doorShut) {
      connection.peer.doorShut();
    }
  }

  private static Ending why(Throwable failure) {
    String text = String.valueOf(failure.getMessage());
    if (text.contains("Too many open files")) {
      return Ending.NO_DESCRIPTOR;
    }
    if (failure instanceof NoRouteToHostException || text.contains("unreachable")) {
      return Ending.UNREACHABLE;
    }
    if (failure instanceof ConnectException) {
      return text.contains("refused") ? Ending.REFUSED : Ending.NOT_UP_IN_TIME;
    }
    return failure instanceof IOException ? Ending.RESET : Ending.UNREACHABLE;
  }

  /**
   * MINA's acceptor, which has a thread of its own: in a crowd it is far ahead of the one that
   * closes those too many, and would take all descriptors that there are. What is past the bound is
   * closed before it is anybody's.
   */
  private final class Door extends NioSocketAcceptor {

    Door(IoProcessor<NioSession> processor) {
      super(processor);
    }

    @Override
    protected NioSession accept(IoProcessor<NioSession> to, ServerSocketChannel at)
        throws Exception {
      if (accepted.get() + arriving.get() > mostAccepted + CROWD) {
        SocketChannel tooMany = at.accept();
        if (tooMany != null) {
          Log.line("door-crowd", accepted.get() + " client connections");
          tooMany.close();
        }
        return null;
      }
      NioSession session = super.accept(to, at);
      if (session != null) {
        arriving.incrementAndGet();
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
  public static final class Selecting extends NioProcessor {

    private final Queue<NioSession> changed = new ConcurrentLinkedQueue<>();

    public Selecting(Executor executor) {
      super(executor);
    }

    @Override
    public void updateTrafficControl(NioSession session) {
      changed.add(session);
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
      for (NioSession next = changed.poll(); next != null; next = changed.poll()) {
        super.updateTrafficControl(next);
        if (of(next).shutsOutput()) {
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

  private static Connection of(IoSession session) {
    return (Connection) session.getAttribute(CONNECTION);
  }

  @Override
  public void sessionCreated(IoSession session) {
    if (session.getService() == acceptor) {
      session.setAttribute(CONNECTION, new Connection(this, true));
      accepted.incrementAndGet();
      arriving.decrementAndGet();
    }
  }

  @Override
  public void sessionOpened(IoSession session) {
    Connection connection = of(session);
    if (session.getService() != acceptor) {
      timers.handOver(() -> connection.up(session));
    } else {
      timers.handOver(() -> letIn(connection, session));
    }
  }

  @Override
  public void messageReceived(IoSession session, Object message) {
    Connection connection = of(session);
    IoBuffer bytes = (IoBuffer) message;
    if (connection.throwsAway(bytes.remaining())) {
      bytes.free();
      return;
    }
    Duration at = timers.now();
    connection.reading(session);
    timers.handOver(() -> connection.received(bytes, at));
  }

  @Override
  public void messageSent(IoSession session, Object message) {
    if (of(session).endDue()) {
      // Looked at once more where the channel is known.
      ((NioSession) session).getProcessor().updateTrafficControl((NioSession) session);
    }
  }

  @Override
  public void sessionIdle(IoSession session, IdleStatus status) {
    Connection connection = of(session);
    timers.handOver(() -> connection.peer.idle());
  }

  @Override
  public void exceptionCaught(IoSession session, Throwable cause) {
    if (cause instanceof IOException) {
      // Whatever its words: what was written to a connection that was up may have run.
      session.setAttributeIfAbsent(WHY, Ending.RESET);
    } else {
      Log.line("net", cause);
    }
    session.closeNow();
  }

  @Override
  public void inputClosed(IoSession session) {
    Connection connection = of(session);
    if (session.getService() != acceptor) {
      session.closeNow();
      return;
    }
    // A client may shut its side and wait for the answers; one that is gone for good resets what is
    // written.
    session.suspendRead();
    if (connection.inputIsOver()) {
      session.closeOnFlush();
      return;
    }
    timers.handOver(() -> connection.peer.inputClosed());
  }

  @Override
  public void sessionClosed(IoSession session) {
    Connection connection = of(session);
    connection.isGone();
    if (session.getService() == acceptor) {
      accepted.decrementAndGet();
    }
    Ending ending = (Ending) session.getAttribute(WHY, Ending.CLOSED);
    timers.handOver(
        () -> {
          lingering.remove(connection);
          connection.lost(ending);
          noClients();
        });
  }

  /** Closes all and ends MINA's threads. */
  public void shutDown() {
    acceptor.dispose(false);
    connector.dispose(false);
  }
}
