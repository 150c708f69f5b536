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
 * Plays requests through a pipeline of its own, over connections of this gateway to itself, so that
 * the code is compiled before the first client comes. The real policy, endpoints and caches take no
 * part.
 */
final class WarmUp {

  /** Names the warm-up in its calls and in the copies that its cache serves. */
  static final String MARKER = "warm-up";

  /** Length of a response's body, in bytes. */
  static final int BODY_LENGTH = 12_000;

  /** Three times the compiler's threshold that deploy/serve.sh sets. */
  private static final int REQUEST_COUNT = 150;

  /** A restart must be quick, on a slow machine too. */
  private static final Duration TIME_LIMIT = Duration.ofSeconds(1);

  /** Connections of the warm-up may still arrive so long after its end. */
  private static final Duration STRAGGLER_TIME = Duration.ofSeconds(1);

  private final EventLoop eventLoop;
  private final SocketTransport transport;
  private final InetSocketAddress ownAddress;
  private final List<String> requestClassNames;
  private final Runnable whenDone;

  /** Null once the warm-up is done: with a long list it weighs as much as the real one. */
  private RequestPipeline pipeline;

  private WarmUpClient client;
  private boolean done;
  private boolean complete;

  /**
   * Creates a warm-up.
   *
   * @param pipeline one of its own, whose endpoints are all this gateway itself
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
      // Reported where the real endpoints are read.
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

  /** Whether every connection that comes is a client's. */
  boolean isComplete() {
    return complete;
  }

  /** Whether no further request is played; connections of the warm-up may still come. */
  boolean isDone() {
    return done;
  }

  /** Requests that were answered. */
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
   * Handler of a new connection, which may be a client's or one of the warm-up's own.
   *
   * @param clientHandler creates the handler of a client's connection
   */
  ConnectionHandler identify(
      Connection connection, Function<Connection, ConnectionHandler> clientHandler) {
    return new ConnectionClassifier(this, eventLoop, connection, clientHandler);
  }

  /** Handler of the gateway's side of the warm-up client's connection. */
  ConnectionHandler acceptClient(Connection connection) {
    return pipeline.acceptClient(connection);
  }
}
