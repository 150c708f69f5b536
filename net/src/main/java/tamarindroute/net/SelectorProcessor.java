package tamarindroute.net;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.core.session.SessionState;
import org.apache.mina.transport.socket.nio.NioProcessor;
import org.apache.mina.transport.socket.nio.NioSession;

/**
 * MINA's selector loop with six corrections: the interest in reads changes on the selector's thread
 * only, and without that in writes; a connection is read only if the transport admits it, the
 * buffer of a read that ends in a reset is freed, the output of a connection can be shut down
 * alone, and a connection can be ended provided that it has no unread bytes. Public with a public
 * constructor because MINA creates it by reflection.
 */
public final class SelectorProcessor extends NioProcessor {

  /** Enough for the first bytes of a command, which tell its kind. */
  private static final int PROBE_BYTES = 256;

  private final Queue<NioSession> changedSessions = new ConcurrentLinkedQueue<>();
  private final SelectRounds rounds = new SelectRounds();

  /** Creates the processor; called by MINA. */
  public SelectorProcessor(Executor executor) {
    super(executor);
  }

  /**
   * On any thread: has the selector's thread look again at the session's interest and at the close
   * of its connection.
   */
  static void reconsider(IoSession session) {
    NioSession nioSession = (NioSession) session;
    nioSession.getProcessor().updateTrafficControl(nioSession);
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
        && ((SocketTransport) session.getHandler()).admitsRead(session, rounds);
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

  /**
   * Applies the changes before the selector is asked, since the last read before a close may empty
   * a connection: reported as readable before that, it would wait for a turn that it never takes.
   */
  @Override
  protected int select(long timeout) throws Exception {
    applyChanges();
    long startedAtNanos = System.nanoTime();
    int selected = super.select(timeout);
    rounds.onSelected(startedAtNanos);
    return selected;
  }

  /** A change that is added later wakes the selector, and is applied before its next round. */
  private void applyChanges() {
    for (NioSession next = changedSessions.poll(); next != null; next = changedSessions.poll()) {
      updateInterest(next);
      if (Connection.of(next).inputDiscarder().claimOutputShutdown() || confirmsClose(next)) {
        shutDownOutput(next);
      }
    }
  }

  /**
   * Sets the interest in reads alone. MINA would set that in writes, too, by whether writes are
   * queued, and stop a response of which a part was written and nothing is queued any more.
   */
  private void updateInterest(NioSession session) {
    boolean wasWatched = isInterestedInRead(session);
    try {
      setInterestedInRead(session, !session.isReadSuspended());
    } catch (Exception e) {
      session.getFilterChain().fireExceptionCaught(e);
    }
    if (!wasWatched && isInterestedInRead(session)) {
      Connection.of(session).inbound().unread().onReadsResumed(rounds);
    }
  }

  /**
   * Decides on a requested close. Nothing is read between this decision and the end of the output,
   * so that a request is either found here or crosses the close.
   */
  private boolean confirmsClose(NioSession session) {
    Connection connection = Connection.of(session);
    if (!connection.closeRequest().isDue() || !isActive(session)) {
      return false;
    }
    if (connection.inbound().hasUnhandledInput() || readsProbe(session)) {
      connection.closeRequest().decline();
      return false;
    }
    return connection.closeRequest().confirm();
  }

  private boolean isActive(NioSession session) {
    return getState(session) == SessionState.OPENED && !session.isClosing();
  }

  /** Reads and hands over a few bytes, whether or not the connection is to be read for now. */
  private boolean readsProbe(NioSession session) {
    IoBuffer probe = IoBuffer.allocate(PROBE_BYTES);
    try {
      if (read(session, probe) <= 0) {
        return false;
      }
    } catch (Exception e) {
      session.getFilterChain().fireExceptionCaught(e);
      return true;
    }
    Connection.of(session).inbound().unread().onReadable(rounds);
    session.getFilterChain().fireMessageReceived(probe.flip());
    return true;
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
