package tamarindroute.gateway;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.function.Function;
import tamarindroute.host.EventLoop;
import tamarindroute.host.PlatformConfiguration;
import tamarindroute.net.Connection;
import tamarindroute.net.ConnectionHandler;
import tamarindroute.net.SocketTransport;
import tamarindroute.protocol.MalformedMessageException;
import tamarindroute.settings.MalformedSettingsException;

/**
 * Sends requests through a separate pipeline, over connections of this gateway to itself, so that
 * the JIT compiler has compiled the code before the first client connects. The policy, endpoints
 * and caches that serve clients are not involved.
 */
final class WarmUp {

  /** Marks the warm-up's calls, and is the tag of the copies that its cache serves. */
  static final String MARKER = "warm-up";

  /** Length of a response's body, in bytes. */
  static final int BODY_LENGTH = 12_000;

  /** Three times the JIT compiler's threshold that deploy/serve.sh sets. */
  private static final int REQUEST_COUNT = 150;

  /** Limits the warm-up on a slow machine, since a restart must be quick. */
  private static final Duration TIME_LIMIT = Duration.ofSeconds(1);

  /** Time after the end of the warm-up in which its own connections may still arrive. */
  private static final Duration STRAGGLER_TIME = Duration.ofSeconds(1);

  /** Every third request to a stand-in cache is a miss. */
  private static final int MISS_INTERVAL = 3;

  private final EventLoop eventLoop;
  private final SocketTransport transport;
  private final InetSocketAddress ownAddress;
  private final List<String> requestClassNames;
  private final Runnable whenDone;

  /**
   * Null once the warm-up is done. With a long list of caches it takes as much memory as the
   * pipeline that serves clients.
   */
  private RequestPipeline pipeline;

  private WarmUpClient client;
  private boolean done;
  private boolean complete;
  private int cacheRequestCount;

  /**
   * Creates a warm-up.
   *
   * @param pipeline a separate pipeline, whose endpoints all lead to this gateway
   * @param whenDone called once, at the end
   */
  WarmUp(
      EventLoop eventLoop,
      SocketTransport transport,
      PlatformConfiguration configuration,
      RequestPipeline pipeline,
      Runnable whenDone)
      throws MalformedSettingsException {
    this.eventLoop = eventLoop;
    this.transport = transport;
    this.ownAddress = configuration.listen();
    this.requestClassNames = configuration.settings().requestClassNames();
    this.pipeline = pipeline;
    this.whenDone = whenDone;
    readEndpoints(configuration.bootstrapEvents());
  }

  private void readEndpoints(String bootstrapEvents) {
    try {
      if (!bootstrapEvents.isEmpty()) {
        pipeline.endpoints().onEvents(bootstrapEvents);
      }
    } catch (MalformedMessageException e) {
      // Reported when the gateway applies the same events to its endpoints.
    }
  }

  void start() {
    if (!pipeline.endpoints().listReceived() || requestClassNames.isEmpty()) {
      finish();
      return;
    }
    eventLoop.schedule(TIME_LIMIT, this::finish);
    client = new WarmUpClient(requestClassNames, REQUEST_COUNT, this::finish);
    client.connect(transport, ownAddress);
  }

  /** Whether every new connection is a client's. */
  boolean isComplete() {
    return complete;
  }

  /** Whether the warm-up sends no more requests. Its connections may still arrive. */
  boolean isDone() {
    return done;
  }

  /** Returns the number of requests that were answered. */
  int completedRequests() {
    return client == null ? 0 : client.completedRequests();
  }

  private void finish() {
    if (done) {
      return;
    }
    done = true;
    eventLoop.schedule(STRAGGLER_TIME, () -> complete = true);
    if (client != null) {
      client.close();
    }
    pipeline.endpoints().shutDown();
    pipeline = null;
    whenDone.run();
  }

  /**
   * Returns the handler for a new connection, which may be a client's or the warm-up's.
   *
   * @param clientHandler creates the handler of a client's connection
   */
  ConnectionHandler identify(
      Connection connection, Function<Connection, ConnectionHandler> clientHandler) {
    return new ConnectionClassifier(this, eventLoop, connection, clientHandler);
  }

  /**
   * Whether the next request to a stand-in cache is a miss. Counted over all their connections: a
   * request that must not be repeated takes a new one after each miss, and would never be served if
   * the first on each were a miss.
   */
  boolean nextRequestMisses() {
    cacheRequestCount++;
    return cacheRequestCount % MISS_INTERVAL == 0;
  }

  /** Returns the handler for the gateway's side of the warm-up client's connection. */
  ConnectionHandler acceptClient(Connection connection) {
    return pipeline.acceptClient(connection);
  }
}
