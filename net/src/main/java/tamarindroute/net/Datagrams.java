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
public final class Datagrams {

  /**
   * Queries are small, answers with EDNS rarely over 4 KB; what is longer comes cut and unreadable.
   */
  private static final int LONGEST = 4096;

  /**
   * What waits for the owner's thread: some tens of milliseconds of its work. Past it a flood is
   * dropped unread.
   */
  private static final int MOST_WAITING = 2000;

  /** MINA keeps a session for each sender; forged senders would fill memory with them. */
  private static final int MOST_SENDERS = 1024;

  /** Sockets for questions of our own that are open at once. */
  private static final int MOST_ASKING = 128;

  /** What the kernel keeps for us through a pause of some tens of milliseconds. */
  private static final int KERNEL_BUFFER = 1 << 20;

  /** Takes datagrams in; on the owner's thread. */
  public interface Taker {
    void taken(byte[] bytes, InetSocketAddress from, Duration at, Consumer<byte[]> answer);
  }

  /** Waits for the answers to one datagram sent; on the owner's thread. */
  public interface Waiting {

    /** Some datagram came from where ours went to. */
    void came(byte[] bytes);

    /** No answer can come any more: nobody listens there, or no socket could be had. */
    void ended(Ending ending);
  }

  private final Timers timers;
  private NioDatagramAcceptor acceptor;
  private NioDatagramConnector connector;
  private final Bound waiting = new Bound(MOST_WAITING);
  private final AtomicInteger dropped = new AtomicInteger();
  private int asking;

  public Datagrams(Timers timers) {
    this.timers = timers;
  }

  /** How many datagrams were dropped unread so far. */
  public int dropped() {
    return dropped.get();
  }

  /** Takes in what comes to this address. */
  public void listen(InetSocketAddress address, Taker taker) throws IOException {
    if (acceptor == null) {
      acceptor = new NioDatagramAcceptor();
      acceptor.setSessionRecycler(new Senders());
      configure(acceptor.getSessionConfig());
      acceptor.getSessionConfig().setReceiveBufferSize(KERNEL_BUFFER);
      acceptor.getSessionConfig().setSendBufferSize(KERNEL_BUFFER);
      acceptor.getSessionConfig().setReuseAddress(false);
      acceptor.setHandler(new Listening(taker));
    }
    acceptor.bind(address);
  }

  private static void configure(DatagramSessionConfig config) {
    config.setReadBufferSize(LONGEST);
    config.setMaxReadBufferSize(LONGEST);
    config.setMinReadBufferSize(LONGEST);
  }

  /** On MINA's thread: hands a datagram over, or drops it unread where too many wait. */
  private void handOver(Object message, Consumer<byte[]> to) {
    if (!waiting.enter()) {
      dropped.incrementAndGet();
      return;
    }
    IoBuffer buffer = (IoBuffer) message;
    byte[] bytes = new byte[buffer.remaining()];
    buffer.get(bytes);
    timers.handOver(
        () -> {
          waiting.leave();
          to.accept(bytes);
        });
  }

  private final class Listening extends IoHandlerAdapter {

    private final Taker taker;

    Listening(Taker taker) {
      this.taker = taker;
    }

    @Override
    public void messageReceived(IoSession session, Object message) {
      Duration at = timers.now();
      handOver(
          message,
          bytes ->
              taker.taken(
                  bytes,
                  (InetSocketAddress) session.getRemoteAddress(),
                  at,
                  answer -> session.write(IoBuffer.wrap(answer))));
    }

    @Override
    public void exceptionCaught(IoSession session, Throwable cause) {
      Log.line("net", cause);
    }
  }

  /**
   * The latest senders; the oldest goes for a new one. Answers leave at once, so nothing of it is
   * under way.
   */
  private static final class Senders implements IoSessionRecycler {

    private final Map<SocketAddress, IoSession> sessions =
        new LinkedHashMap<>(MOST_SENDERS, 0.75f, true);

    @Override
    public synchronized void put(IoSession session) {
      sessions.put(session.getRemoteAddress(), session);
      if (sessions.size() > MOST_SENDERS) {
        Iterator<IoSession> oldest = sessions.values().iterator();
        IoSession out = oldest.next();
        oldest.remove();
        out.closeOnFlush();
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
      Log.line("net", e);
    }
  }

  /**
   * Sends a datagram from a fresh port, of the machine's choice, and waits there; run what is
   * returned to end it.
   */
  public Runnable ask(InetSocketAddress to, byte[] bytes, Waiting who) {
    if (asking >= MOST_ASKING) {
      timers.handOver(() -> who.ended(Ending.NO_DESCRIPTOR));
      return () -> {};
    }
    if (connector == null) {
      connector =
          new NioDatagramConnector(new SimpleIoProcessorPool<NioSession>(NioProcessor.class, 1));
      configure(connector.getSessionConfig());
      connector.setHandler(new Asking());
    }
    asking++;
    Question question = new Question(who, bytes);
    try {
      ConnectFuture future =
          connector.connect(to, (session, made) -> session.setAttribute(Question.class, question));
      future.addListener(
          (IoFutureListener<ConnectFuture>)
              done -> {
                if (done.getException() != null) {
                  timers.handOver(() -> question.end(Ending.UNREACHABLE));
                }
              });
    } catch (RuntimeException e) {
      timers.handOver(() -> question.end(Ending.UNREACHABLE));
    }
    return question::quit;
  }

  private final class Question {

    private final Waiting who;
    private final byte[] bytes;
    private IoSession session;
    private boolean over;

    Question(Waiting who, byte[] bytes) {
      this.who = who;
      this.bytes = bytes;
    }

    private void up(IoSession opened) {
      session = opened;
      if (over) {
        opened.closeNow();
      } else {
        opened.write(IoBuffer.wrap(bytes));
      }
    }

    private void quit() {
      if (!over) {
        over = true;
        asking--;
        if (session != null) {
          session.closeNow();
        }
      }
    }

    private void end(Ending ending) {
      if (!over) {
        quit();
        who.ended(ending);
      }
    }
  }

  private final class Asking extends IoHandlerAdapter {

    private Question of(IoSession session) {
      return (Question) session.getAttribute(Question.class);
    }

    @Override
    public void sessionOpened(IoSession session) {
      Question question = of(session);
      timers.handOver(() -> question.up(session));
    }

    @Override
    public void messageReceived(IoSession session, Object message) {
      Question question = of(session);
      handOver(
          message,
          bytes -> {
            if (!question.over) {
              question.who.came(bytes);
            }
          });
    }

    @Override
    public void exceptionCaught(IoSession session, Throwable cause) {
      Question question = of(session);
      // A network that is down on this side fails as IOException too; that is no other machine's
      // word.
      timers.handOver(
          () ->
              question.end(
                  cause instanceof PortUnreachableException ? Ending.REFUSED : Ending.UNREACHABLE));
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
