package tamarindroute.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import tamarindroute.decision.Attempt;
import tamarindroute.decision.Cache;
import tamarindroute.decision.Decision;
import tamarindroute.decision.Outcome;
import tamarindroute.decision.Request;
import tamarindroute.host.EndpointRegistry;
import tamarindroute.host.EventLoop;
import tamarindroute.host.PlatformConfiguration;
import tamarindroute.net.BufferPool;
import tamarindroute.net.CacheConnectionPool;
import tamarindroute.net.SocketTransport;

/**
 * One client and one cache as sockets of the test, the gateway's pipeline between them, and a
 * scripted policy. Formats are written and read as literals.
 */
abstract class WireFormatHarness {

  private static final String CALL = "*5\r\n$8\r\nRPC.CALL\r\n$1\r\n7\r\n$4\r\npick\r\n";
  static final String FULL_FIELDS =
      "rid=9b1f03aa5c7e2d41,budget=9000.5,again=1,"
          + "token=5c0f6e1a2b3d4c59a8b7c6d5e4f30211,obj=7f3a9c21e0b4d655,piece=3,lot=17,mem=412.5,"
          + "ver=4be0c1927d55a6f3";
  static final String MINIMAL_FIELDS =
      "rid=9b1f03aa5c7e2d41,budget=9000,obj=7f3a9c21e0b4d655,token=5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
  static final String MINIMAL_ASK =
      "*4\r\n$3\r\nASK\r\n$16\r\n9b1f03aa5c7e2d41\r\n$88\r\nlane=pick,"
          + "name=7f3a9c21e0b4d655,piece=0,ttl=TIME,dedupe=5c0f6e1a2b3d4c59a8b7c6d5e4f30211\r\n$0\r\n\r\n";

  private final EventLoop eventLoop = new EventLoop();
  private final BufferPool bufferPool = new BufferPool(64L * 1024 * 1024);
  private final SocketTransport transport = new SocketTransport(eventLoop, bufferPool, 80);
  final ScriptedPolicy policy = new ScriptedPolicy();
  final ServerSocket cacheServer = new ServerSocket(0);
  EndpointRegistry endpoints;
  RequestPipeline pipeline;
  Socket client;
  Socket cache;

  WireFormatHarness() throws IOException {}

  @BeforeEach
  void start() throws Exception {
    PlatformConfiguration configuration =
        PlatformConfiguration.read(Path.of("example/config.json").toString());
    InetSocketAddress listener;
    try (ServerSocket free = new ServerSocket(0)) {
      listener = new InetSocketAddress("127.0.0.1", free.getLocalPort());
    }
    cacheServer.setSoTimeout(5_000);
    endpoints =
        new EndpointRegistry(
            configuration.settings(),
            List.of(policy),
            eventLoop,
            (id, address) -> connectionPool(id, address));
    endpoints.onEvents(
        EndpointList.of(
            EndpointList.entry("s-1", "edge", cacheAddress()),
            EndpointList.entry("s-2", "parent", cacheAddress())));
    pipeline =
        onLoop(
            () ->
                new RequestPipeline(
                    configuration.settings(), policy, eventLoop, bufferPool, endpoints));
    transport.listen(listener, pipeline::acceptClient);
    client = new Socket(listener.getAddress(), listener.getPort());
    client.setSoTimeout(5_000);
  }

  @AfterEach
  void end() throws Exception {
    transport.shutDown();
    cacheServer.close();
    client.close();
    if (cache != null) {
      cache.close();
    }
  }

  CacheConnectionPool connectionPool(String id, InetSocketAddress address) {
    return new CacheConnectionPool(
        transport,
        eventLoop,
        id,
        address,
        new CacheConnectionPool.Limits(1, 100, Duration.ofSeconds(2), Duration.ZERO));
  }

  InetSocketAddress cacheAddress() {
    return new InetSocketAddress("127.0.0.1", cacheServer.getLocalPort());
  }

  interface Work<T> {
    T run() throws Exception;
  }

  <T> T onLoop(Work<T> work) throws Exception {
    CompletableFuture<T> done = new CompletableFuture<>();
    eventLoop.execute(
        () -> {
          try {
            done.complete(work.run());
          } catch (Exception e) {
            done.completeExceptionally(e);
          }
        });
    return done.get(10, TimeUnit.SECONDS);
  }

  Cache cacheOf(String id) {
    return endpoints.caches().stream()
        .filter(one -> endpoints.id(one).equals(id))
        .findAny()
        .orElseThrow();
  }

  /** The plainest attempt: no fill, no copy kept. */
  Decision plainAttempt() {
    return new Attempt(cacheOf("s-1"), cacheOf("s-1"), 0, null, false, false, null);
  }

  void decide(Function<Request, Decision> decision) throws Exception {
    onLoop(() -> policy.decisions.add(decision));
  }

  static void send(Socket socket, String bytes) throws IOException {
    socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Reads as many bytes as are expected; the time left, which alone varies, is put as TIME. */
  static void assertReads(Socket socket, String expected) throws IOException {
    byte[] bytes = socket.getInputStream().readNBytes(expected.length());
    String read = new String(bytes, StandardCharsets.ISO_8859_1);
    assertThat(read.replaceAll("ttl=(8[5-9]\\d\\d|9000)", "ttl=TIME")).isEqualTo(expected);
  }

  static String call(String fields, String body) {
    return CALL
        + "$"
        + fields.length()
        + "\r\n"
        + fields
        + "\r\n$"
        + body.length()
        + "\r\n"
        + body
        + "\r\n";
  }

  /** Sends the least call; the cache's side has read its attempt when this returns. */
  void startRequest() throws Exception {
    decide(request -> plainAttempt());
    send(client, call(MINIMAL_FIELDS, ""));
    cache = cacheServer.accept();
    cache.setSoTimeout(5_000);
    assertReads(cache, MINIMAL_ASK);
  }

  void respond(String status, String fields, String body) throws IOException {
    send(
        cache,
        "*4\r\n$16\r\n9b1f03aa5c7e2d41\r\n$"
            + status.length()
            + "\r\n"
            + status
            + "\r\n$"
            + fields.length()
            + "\r\n"
            + fields
            + "\r\n$"
            + body.length()
            + "\r\n"
            + body
            + "\r\n");
  }

  /** The first that the policy records, on the event loop. */
  <T> T awaitFirst(List<T> recorded) throws Exception {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
    while (System.nanoTime() < deadline) {
      List<T> now = onLoop(() -> List.copyOf(recorded));
      if (!now.isEmpty()) {
        return now.get(0);
      }
      TimeUnit.MILLISECONDS.sleep(1);
    }
    throw new AssertionError("nothing was recorded");
  }

  Outcome outcome() throws Exception {
    return awaitFirst(policy.outcomes);
  }
}
