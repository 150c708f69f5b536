package tamarindroute.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import tamarindroute.decision.Attempt;
import tamarindroute.decision.Cache;
import tamarindroute.decision.Decision;
import tamarindroute.decision.Outcome.Result;
import tamarindroute.decision.Request;
import tamarindroute.decision.RoutingPolicy;
import tamarindroute.host.EndpointRegistry;
import tamarindroute.host.EventLoop;
import tamarindroute.host.PlatformConfiguration;
import tamarindroute.net.BufferPool;
import tamarindroute.net.CacheConnectionPool;
import tamarindroute.net.CloseReason;
import tamarindroute.net.Connection;
import tamarindroute.net.ResponseHandler;
import tamarindroute.net.Scheduler;
import tamarindroute.net.SocketTransport;
import tamarindroute.protocol.FieldList;
import tamarindroute.protocol.RespReader;
import tamarindroute.protocol.RespWriter;

/**
 * Two ends of one request in one turn of the owner's thread, each order forced: the thread is held
 * while both are handed over to it, and goes on only then. The client and the caches are this
 * test's sockets; the stages, the connections and the buffers between them are the gateway's own,
 * the module is a script.
 */
@Timeout(30)
class RequestRaceTest {

  private static final String COPY = "4be0c1927d55a6f3";
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

  /** Less than any other end of what waits for a connection here, and much more than 50 ms. */
  private static final Duration PROMPTLY = Duration.ofSeconds(1);

  /** For ends that no deadline shall meet. */
  private static final int LONG_BUDGET_MILLIS = 3000;

  private final EventLoop eventLoop = new EventLoop();

  /** A permit for each task that MINA's thread has handed over. */
  private final Semaphore handOvers = new Semaphore(0);

  private final Scheduler owner =
      new Scheduler() {
        @Override
        public Duration now() {
          return eventLoop.now();
        }

        @Override
        public void execute(Runnable task) {
          eventLoop.execute(task);
          handOvers.release();
        }

        @Override
        public Runnable schedule(Duration span, Runnable task) {
          return eventLoop.schedule(span, task);
        }
      };
  private final BufferPool bufferPool = new BufferPool(64L * 1024 * 1024);

  /** The limit leaves each side eight descriptors. */
  private final SocketTransport transport = new SocketTransport(owner, bufferPool, 80);

  private final List<AutoCloseable> closing = new ArrayList<>();

  /**
   * The module's words, in the order in which they are wanted; what it was told. All on the owner's
   * thread.
   */
  private final ArrayDeque<Function<Request, Decision>> decisions = new ArrayDeque<>();

  private final List<Request> routedRequests = new ArrayList<>();
  private final List<Result> reportedResults = new ArrayList<>();
  private final RoutingPolicy policy =
      (RoutingPolicy)
          Proxy.newProxyInstance(
              RoutingPolicy.class.getClassLoader(),
              new Class<?>[] {RoutingPolicy.class},
              (proxy, method, arguments) ->
                  switch (method.getName()) {
                    case "route" -> {
                      routedRequests.add((Request) arguments[0]);
                      yield decisions.remove().apply((Request) arguments[0]);
                    }
                    case "onOutcome" -> {
                      reportedResults.add(((Attempt) arguments[1]).outcome.result());
                      yield decisions.isEmpty()
                          ? new Decision.Fail()
                          : decisions.remove().apply((Request) arguments[0]);
                    }
                    case "mayStillSend" -> true;
                    default -> null;
                  });
  private final ServerSocketChannel firstCache = server();
  private final ServerSocketChannel secondCache = server();
  private InetSocketAddress listener;
  private EndpointRegistry endpoints;
  private RequestPipeline pipeline;
  private int idleBufferCapacity;

  RequestRaceTest() throws IOException {}

  private ServerSocketChannel server() throws IOException {
    ServerSocketChannel server =
        ServerSocketChannel.open().bind(new InetSocketAddress("127.0.0.1", 0), 200);
    server.socket().setSoTimeout(5_000);
    closing.add(server);
    return server;
  }

  private static InetSocketAddress address(ServerSocket server) {
    return new InetSocketAddress("127.0.0.1", server.getLocalPort());
  }

  private void start(InetSocketAddress one, InetSocketAddress other) throws Exception {
    PlatformConfiguration configuration =
        PlatformConfiguration.read(Path.of("example/config.json").toString());
    try (ServerSocket free = new ServerSocket(0)) {
      listener = address(free);
    }
    endpoints =
        new EndpointRegistry(
            configuration.settings(),
            List.of(policy),
            eventLoop,
            (id, address) -> connectionPool(id, address));
    endpoints.onEvents(
        "{\"n\":1,\"events\":[{\"n\":1,\"members\":{\"version\":1,\"full\":true,\"servers\":["
            + serverEntry("s-1", one)
            + ","
            + serverEntry("s-2", other)
            + "]}}]}");
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

  private void start() throws Exception {
    start(address(firstCache.socket()), address(secondCache.socket()));
  }

  private static String serverEntry(String id, InetSocketAddress at) {
    return "{\"id\":\""
        + id
        + "\",\"addr\":\"127.0.0.1:"
        + at.getPort()
        + "\",\"zone\":\"shed\",\"kind\":\"edge\","
        + "\"cell\":0,\"state\":\"ready\",\"weight\":40,\"started_ms\":0}";
  }

  private CacheConnectionPool connectionPool(String id, InetSocketAddress at) {
    return new CacheConnectionPool(
        transport,
        owner,
        id,
        at,
        new CacheConnectionPool.Limits(1, 100, CONNECT_TIMEOUT, Duration.ZERO));
  }

  @AfterEach
  void end() throws Exception {
    transport.shutDown();
    for (AutoCloseable one : closing) {
      one.close();
    }
  }

  /** Attempt at the cache of this id. */
  private Decision attempt(String id) {
    Cache cache =
        endpoints.caches().stream()
            .filter(one -> endpoints.id(one).equals(id))
            .findAny()
            .orElseThrow();
    return new Attempt(cache, cache, 1, null, false, false, null);
  }

  private <T> T onEventLoop(Supplier<T> work) throws Exception {
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

  /** Holds the owner's thread, from its turn in the queue to the release. */
  private final class EventLoopHold {

    private final CountDownLatch started = new CountDownLatch(1);
    private final CountDownLatch released = new CountDownLatch(1);

    EventLoopHold() {
      eventLoop.execute(
          () -> {
            started.countDown();
            await(released);
          });
    }

    /** Held, and nothing waits behind it yet that this test has not put there. */
    EventLoopHold awaitHeld() {
      await(started);
      handOvers.drainPermits();
      return this;
    }

    void release() {
      released.countDown();
    }
  }

  private static void await(CountDownLatch latch) {
    try {
      assertThat(latch.await(10, TimeUnit.SECONDS)).isTrue();
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** MINA's thread has handed over one more task. */
  private void awaitHandOver() throws Exception {
    assertThat(handOvers.tryAcquire(5, TimeUnit.SECONDS)).as("handed over").isTrue();
  }

  private void spinUntilAfter(Duration time) {
    while (eventLoop.now().compareTo(time) <= 0) {
      Thread.onSpinWait();
    }
  }

  /** How many buffers more there is room for. */
  private int freeBuffers() {
    int count = 0;
    while (bufferPool.hasCapacityFor((long) (count + 1) * BufferPool.BUFFER_BYTES)) {
      count++;
    }
    return count;
  }

  /** Nothing is in hand, the module was told just this, and in a moment all buffers are back. */
  private void assertNothingLeft(Result... results) throws Exception {
    assertThat(onEventLoop(() -> List.copyOf(reportedResults))).containsExactly(results);
    assertThat(pipeline.inFlight()).isZero();
    Duration waitUntil = eventLoop.now().plusSeconds(5);
    while (freeBuffers() < idleBufferCapacity && eventLoop.now().compareTo(waitUntil) < 0) {
      onEventLoop(() -> null);
    }
    assertThat(freeBuffers()).as("room for buffers").isEqualTo(idleBufferCapacity);
  }

  /** One side of a connection, read frame by frame; a read waits 5 s at most. */
  private final class WireConnection {

    private final Socket socket;
    private final RespReader reader = new RespReader(3, 4096, 256 * 1024);
    private final ByteBuffer bytes = ByteBuffer.allocate(64 * 1024).limit(0);

    WireConnection(Socket socket) throws IOException {
      this.socket = socket;
      socket.setSoTimeout(5_000);
      socket.setTcpNoDelay(true);
      closing.add(socket);
    }

    /** The next frame's first two words; "end" where the other side has closed. */
    String readFrame() throws Exception {
      while (true) {
        // A frame without a body ends with nothing more to be read.
        RespReader.Step step = reader.next(bytes);
        if (step == RespReader.Step.END) {
          return reader.arguments().get(0) + " " + reader.arguments().get(1);
        }
        if (step == RespReader.Step.NEED_MORE_BYTES) {
          int count = socket.getInputStream().read(bytes.array());
          if (count < 0) {
            return "end";
          }
          bytes.clear().limit(count);
        }
      }
    }

    void send(String... words) throws IOException {
      socket.getOutputStream().write(RespWriter.frame(words));
    }

    /** A frame with a body. */
    void sendWithBody(String body, String... words) throws IOException {
      socket
          .getOutputStream()
          .write(
              (new String(RespWriter.frameHeader(body.length(), words).array()) + body + "\r\n")
                  .getBytes());
    }

    void call(String tag, int budget) throws IOException {
      sendWithBody(
          "body",
          "RPC.CALL",
          tag,
          "clip",
          new FieldList()
              .with("rid", "9b1f03aa5c7e2d4" + tag)
              .with("obj", "7f3a9c21e0b4d655")
              .with("budget", budget)
              .format("-"));
    }

    /** The cache's answer to that request. */
    void respond(String tag) throws IOException {
      respond(tag, "ACK");
    }

    void respond(String tag, String status) throws IOException {
      sendWithBody(
          "what was asked for",
          "9b1f03aa5c7e2d4" + tag,
          status,
          new FieldList().with("digest", COPY).format("-"));
    }

    /** The answer's beginning and a part of its body. */
    void respondPartially(String tag) throws IOException {
      socket
          .getOutputStream()
          .write(RespWriter.frameHeader(100, "9b1f03aa5c7e2d4" + tag, "ACK", "-").array());
      socket.getOutputStream().write(new byte[50]);
    }

    /** Whatever was owed before this has been written before its answer. */
    void assertFramesAre(String... frames) throws Exception {
      for (String frame : frames) {
        assertThat(readFrame()).isEqualTo(frame);
      }
      send("RPC.HEALTH", "9");
      assertThat(readFrame()).isEqualTo("9 RED");
    }

    void fin() throws IOException {
      socket.shutdownOutput();
    }

    void reset() throws IOException {
      socket.setSoLinger(true, 0);
      socket.close();
    }
  }

  private WireConnection connectClient() throws Exception {
    WireConnection client =
        new WireConnection(new Socket(listener.getAddress(), listener.getPort()));
    client.assertFramesAre();
    return client;
  }

  private WireConnection accepted(ServerSocketChannel at) throws IOException {
    return new WireConnection(at.socket().accept());
  }

  /** A dial of this machine's to itself is up in the system before it returns. */
  private static void assertNotDialled(ServerSocketChannel server) throws IOException {
    server.configureBlocking(false);
    assertThat(server.accept()).isNull();
  }

  /** A cache whose machine lets no connection come up: its queue is full of this test's own. */
  private InetSocketAddress unreachableCache() throws IOException {
    ServerSocket full = new ServerSocket(0, 1);
    closing.add(full);
    assertThatThrownBy(
            () -> {
              while (true) {
                Socket one = new Socket();
                closing.add(one);
                one.connect(address(full), 200);
              }
            })
        .isInstanceOf(SocketTimeoutException.class);
    return address(full);
  }

  /** What the module says to the next questions. */
  @SafeVarargs
  private void willDecide(Function<Request, Decision>... next) throws Exception {
    onEventLoop(() -> decisions.addAll(List.of(next)));
  }

  /** A client, and its request as the first cache has it. */
  private WireConnection startRequest(WireConnection client, int budget) throws Exception {
    willDecide(request -> attempt("s-1"));
    client.call("1", budget);
    WireConnection cache = accepted(firstCache);
    assertThat(cache.readFrame()).isEqualTo("ASK 9b1f03aa5c7e2d41");
    return cache;
  }

  @Test
  void deadlineThenResponse() throws Exception {
    start();
    WireConnection client = connectClient();
    WireConnection cache = startRequest(client, 300);
    EventLoopHold hold = new EventLoopHold().awaitHeld();
    cache.respond("1");
    awaitHandOver();
    spinUntilAfter(routedRequests.get(0).deadline);
    hold.release();
    client.assertFramesAre("1 FAIL");
    assertThat(cache.readFrame()).isEqualTo("QUIT 9b1f03aa5c7e2d41");
    assertNothingLeft(Result.TIMED_OUT);
  }

  @Test
  void responseThenDeadline() throws Exception {
    start();
    WireConnection client = connectClient();
    WireConnection cache = startRequest(client, 1000);
    EventLoopHold hold = new EventLoopHold().awaitHeld();
    cache.respond("1");
    awaitHandOver();
    EventLoopHold after = new EventLoopHold();
    assertThat(eventLoop.now()).as("in time").isLessThan(routedRequests.get(0).deadline);
    hold.release();
    await(after.started);
    spinUntilAfter(routedRequests.get(0).deadline);
    after.release();
    client.assertFramesAre("1 ACK");
    assertNothingLeft(Result.SERVED);
  }

  @Test
  void cancelThenResponse() throws Exception {
    start();
    WireConnection client = connectClient();
    WireConnection cache = startRequest(client, LONG_BUDGET_MILLIS);
    EventLoopHold hold = new EventLoopHold().awaitHeld();
    client.send("RPC.CANCEL", "1");
    awaitHandOver();
    cache.respond("1");
    awaitHandOver();
    hold.release();
    client.assertFramesAre();
    assertThat(cache.readFrame()).isEqualTo("QUIT 9b1f03aa5c7e2d41");
    assertNothingLeft(Result.CANCELLED);
  }

  /**
   * Nothing is left under the tag, which serves again, and the cache gets no word for what it has
   * answered.
   */
  @Test
  void responseThenCancel() throws Exception {
    start();
    WireConnection client = connectClient();
    WireConnection cache = startRequest(client, LONG_BUDGET_MILLIS);
    EventLoopHold hold = new EventLoopHold().awaitHeld();
    cache.respond("1");
    awaitHandOver();
    client.send("RPC.CANCEL", "1");
    awaitHandOver();
    hold.release();
    client.assertFramesAre("1 ACK");
    willDecide(request -> attempt("s-1"));
    client.call("1", LONG_BUDGET_MILLIS);
    assertThat(cache.readFrame()).isEqualTo("ASK 9b1f03aa5c7e2d41");
    cache.respond("1");
    client.assertFramesAre("1 ACK");
    assertNothingLeft(Result.SERVED, Result.SERVED);
  }

  /** What has come of the answer by then goes nowhere, and its buffers are others'. */
  @Test
  void partialResponseThenDeadline() throws Exception {
    start();
    WireConnection client = connectClient();
    WireConnection cache = startRequest(client, 300);
    EventLoopHold hold = new EventLoopHold().awaitHeld();
    cache.respondPartially("1");
    awaitHandOver();
    EventLoopHold after = new EventLoopHold();
    hold.release();
    await(after.started);
    spinUntilAfter(routedRequests.get(0).deadline);
    after.release();
    client.assertFramesAre("1 FAIL");
    assertNothingLeft(Result.TIMED_OUT);
  }

  @Test
  void partialResponseThenCancel() throws Exception {
    start();
    WireConnection client = connectClient();
    WireConnection cache = startRequest(client, LONG_BUDGET_MILLIS);
    EventLoopHold hold = new EventLoopHold().awaitHeld();
    cache.respondPartially("1");
    awaitHandOver();
    client.send("RPC.CANCEL", "1");
    awaitHandOver();
    hold.release();
    client.assertFramesAre();
    assertThat(cache.readFrame()).isEqualTo("QUIT 9b1f03aa5c7e2d41");
    assertNothingLeft(Result.CANCELLED);
  }

  @Test
  void finThenResponse() throws Exception {
    start();
    WireConnection client = connectClient();
    WireConnection cache = startRequest(client, LONG_BUDGET_MILLIS);
    EventLoopHold hold = new EventLoopHold().awaitHeld();
    client.fin();
    awaitHandOver();
    cache.respond("1");
    awaitHandOver();
    hold.release();
    assertThat(client.readFrame()).isEqualTo("1 ACK");
    assertThat(client.readFrame()).isEqualTo("end");
    assertNothingLeft(Result.SERVED);
  }

  @Test
  void responseThenFin() throws Exception {
    start();
    WireConnection client = connectClient();
    WireConnection cache = startRequest(client, LONG_BUDGET_MILLIS);
    EventLoopHold hold = new EventLoopHold().awaitHeld();
    cache.respond("1");
    awaitHandOver();
    client.fin();
    awaitHandOver();
    hold.release();
    assertThat(client.readFrame()).isEqualTo("1 ACK");
    assertThat(client.readFrame()).isEqualTo("end");
    assertNothingLeft(Result.SERVED);
  }

  /**
   * What waits for its connection ends long before that is given up, and the module's next attempt
   * is not begun.
   */
  @Test
  void finWhileAnAttemptWaitsForItsConnection() throws Exception {
    start(unreachableCache(), address(secondCache.socket()));
    WireConnection client = connectClient();
    willDecide(
        request -> attempt("s-1"), request -> attempt("s-2"), request -> new Decision.Reject(null));
    Duration startedAt = eventLoop.now();
    client.call("1", LONG_BUDGET_MILLIS);
    client.fin();
    assertThat(client.readFrame()).isEqualTo("1 NAK");
    assertThat(client.readFrame()).isEqualTo("end");
    assertThat(eventLoop.now().minus(startedAt)).isLessThan(PROMPTLY);
    assertNothingLeft(Result.NOT_SENT, Result.NOT_SENT);
    assertNotDialled(secondCache);
  }

  /**
   * Nobody may be there any more: the module's next attempt is not begun, though 50 ms have not
   * passed.
   */
  @Test
  void finThenRejection() throws Exception {
    start();
    WireConnection client = connectClient();
    WireConnection cache = startRequest(client, LONG_BUDGET_MILLIS);
    willDecide(request -> attempt("s-2"), request -> new Decision.Reject(null));
    EventLoopHold hold = new EventLoopHold().awaitHeld();
    client.fin();
    awaitHandOver();
    cache.respond("1", "AGAIN");
    awaitHandOver();
    hold.release();
    assertThat(client.readFrame()).isEqualTo("1 NAK");
    assertThat(client.readFrame()).isEqualTo("end");
    assertNothingLeft(Result.REJECTED, Result.NOT_SENT);
    assertNotDialled(secondCache);
  }

  @Test
  void resetBeforeTheRequestIsAdmitted() throws Exception {
    start();
    WireConnection client = connectClient();
    willDecide(request -> attempt("s-1"));
    EventLoopHold hold = new EventLoopHold().awaitHeld();
    client.call("1", LONG_BUDGET_MILLIS);
    awaitHandOver();
    client.reset();
    awaitHandOver();
    hold.release();
    assertNothingLeft();
    assertThat(onEventLoop(() -> List.copyOf(routedRequests))).isEmpty();
    assertNotDialled(firstCache);
  }

  /** The module names a further attempt at the deadline: told as not sent, and never begun. */
  @Test
  void deadlineThenNextAttempt() throws Exception {
    start();
    WireConnection client = connectClient();
    willDecide(
        request -> attempt("s-1"), request -> attempt("s-2"), request -> new Decision.Wait());
    client.call("1", 300);
    WireConnection cache = accepted(firstCache);
    assertThat(cache.readFrame()).isEqualTo("ASK 9b1f03aa5c7e2d41");
    client.assertFramesAre("1 FAIL");
    assertThat(cache.readFrame()).isEqualTo("QUIT 9b1f03aa5c7e2d41");
    assertNothingLeft(Result.TIMED_OUT, Result.NOT_SENT);
    assertNotDialled(secondCache);
  }

  @Test
  void deadlineOfAnUnwrittenAttempt() throws Exception {
    start(unreachableCache(), address(secondCache.socket()));
    WireConnection client = connectClient();
    willDecide(request -> attempt("s-1"));
    client.call("1", 300);
    client.assertFramesAre("1 FAIL");
    assertNothingLeft(Result.NOT_SENT);
  }

  @Test
  void cancelOfAnUnwrittenAttempt() throws Exception {
    start(unreachableCache(), address(secondCache.socket()));
    WireConnection client = connectClient();
    willDecide(request -> attempt("s-1"));
    client.call("1", LONG_BUDGET_MILLIS);
    client.send("RPC.CANCEL", "1");
    client.assertFramesAre();
    assertNothingLeft(Result.NOT_SENT);
  }

  /** What became of a request that a line was asked. */
  private static final class RecordingHandler implements ResponseHandler {

    private final CompletableFuture<String> completion = new CompletableFuture<>();

    @Override
    public void onResponse(String word, FieldList fields, int length) {}

    @Override
    public void onBody(ByteBuffer part, Connection from) {}

    @Override
    public void onComplete() {
      completion.complete("whole");
    }

    @Override
    public void onFailure(CloseReason closeReason, boolean written) {
      completion.complete(closeReason.toString());
    }

    String awaitCompletion() throws Exception {
      return completion.get(5, TimeUnit.SECONDS);
    }
  }

  /** One more request of this tag, on the owner's thread. */
  private static Runnable sendRequest(
      CacheConnectionPool connectionPool, String tag, RecordingHandler waiting) {
    return connectionPool.send("9b1f03aa5c7e2d4" + tag, () -> "-", List.of(), 0, waiting);
  }

  /**
   * All eight connections are up; in one turn the longest idle are lent, then another cache wants
   * one.
   */
  @Test
  void connectionInUseIsNotEvicted() throws Exception {
    List<CacheConnectionPool> lines = new ArrayList<>();
    List<WireConnection> caches = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      CacheConnectionPool connectionPool = connectionPool("s-" + i, address(firstCache.socket()));
      RecordingHandler up = new RecordingHandler();
      onEventLoop(() -> sendRequest(connectionPool, "1", up));
      WireConnection cache = accepted(firstCache);
      assertThat(cache.readFrame()).isEqualTo("ASK 9b1f03aa5c7e2d41");
      cache.respond("1");
      assertThat(up.awaitCompletion()).isEqualTo("whole");
      lines.add(connectionPool);
      caches.add(cache);
    }
    CacheConnectionPool other = connectionPool("s-8", address(secondCache.socket()));
    CacheConnectionPool waitUntil = connectionPool("s-9", address(secondCache.socket()));
    List<RecordingHandler> lent = new ArrayList<>();
    RecordingHandler evicting = new RecordingHandler();
    RecordingHandler tooMany = new RecordingHandler();
    onEventLoop(
        () -> {
          for (int i = 0; i < 7; i++) {
            lent.add(new RecordingHandler());
            sendRequest(lines.get(i), "2", lent.get(i));
          }
          sendRequest(other, "2", evicting);
          return sendRequest(waitUntil, "2", tooMany);
        });
    assertThat(caches.get(7).readFrame()).as("the one idle").isEqualTo("end");
    assertThat(tooMany.awaitCompletion()).isEqualTo("NO_DESCRIPTOR");
    for (int i = 0; i < 7; i++) {
      assertThat(caches.get(i).readFrame()).isEqualTo("ASK 9b1f03aa5c7e2d42");
      caches.get(i).respond("2");
      assertThat(lent.get(i).awaitCompletion()).isEqualTo("whole");
    }
    WireConnection cache = accepted(secondCache);
    assertThat(cache.readFrame()).isEqualTo("ASK 9b1f03aa5c7e2d42");
    cache.respond("2");
    assertThat(evicting.awaitCompletion()).isEqualTo("whole");
  }

  @Test
  void requestCancelledBeforeItsConnectionIsUp() throws Exception {
    CacheConnectionPool connectionPool = connectionPool("s-1", address(firstCache.socket()));
    RecordingHandler after = new RecordingHandler();
    onEventLoop(
        () -> {
          sendRequest(connectionPool, "1", new RecordingHandler()).run();
          return sendRequest(connectionPool, "2", after);
        });
    WireConnection cache = accepted(firstCache);
    assertThat(cache.readFrame()).isEqualTo("ASK 9b1f03aa5c7e2d42");
    cache.respond("2");
    assertThat(after.awaitCompletion()).isEqualTo("whole");
  }

  /** Another is open there, or a connection that has said nothing since would be closed with it. */
  @Test
  void requestCancelledOnAnOpenConnection() throws Exception {
    CacheConnectionPool connectionPool = connectionPool("s-1", address(firstCache.socket()));
    RecordingHandler open = new RecordingHandler();
    onEventLoop(() -> sendRequest(connectionPool, "1", open));
    WireConnection cache = accepted(firstCache);
    assertThat(cache.readFrame()).isEqualTo("ASK 9b1f03aa5c7e2d41");
    RecordingHandler givenUp = new RecordingHandler();
    onEventLoop(
        () -> {
          sendRequest(connectionPool, "2", givenUp).run();
          return null;
        });
    assertThat(cache.readFrame()).isEqualTo("ASK 9b1f03aa5c7e2d42");
    assertThat(cache.readFrame()).isEqualTo("QUIT 9b1f03aa5c7e2d42");
    cache.respond("2");
    cache.respond("1");
    assertThat(open.awaitCompletion()).isEqualTo("whole");
    assertThat(givenUp.completion).isNotDone();
  }
}
