package tamarindroute.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.function.Consumer;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.DatagramSessionConfig;
import org.apache.mina.transport.socket.nio.NioDatagramAcceptor;
import tamarindroute.log.Log;

/**
 * UDP through MINA: datagrams received on local addresses and replied to from there, and queries
 * from fresh ports. Every datagram is handed over to the event loop, or dropped if too many wait
 * for it.
 */
public final class DatagramTransport {

  /**
   * Queries are small, and replies with EDNS rarely exceed 4 KB; the rest of a longer datagram is
   * cut off.
   */
  private static final int MAX_DATAGRAM_BYTES = 4096;

  /** Holds the datagrams of a pause of some tens of milliseconds. */
  private static final int KERNEL_BUFFER_BYTES = 1 << 20;

  /** Handles the datagrams received on a local address; called on the event loop. */
  public interface DatagramHandler {

    /**
     * A datagram was received.
     *
     * @param bytes of the datagram
     * @param sender of the datagram
     * @param receivedAt by the scheduler's clock
     * @param reply sends a datagram back to the sender
     */
    void onDatagram(
        byte[] bytes, InetSocketAddress sender, Duration receivedAt, Consumer<byte[]> reply);
  }

  /** Handles the replies to one query; called on the event loop. */
  public interface ReplyHandler {

    /** A datagram came from the address that the query was sent to. */
    void onReply(byte[] bytes);

    /** No reply can come any more: nobody listens there, or no socket was available. */
    void onClosed(CloseReason closeReason);
  }

  private final Scheduler scheduler;
  private final DatagramQueue queue;
  private final DatagramQueries queries;
  private NioDatagramAcceptor acceptor;

  /** Creates a transport without any sockets. */
  public DatagramTransport(Scheduler scheduler) {
    this.scheduler = scheduler;
    this.queue = new DatagramQueue(scheduler);
    this.queries = new DatagramQueries(scheduler, queue);
  }

  /** The number of datagrams dropped so far because too many waited for the event loop. */
  public int dropped() {
    return queue.dropped();
  }

  /**
   * Receives datagrams on an address. All addresses share the handler of the first.
   *
   * @throws IOException if the address cannot be listened on
   */
  public void listen(InetSocketAddress address, DatagramHandler handler) throws IOException {
    if (acceptor == null) {
      acceptor = newAcceptor(handler);
    }
    acceptor.bind(address);
  }

  private NioDatagramAcceptor newAcceptor(DatagramHandler handler) {
    NioDatagramAcceptor created = new NioDatagramAcceptor();
    created.setSessionRecycler(new RecentSenders());
    configure(created.getSessionConfig());
    created.getSessionConfig().setReceiveBufferSize(KERNEL_BUFFER_BYTES);
    created.getSessionConfig().setSendBufferSize(KERNEL_BUFFER_BYTES);
    created.getSessionConfig().setReuseAddress(false);
    created.setHandler(new ListenerSessionHandler(handler));
    return created;
  }

  /** Sets the sizes of MINA's read buffers. */
  static void configure(DatagramSessionConfig config) {
    config.setReadBufferSize(MAX_DATAGRAM_BYTES);
    config.setMaxReadBufferSize(MAX_DATAGRAM_BYTES);
    config.setMinReadBufferSize(MAX_DATAGRAM_BYTES);
  }

  private final class ListenerSessionHandler extends IoHandlerAdapter {

    private final DatagramHandler handler;

    ListenerSessionHandler(DatagramHandler handler) {
      this.handler = handler;
    }

    @Override
    public void messageReceived(IoSession session, Object message) {
      Duration receivedAt = scheduler.now();
      queue.add(
          (IoBuffer) message,
          bytes ->
              handler.onDatagram(
                  bytes,
                  (InetSocketAddress) session.getRemoteAddress(),
                  receivedAt,
                  reply -> session.write(IoBuffer.wrap(reply))));
    }

    @Override
    public void exceptionCaught(IoSession session, Throwable cause) {
      Log.info("net", cause);
    }
  }

  /** Sends a datagram from an address that is listened on; a failure is only logged. */
  public void send(InetSocketAddress source, InetSocketAddress target, byte[] bytes) {
    try {
      acceptor.newSession(target, source).write(IoBuffer.wrap(bytes));
    } catch (RuntimeException e) {
      Log.info("net", e);
    }
  }

  /**
   * Sends a datagram from a fresh port and awaits replies there.
   *
   * @return closes the port; the handler is not called any more
   */
  public Runnable query(InetSocketAddress target, byte[] bytes, ReplyHandler handler) {
    return queries.send(target, bytes, handler);
  }

  /** Closes all sockets and ends MINA's threads. */
  public void shutDown() {
    if (acceptor != null) {
      acceptor.dispose(false);
    }
    queries.shutDown();
  }
}
