package tamarindroute.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import tamarindroute.decision.Attempt;
import tamarindroute.decision.Cache;
import tamarindroute.decision.Decision;
import tamarindroute.decision.Outcome;
import tamarindroute.decision.Outcome.Result;
import tamarindroute.decision.Request;
import tamarindroute.host.EndpointRegistry;
import tamarindroute.host.EventLoop;
import tamarindroute.host.PlatformConfiguration;
import tamarindroute.net.BufferPool;
import tamarindroute.net.CacheConnectionPool;
import tamarindroute.net.SocketTransport;

/**
 * The gateway's pipeline, connections and buffers, between a client and two caches that are sockets
 * of the test, with a scripted policy. The event loop can be held while tasks are handed over to
 * it, so that their order is the test's.
 */
abstract class PipelineHarness {

  static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

  final EventLoop eventLoop = new EventLoop();

  final HoldableScheduler scheduler = new HoldableScheduler(eventLoop);

  private final BufferPool bufferPool = new BufferPool(64L * 1024 * 1024);

  /** The limit leaves each side eight descriptors. */
  private final SocketTransport transport = new SocketTransport(scheduler, bufferPool, 80);

  private final List<AutoCloseable> closing = new ArrayList<>();
  final ScriptedPolicy policy = new ScriptedPolicy();
  final ServerSocketChannel firstCache = server();
  final ServerSocketChannel secondCache = server();
  private InetSocketAddress listener;
  private EndpointRegistry endpoints;
  private RequestPipeline pipeline;
  private int idleBufferCapacity;

  PipelineHarness() throws IOException {}

  private ServerSocketChannel server() throws IOException {
    ServerSocketChannel server =
        ServerSocketChannel.open().bind(new InetSocketAddress("127.0.0.1", 0), 200);
    server.socket().setSoTimeout(5_000);
    closing.add(server);
    return server;
  }

  static InetSocketAddress address(ServerSocket server) {
    return new InetSocketAddress("127.0.0.1", server.getLocalPort());
  }

  /** Starts a pipeline whose caches are the two of the test. */
  void start() throws Exception {
    start(address(firstCache.socket()), address(secondCache.socket()));
  }

  void start(InetSocketAddress first, InetSocketAddress second) throws Exception {
    PlatformConfiguration configuration =
        PlatformConfiguration.read(Path.of("example/config.json").toString());
    try (ServerSocket free = new ServerSocket(0)) {
      listener = address(free);
    }
    endpoints =
        new EndpointRegistry(
            configuration.settings(), List.of(policy), eventLoop, this::connectionPool);
    endpoints.onEvents(
        EndpointList.of(
            EndpointList.entry("s-1", "edge", first), EndpointList.entry("s-2", "edge", second)));
    pipeline =
        onEventLoop(
            () -> {
              try {
                return new RequestPipeline(
                    configuration.settings(), policy, eventLoop, bufferPool, endpoints);
              } catch (IOException e) {
                throw new IllegalStateException(e);
              }
            });
    transport.listen(listener, pipeline::acceptClient);
    idleBufferCapacity = freeBuffers();
  }

  CacheConnectionPool connectionPool(String id, InetSocketAddress address) {
    return new CacheConnectionPool(
        transport,
        scheduler,
        id,
        address,
        new CacheConnectionPool.Limits(1, 100, CONNECT_TIMEOUT, Duration.ZERO));
  }

  @AfterEach
  void closeAll() throws Exception {
    transport.shutDown();
    for (AutoCloseable closeable : closing) {
      closeable.close();
    }
  }

  /** An attempt at the cache of this id. */
  Decision attempt(String id) {
    Cache cache =
        endpoints.caches().stream()
            .filter(candidate -> endpoints.id(candidate).equals(id))
            .findAny()
            .orElseThrow();
    return new Attempt(cache, cache, 1, null, false, false, null);
  }

  /** Scripts the policy's next decisions. */
  @SafeVarargs
  @SuppressWarnings("varargs")
  final void willDecide(Function<Request, Decision>... next) throws Exception {
    onEventLoop(() -> policy.decisions.addAll(List.of(next)));
  }

  <T> T onEventLoop(Supplier<T> work) throws Exception {
    CompletableFuture<T> done = new CompletableFuture<>();
    eventLoop.execute(
        () -> {
          try {
            done.complete(work.get());
          } catch (RuntimeException e) {
            done.completeExceptionally(e);
          }
        });
    return done.get(10, TimeUnit.SECONDS);
  }

  /** Holds the event loop's thread, from its turn in the queue to the release. */
  final class EventLoopHold {

    private final CountDownLatch started = new CountDownLatch(1);
    private final CountDownLatch released = new CountDownLatch(1);

    EventLoopHold() {
      eventLoop.execute(
          () -> {
            started.countDown();
            HoldableScheduler.await(released);
          });
    }

    /**
     * Returns when the thread is held and nothing waits behind it that the test has not put there.
     */
    EventLoopHold awaitHeld() {
      awaitStarted();
      scheduler.forgetHandOvers();
      return this;
    }

    void awaitStarted() {
      HoldableScheduler.await(started);
    }

    void release() {
      released.countDown();
    }
  }

  /** Returns when MINA's thread has handed over one more task. */
  void awaitHandOver() throws Exception {
    scheduler.awaitHandOver();
  }

  void spinUntilAfter(Duration time) {
    while (eventLoop.now().compareTo(time) <= 0) {
      Thread.onSpinWait();
    }
  }

  /** How many further buffers the pool would give. */
  private int freeBuffers() {
    int count = 0;
    while (bufferPool.hasCapacityFor((long) (count + 1) * BufferPool.BUFFER_BYTES)) {
      count++;
    }
    return count;
  }

  /**
   * Asserts that nothing is in flight, that these were all outcomes, and that soon all buffers are
   * back.
   */
  void assertNothingLeft(Result... results) throws Exception {
    assertThat(onEventLoop(() -> List.copyOf(policy.outcomes)))
        .extracting(Outcome::result)
        .containsExactly(results);
    assertThat(pipeline.inFlight()).isZero();
    Duration waitUntil = eventLoop.now().plusSeconds(5);
    while (freeBuffers() < idleBufferCapacity && eventLoop.now().compareTo(waitUntil) < 0) {
      onEventLoop(() -> null);
    }
    assertThat(freeBuffers()).as("free buffers").isEqualTo(idleBufferCapacity);
  }

  private WireConnection wire(Socket socket) throws IOException {
    closing.add(socket);
    return new WireConnection(socket);
  }

  WireConnection connectClient() throws Exception {
    WireConnection client = connectSilentClient();
    client.assertFramesAre();
    return client;
  }

  /** A client that has sent nothing. */
  WireConnection connectSilentClient() throws IOException {
    return wire(new Socket(listener.getAddress(), listener.getPort()));
  }

  /** Has all clients' connections closed once nothing is owed on them, as a shutdown does. */
  void drain() throws Exception {
    onEventLoop(
        () -> {
          pipeline.startDraining();
          transport.drainClients(() -> {});
          return null;
        });
  }

  WireConnection accept(ServerSocketChannel server) throws IOException {
    return wire(server.socket().accept());
  }

  /** Sends a call of tag 1 and returns its cache's connection, which has read the request. */
  WireConnection startRequest(WireConnection client, int budgetMillis) throws Exception {
    willDecide(request -> attempt("s-1"));
    client.call("1", budgetMillis);
    WireConnection cache = accept(firstCache);
    assertThat(cache.readFrame()).isEqualTo("ASK 9b1f03aa5c7e2d41");
    return cache;
  }

  /** A connection within this machine is up in the system before the connecting call returns. */
  static void assertNotConnectedTo(ServerSocketChannel server) throws IOException {
    server.configureBlocking(false);
    assertThat(server.accept()).isNull();
  }

  /** Address of a cache to which no connection comes up: its queue is full of the test's own. */
  InetSocketAddress unreachableCache() throws IOException {
    ServerSocket full = new ServerSocket(0, 1);
    closing.add(full);
    assertThatThrownBy(
            () -> {
              while (true) {
                Socket queued = new Socket();
                closing.add(queued);
                queued.connect(address(full), 200);
              }
            })
        .isInstanceOf(SocketTimeoutException.class);
    return address(full);
  }
}
