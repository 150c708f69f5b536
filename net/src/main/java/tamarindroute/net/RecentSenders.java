package tamarindroute.net;

import java.net.SocketAddress;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.core.session.IoSessionRecycler;

/**
 * MINA's sessions by the senders of datagrams, bounded because forged senders would fill the
 * memory. The least recently used is closed for a new one; replies leave at once, so nothing of it
 * is under way.
 */
final class RecentSenders implements IoSessionRecycler {

  private static final int MAX_SENDERS = 1024;
  private static final float LOAD_FACTOR = 0.75f;

  private final Map<SocketAddress, IoSession> sessions =
      new LinkedHashMap<>(MAX_SENDERS, LOAD_FACTOR, true);

  @Override
  public synchronized void put(IoSession session) {
    sessions.put(session.getRemoteAddress(), session);
    if (sessions.size() > MAX_SENDERS) {
      closeLeastRecent();
    }
  }

  private void closeLeastRecent() {
    Iterator<IoSession> leastRecentFirst = sessions.values().iterator();
    IoSession evicted = leastRecentFirst.next();
    leastRecentFirst.remove();
    evicted.closeOnFlush();
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
