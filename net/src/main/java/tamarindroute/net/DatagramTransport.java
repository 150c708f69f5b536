package tamarindroute.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.PortUnreachableException;
import java.net.SocketAddress;
import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.future.IoFutureListener;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.service.SimpleIoProcessorPool;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.core.session.IoSessionRecycler;
import org.apache.mina.transport.socket.DatagramSessionConfig;
import org.apache.mina.transport.socket.nio.NioDatagramAcceptor;
import org.apache.mina.transport.socket.nio.NioDatagramConnector;
import org.apache.mina.transport.socket.nio.NioProcessor;
import org.apache.mina.transport.socket.nio.NioSession;
import tamarindroute.log.Log;

/**
 * Owns datagrams through MINA: those taken in at addresses of ours, answered from there, and those
 * sent from a fresh port each and answered to it. It hands all over to the owner's thread and drops
 * what that can't keep up with; it must never read what a datagram says, nor keep one.
 */
public final class DatagramTransport {

  /**
   * Queries are small, answers with EDNS rarely over 4 KB; what is longer comes cut and unreadable.
   */
  private static final int MAX_DATAGRAM_BYTES = 4096;

  /**
   * What waits for the owner's thread: some tens of milliseconds of its work. Past it a flood is
   * dropped unread.
   */
  private static final int MAX_QUEUED = 2000;

  /** MINA keeps a session for each sender; forged senders would fill memory with them. */
  private static final int MAX_SENDERS = 1024;

  /** Sockets for questions of our own that are open at once. */
  private static final int MAX_PENDING_QUERIES = 128;

  /** What the kernel keeps for us through a pause of some tens of milliseconds. */
  private static final int KERNEL_BUFFER_BYTES = 1 << 20;

  /** Takes datagrams in; on the owner's thread. */
  public interface DatagramHandler {
    void onDatagram(byte[] bytes, InetSocketAddress from, Duration at, Consumer<byte[]> answer);
  }

  /** Waits for the answers to one datagram sent; on the owner's thread. */
  public interface ReplyHandler {

    /** Some datagram came from where ours went to. */
    void onReply(byte[] bytes);

    /** No answer can come any more: nobody listens there, or no socket could be had. */
    void onClosed(CloseReason closeReason);
  }

  private final Scheduler scheduler;
  private NioDatagramAcceptor acceptor;
  private NioDatagramConnector connector;
  private final PermitCounter queuePermits = new PermitCounter(MAX_QUEUED);
  private final AtomicInteger dropped = new AtomicInteger();
  private int pendingQueries;

  public DatagramTransport(Scheduler scheduler) {
    this.scheduler = scheduler;
  }

  /** How many datagrams were dropped unread so far. */
  public int dropped() {
    return dropped.get();
  }

  /** Takes in what comes to this address. */
  public void listen(InetSocketAddress address, DatagramHandler handler) throws IOException {
    if (acceptor == null) {
      acceptor = new NioDatagramAcceptor();
      acceptor.setSessionRecycler(new RecentSenders());
      configure(acceptor.getSessionConfig());
      acceptor.getSessionConfig().setReceiveBufferSize(KERNEL_BUFFER_BYTES);
      acceptor.getSessionConfig().setSendBufferSize(KERNEL_BUFFER_BYTES);
      acceptor.getSessionConfig().setReuseAddress(false);
      acceptor.setHandler(new ListenerSessionHandler(handler));
    }
    acceptor.bind(address);
  }

  private static void configure(DatagramSessionConfig config) {
    config.setReadBufferSize(MAX_DATAGRAM_BYTES);
    config.setMaxReadBufferSize(MAX_DATAGRAM_BYTES);
    config.setMinReadBufferSize(MAX_DATAGRAM_BYTES);
  }

  /** On MINA's thread: hands a datagram over, or drops it unread where too many wait. */
  private void dispatch(Object message, Consumer<byte[]> to) {
    if (!queuePermits.tryAcquire()) {
      dropped.incrementAndGet();
      return;
    }
    IoBuffer buffer = (IoBuffer) message;
    byte[] bytes = new byte[buffer.remaining()];
    buffer.get(bytes);
    scheduler.execute(
        () -> {
          queuePermits.release();
          to.accept(bytes);
        });
  }

  private final class ListenerSessionHandler extends IoHandlerAdapter {

    private final DatagramHandler handler;

    ListenerSessionHandler(DatagramHandler handler) {
      this.handler = handler;
    }

    @Override
    public void messageReceived(IoSession session, Object message) {
      Duration at = scheduler.now();
      dispatch(
          message,
          bytes ->
              handler.onDatagram(
                  bytes,
                  (InetSocketAddress) session.getRemoteAddress(),
                  at,
                  answer -> session.write(IoBuffer.wrap(answer))));
    }

    @Override
    public void exceptionCaught(IoSession session, Throwable cause) {
      Log.info("net", cause);
    }
  }

  /**
   * The latest senders; the oldest goes for a new one. Answers leave at once, so nothing of it is
   * under way.
   */
  private static final class RecentSenders implements IoSessionRecycler {

    private final Map<SocketAddress, IoSession> sessions =
        new LinkedHashMap<>(MAX_SENDERS, 0.75f, true);

    @Override
    public synchronized void put(IoSession session) {
      sessions.put(session.getRemoteAddress(), session);
      if (sessions.size() > MAX_SENDERS) {
        Iterator<IoSession> oldest = sessions.values().iterator();
        IoSession evicted = oldest.next();
        oldest.remove();
        evicted.closeOnFlush();
      }
    }

    @Override
    public synchronized IoSession recycle(SocketAddress remote, int port) {
      return sessions.get(remote);
    }

    @Override
    public synchronized void remove(IoSession session) {
      sessions.remove(session.getRemoteAddress(), session);
    }
  }

  /** Sends a datagram from an address that is listened on; nothing is known of its fate. */
  public void send(InetSocketAddress from, InetSocketAddress to, byte[] bytes) {
    try {
      acceptor.newSession(to, from).write(IoBuffer.wrap(bytes));
    } catch (RuntimeException e) {
      Log.info("net", e);
    }
  }

  /**
   * Sends a datagram from a fresh port, of the machine's choice, and waits there; run what is
   * returned to end it.
   */
  public Runnable query(InetSocketAddress to, byte[] bytes, ReplyHandler handler) {
    if (pendingQueries >= MAX_PENDING_QUERIES) {
      scheduler.execute(() -> handler.onClosed(CloseReason.NO_DESCRIPTOR));
      return () -> {};
    }
    if (connector == null) {
      connector =
          new NioDatagramConnector(new SimpleIoProcessorPool<NioSession>(NioProcessor.class, 1));
      configure(connector.getSessionConfig());
      connector.setHandler(new QuerySessionHandler());
    }
    pendingQueries++;
    PendingQuery query = new PendingQuery(handler, bytes);
    try {
      ConnectFuture future =
          connector.connect(to, (session, made) -> session.setAttribute(PendingQuery.class, query));
      future.addListener(
          (IoFutureListener<ConnectFuture>)
              done -> {
                if (done.getException() != null) {
                  scheduler.execute(() -> query.fail(CloseReason.UNREACHABLE));
                }
              });
    } catch (RuntimeException e) {
      scheduler.execute(() -> query.fail(CloseReason.UNREACHABLE));
    }
    return query::cancel;
  }

  private final class PendingQuery {

    private final ReplyHandler handler;
    private final byte[] bytes;
    private IoSession session;
    private boolean finished;

    PendingQuery(ReplyHandler handler, byte[] bytes) {
      this.handler = handler;
      this.bytes = bytes;
    }

    private void onSessionOpened(IoSession opened) {
      session = opened;
      if (finished) {
        opened.closeNow();
      } else {
        opened.write(IoBuffer.wrap(bytes));
      }
    }

    private void cancel() {
      if (!finished) {
        finished = true;
        pendingQueries--;
        if (session != null) {
          session.closeNow();
        }
      }
    }

    private void fail(CloseReason closeReason) {
      if (!finished) {
        cancel();
        handler.onClosed(closeReason);
      }
    }
  }

  private final class QuerySessionHandler extends IoHandlerAdapter {

    private PendingQuery queryOf(IoSession session) {
      return (PendingQuery) session.getAttribute(PendingQuery.class);
    }

    @Override
    public void sessionOpened(IoSession session) {
      PendingQuery query = queryOf(session);
      scheduler.execute(() -> query.onSessionOpened(session));
    }

    @Override
    public void messageReceived(IoSession session, Object message) {
      PendingQuery query = queryOf(session);
      dispatch(
          message,
          bytes -> {
            if (!query.finished) {
              query.handler.onReply(bytes);
            }
          });
    }

    @Override
    public void exceptionCaught(IoSession session, Throwable cause) {
      PendingQuery query = queryOf(session);
      // A network that is down on this side fails as IOException too; that is no other machine's
      // word.
      scheduler.execute(
          () ->
              query.fail(
                  cause instanceof PortUnreachableException
                      ? CloseReason.REFUSED
                      : CloseReason.UNREACHABLE));
    }
  }

  /** Closes all and ends MINA's threads. */
  public void shutDown() {
    if (acceptor != null) {
      acceptor.dispose(false);
    }
    if (connector != null) {
      connector.dispose(false);
    }
  }
}
