package tamarindroute.net;

import java.net.InetSocketAddress;
import java.net.PortUnreachableException;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.future.IoFutureListener;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.service.SimpleIoProcessorPool;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioDatagramConnector;
import org.apache.mina.transport.socket.nio.NioProcessor;
import org.apache.mina.transport.socket.nio.NioSession;

/** Queries by datagram: each is sent from a fresh port, on which its replies are awaited. */
final class DatagramQueries extends IoHandlerAdapter {

  /** Each pending query holds a socket. */
  private static final int MAX_PENDING_QUERIES = 128;

  private final Scheduler scheduler;
  private final DatagramQueue queue;
  private NioDatagramConnector connector;
  private int pendingCount;

  DatagramQueries(Scheduler scheduler, DatagramQueue queue) {
    this.scheduler = scheduler;
    this.queue = queue;
  }

  /** See {@link DatagramTransport#query}. */
  Runnable send(InetSocketAddress target, byte[] bytes, DatagramTransport.ReplyHandler handler) {
    if (pendingCount >= MAX_PENDING_QUERIES) {
      scheduler.execute(() -> handler.onClosed(CloseReason.NO_DESCRIPTOR));
      return () -> {};
    }
    pendingCount++;
    PendingQuery query = new PendingQuery(handler, bytes);
    try {
      openSession(target, query);
    } catch (RuntimeException e) {
      scheduler.execute(() -> query.fail(CloseReason.UNREACHABLE));
    }
    return query::cancel;
  }

  private void openSession(InetSocketAddress target, PendingQuery query) {
    ConnectFuture future =
        connector()
            .connect(target, (session, made) -> session.setAttribute(PendingQuery.class, query));
    future.addListener(
        (IoFutureListener<ConnectFuture>)
            done -> {
              if (done.getException() != null) {
                scheduler.execute(() -> query.fail(CloseReason.UNREACHABLE));
              }
            });
  }

  private NioDatagramConnector connector() {
    if (connector == null) {
      connector =
          new NioDatagramConnector(new SimpleIoProcessorPool<NioSession>(NioProcessor.class, 1));
      DatagramTransport.configure(connector.getSessionConfig());
      connector.setHandler(this);
    }
    return connector;
  }

  private static PendingQuery queryOf(IoSession session) {
    return (PendingQuery) session.getAttribute(PendingQuery.class);
  }

  @Override
  public void sessionOpened(IoSession session) {
    PendingQuery query = queryOf(session);
    scheduler.execute(() -> query.onSessionOpened(session));
  }

  @Override
  public void messageReceived(IoSession session, Object message) {
    queue.add((IoBuffer) message, queryOf(session)::onReply);
  }

  @Override
  public void exceptionCaught(IoSession session, Throwable cause) {
    PendingQuery query = queryOf(session);
    // Any other exception, also an IOException, may come from this machine's own network.
    CloseReason closeReason =
        cause instanceof PortUnreachableException ? CloseReason.REFUSED : CloseReason.UNREACHABLE;
    scheduler.execute(() -> query.fail(closeReason));
  }

  /** Closes all sockets and ends MINA's threads. */
  void shutDown() {
    if (connector != null) {
      connector.dispose(false);
    }
  }

  /** One query; confined to the event loop. */
  private final class PendingQuery {

    private final DatagramTransport.ReplyHandler handler;
    private final byte[] bytes;
    private IoSession session;
    private boolean finished;

    PendingQuery(DatagramTransport.ReplyHandler handler, byte[] bytes) {
      this.handler = handler;
      this.bytes = bytes;
    }

    void onSessionOpened(IoSession opened) {
      session = opened;
      if (finished) {
        opened.closeNow();
      } else {
        opened.write(IoBuffer.wrap(bytes));
      }
    }

    void onReply(byte[] reply) {
      if (!finished) {
        handler.onReply(reply);
      }
    }

    void cancel() {
      if (finished) {
        return;
      }
      finished = true;
      pendingCount--;
      if (session != null) {
        session.closeNow();
      }
    }

    void fail(CloseReason closeReason) {
      if (!finished) {
        cancel();
        handler.onClosed(closeReason);
      }
    }
  }
}
