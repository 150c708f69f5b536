package tamarindroute.net;

import java.util.HashSet;
import java.util.Set;

/** The connections to caches that this process opened, within their share of file descriptors. */
final class OutboundConnections {

  private final int maxConnections;
  private final Set<Connection> open = new HashSet<>();

  /** Those that MINA is still establishing. */
  private final Set<Connection> connecting = new HashSet<>();

  /**
   * Those of them that were closed here meanwhile: each holds a descriptor until MINA is done with
   * it.
   */
  private final Set<Connection> abandoned = new HashSet<>();

  /** Creates an empty set that may use this many descriptors. */
  OutboundConnections(int maxConnections) {
    this.maxConnections = maxConnections;
  }

  /** Whether one more can be opened, if need be after an idle one was closed. */
  boolean canConnect() {
    return hasDescriptor() || IdleConnections.longestIdle(open.stream()) != null;
  }

  private boolean hasDescriptor() {
    return open.size() + abandoned.size() < maxConnections;
  }

  /**
   * Adds a connection that is to be opened, and closes an idle one if need be; false if there is no
   * descriptor.
   */
  boolean add(Connection connection) {
    if (!hasDescriptor()) {
      Connection idle = IdleConnections.longestIdle(open.stream());
      if (idle == null) {
        return false;
      }
      idle.close(CloseReason.CLOSED_LOCALLY, true);
    }
    open.add(connection);
    connecting.add(connection);
    return true;
  }

  /** MINA has established the connection or failed to. */
  void onConnectEnded(Connection connection) {
    connecting.remove(connection);
    abandoned.remove(connection);
  }

  /** The connection has ended for its handler. */
  void onConnectionClosed(Connection connection) {
    open.remove(connection);
    if (connecting.contains(connection)) {
      abandoned.add(connection);
    }
  }
}
