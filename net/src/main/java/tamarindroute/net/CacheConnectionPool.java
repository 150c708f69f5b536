package tamarindroute.net;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.apache.mina.core.buffer.IoBuffer;

/**
 * The connections to one cache, parent or origin. Sends each request once, on one of a few
 * connections; every outcome is left to the request's handler to judge.
 */
public final class CacheConnectionPool {

  /**
   * With fewer pending requests, a connection also takes the next one: a new connection costs the
   * cache a handshake and a place in its table, and the request one to three round trips. Not more
   * than this while another connection can be opened, since a connection that breaks costs all its
   * requests.
   */
  private static final int MAX_SHARED_REQUESTS = 4;

  /**
   * Limits from the settings.
   *
   * @param maxConnections to the cache
   * @param maxRequestsPerConnection pending at the same time
   * @param connectTimeout for a connection to be established
   * @param idleTimeout after which the cache closes a connection; zero for never
   */
  public record Limits(
      int maxConnections,
      int maxRequestsPerConnection,
      Duration connectTimeout,
      Duration idleTimeout) {}

  private final SocketTransport transport;
  private final Scheduler scheduler;
  private final InetSocketAddress address;
  private final String cacheId;
  private final Limits limits;
  private final DuplicateResponseDetector duplicates = new DuplicateResponseDetector();
  private final List<CacheConnection> connections = new ArrayList<>();
  private boolean shutDown;

  /**
   * Creates a pool without connections.
   *
   * @param transport that opens connections
   * @param scheduler the event loop
   * @param cacheId for the log
   * @param address of the cache
   * @param limits for the connections
   */
  public CacheConnectionPool(
      SocketTransport transport,
      Scheduler scheduler,
      String cacheId,
      InetSocketAddress address,
      Limits limits) {
    this.transport = transport;
    this.scheduler = scheduler;
    this.cacheId = cacheId;
    this.address = address;
    this.limits = limits;
  }

  /** The address of the cache. */
  public InetSocketAddress address() {
    return address;
  }

  String cacheId() {
    return cacheId;
  }

  Limits limits() {
    return limits;
  }

  /** Whether {@link #shutDown} was called. */
  public boolean isShutDown() {
    return shutDown;
  }

  /**
   * Sends a request.
   *
   * @param id of the attempt, unique among those that are pending
   * @param fields evaluated when the request is written
   * @param body copied when the request is written
   * @param bodyLength in bytes
   * @param handler of the response
   * @return cancels the request, unless it is over
   */
  public Runnable send(
      String id,
      Supplier<String> fields,
      Iterable<IoBuffer> body,
      int bodyLength,
      ResponseHandler handler) {
    return send(id, PendingRequest.request(fields, body, bodyLength, handler));
  }

  /**
   * Sends a health check. The status of its response is READY or AILING, its fields hold the load
   * report.
   *
   * @param id unique among those that are pending
   * @param handler of the response
   * @return cancels the health check, unless it is over
   */
  public Runnable sendHealthCheck(String id, ResponseHandler handler) {
    return send(id, PendingRequest.healthCheck(handler));
  }

  private Runnable send(String id, PendingRequest request) {
    ResponseHandler handler = request.handler;
    CacheConnection connection = selectConnection(id, handler.usedConnections());
    handler.usedConnections().add(connection);
    connection.send(id, request);
    return () -> connection.cancel(id, handler);
  }

  /**
   * Closes connections as their last requests end, and those not established yet at once, since the
   * address may belong to another cache by now.
   */
  public void shutDown() {
    shutDown = true;
    List.copyOf(connections).forEach(CacheConnection::shutDown);
  }

  /** The connection has ended. */
  void remove(CacheConnection connection) {
    connections.remove(connection);
  }

  /**
   * The least busy connection, or a new one. A busy one is shared if there is no descriptor for a
   * new one.
   */
  private CacheConnection selectConnection(String id, UsedConnections used) {
    CacheConnection leastBusy = leastBusy(id, used);
    return leastBusy == null || isOverloaded(leastBusy) ? openConnection() : leastBusy;
  }

  private CacheConnection leastBusy(String id, UsedConnections used) {
    CacheConnection leastBusy = null;
    for (CacheConnection connection : List.copyOf(connections)) {
      if (connection.closeIfIdleTooLong() || !connection.accepts(id) || used.contains(connection)) {
        continue;
      }
      if (leastBusy == null || connection.pendingCount() < leastBusy.pendingCount()) {
        leastBusy = connection;
      }
    }
    return leastBusy;
  }

  private boolean isOverloaded(CacheConnection connection) {
    return connection.pendingCount() >= limits.maxRequestsPerConnection()
        || (connection.pendingCount() >= MAX_SHARED_REQUESTS
            && connections.size() < limits.maxConnections()
            && transport.canConnect());
  }

  private CacheConnection openConnection() {
    CacheConnection connection = new CacheConnection(this, transport, scheduler, duplicates);
    connections.add(connection);
    connection.connect();
    return connection;
  }
}
