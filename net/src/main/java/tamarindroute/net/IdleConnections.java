package tamarindroute.net;

import java.util.Comparator;
import java.util.stream.Stream;

/** Selects the connection to close when another one needs its file descriptor. */
final class IdleConnections {

  private IdleConnections() {}

  /** The connection that has been idle for longest; null if all are in use. */
  static Connection longestIdle(Stream<Connection> connections) {
    return connections
        .filter(connection -> connection.handler.idleSince() != null)
        .min(Comparator.comparing(connection -> connection.handler.idleSince()))
        .orElse(null);
  }
}
