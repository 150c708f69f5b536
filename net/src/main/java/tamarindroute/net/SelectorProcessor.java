package tamarindroute.net;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.transport.socket.nio.NioProcessor;
import org.apache.mina.transport.socket.nio.NioSession;

/**
 * MINA's selector loop with four corrections: the interest in reads and writes changes on the
 * selector's thread only, a connection is read only if the transport admits it, the buffer of a
 * read that ends in a reset is freed, and the output of a connection can be shut down alone. Public
 * with a public constructor because MINA creates it by reflection.
 */
public final class SelectorProcessor extends NioProcessor {

  private final Queue<NioSession> changedSessions = new ConcurrentLinkedQueue<>();

  /** Creates the processor; called by MINA. */
  public SelectorProcessor(Executor executor) {
    super(executor);
  }

  /**
   * Defers the update to the selector's thread. MINA reads and sets a session's interest in two
   * steps, on whichever thread suspends or resumes reads; if the selector's thread does the same
   * for writes at that moment, one update is lost and the connection hangs.
   */
  @Override
  public void updateTrafficControl(NioSession session) {
    changedSessions.add(session);
    wakeup();
  }

  @Override
  protected boolean isReadable(NioSession session) {
    return super.isReadable(session)
        && !session.isReadSuspended()
        && ((SocketTransport) session.getHandler()).admitsRead(session);
  }

  /** Frees the buffer if the read fails, which MINA does only for reads that return no bytes. */
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
      if (Connection.of(next).inputDiscarder().claimOutputShutdown()) {
        shutDownOutput(next);
      }
    }
    return selected;
  }

  /** MINA has no half-close and hides the channel, but the selector's keys hold it. */
  private void shutDownOutput(NioSession session) {
    for (SelectionKey key : selector.keys()) {
      if (key.attachment() == session) {
        shutDownOutput((SocketChannel) key.channel());
        return;
      }
    }
  }

  private static void shutDownOutput(SocketChannel channel) {
    try {
      channel.shutdownOutput();
    } catch (IOException e) {
      // The other side is gone, which MINA notices by itself.
    }
  }
}
