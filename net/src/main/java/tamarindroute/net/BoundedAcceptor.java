package tamarindroute.net;

import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import org.apache.mina.core.service.IoHandler;
import org.apache.mina.core.service.IoProcessor;
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;
import tamarindroute.log.Log;

/**
 * MINA's acceptor with a bound on accepted connections. It has a thread of its own, which in a rush
 * of clients is far ahead of the event loop and would use up all file descriptors; connections
 * beyond the bound are closed at once.
 */
final class BoundedAcceptor extends NioSocketAcceptor {

  /**
   * Clients close idle connections after 4 s; one that is silent for so much longer has vanished.
   */
  private static final int CLIENT_IDLE_SECONDS = 30;

  /**
   * Connections that the operating system queues while this process is slow to accept; the
   * platform's maximum.
   */
  private static final int LISTEN_BACKLOG = 1024;

  private final ClientConnections clients;

  BoundedAcceptor(IoProcessor<NioSession> processor, ClientConnections clients, IoHandler handler) {
    super(processor);
    this.clients = clients;
    setHandler(handler);
    SocketOptions.configureInbound(getSessionConfig());
    getSessionConfig().setReaderIdleTime(CLIENT_IDLE_SECONDS);
    setReuseAddress(true);
    // Clients that are connected are served on after the listening socket was closed.
    setCloseOnDeactivation(false);
    setBacklog(LISTEN_BACKLOG);
  }

  @Override
  protected NioSession accept(
      IoProcessor<NioSession> sessionProcessor, ServerSocketChannel listener) throws Exception {
    if (!clients.mayAccept()) {
      closeNext(listener);
      return null;
    }
    NioSession session = super.accept(sessionProcessor, listener);
    if (session != null) {
      clients.onAccepted();
    }
    return session;
  }

  private void closeNext(ServerSocketChannel listener) throws Exception {
    SocketChannel excess = listener.accept();
    if (excess != null) {
      Log.info(
          "listener-overrun",
          clients.sessionCount() + " client connections, a new one closed unseen");
      excess.close();
    }
  }
}
