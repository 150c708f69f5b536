package tamarindroute.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import tamarindroute.decision.Attempt;
import tamarindroute.decision.Cache;
import tamarindroute.decision.Decision;
import tamarindroute.decision.LoadReport;
import tamarindroute.decision.Outcome;
import tamarindroute.decision.Outcome.Detail;
import tamarindroute.decision.Outcome.Result;
import tamarindroute.decision.Request;
import tamarindroute.host.EndpointRegistry;
import tamarindroute.host.EventLoop;
import tamarindroute.host.PlatformConfiguration;
import tamarindroute.net.BufferPool;
import tamarindroute.net.CacheConnectionPool;
import tamarindroute.net.CloseReason;
import tamarindroute.net.Connection;
import tamarindroute.net.ResponseHandler;
import tamarindroute.net.SocketTransport;
import tamarindroute.protocol.FieldList;

/**
 * Bytes of the client protocol and of the cache protocol, as they stand on the sockets: one client
 * and one cache of this test's own, the gateway's stages between them, and a policy that follows a
 * script.
 */
@Timeout(30)
class WireFormatTest {

  private static final String CALL = "*5\r\n$8\r\nRPC.CALL\r\n$1\r\n7\r\n$4\r\npick\r\n";
  private static final String FULL_FIELDS =
      "rid=9b1f03aa5c7e2d41,budget=9000.5,again=1,"
          + "token=5c0f6e1a2b3d4c59a8b7c6d5e4f30211,obj=7f3a9c21e0b4d655,piece=3,lot=17,mem=412.5,"
          + "ver=4be0c1927d55a6f3";
  private static final String MINIMAL_FIELDS =
      "rid=9b1f03aa5c7e2d41,budget=9000,obj=7f3a9c21e0b4d655,token=5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
  private static final String MINIMAL_ASK =
      "*4\r\n$3\r\nASK\r\n$16\r\n9b1f03aa5c7e2d41\r\n$88\r\nlane=pick,"
          + "name=7f3a9c21e0b4d655,piece=0,ttl=TIME,dedupe=5c0f6e1a2b3d4c59a8b7c6d5e4f30211\r\n$0\r\n\r\n";

  private final EventLoop eventLoop = new EventLoop();
  private final BufferPool bufferPool = new BufferPool(64L * 1024 * 1024);
  private final SocketTransport transport = new SocketTransport(eventLoop, bufferPool, 80);
  private final ScriptedPolicy policy = new ScriptedPolicy();
  private final ServerSocket cacheServer = new ServerSocket(0);
  private EndpointRegistry endpoints;
  private RequestPipeline pipeline;
  private Socket client;
  private Socket cache;

  WireFormatTest() throws IOException {}

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
        "{\"n\":1,\"events\":[{\"n\":1,\"members\":{\"version\":1,\"full\":true,\"servers\":["
            + server("s-1", "edge")
            + ","
            + server("s-2", "parent")
            + "]}}]}");
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

  private CacheConnectionPool connectionPool(String id, InetSocketAddress address) {
    return new CacheConnectionPool(
        transport,
        eventLoop,
        id,
        address,
        new CacheConnectionPool.Limits(1, 100, Duration.ofSeconds(2), Duration.ZERO));
  }

  private String server(String id, String kind) {
    return "{\"id\":\""
        + id
        + "\",\"addr\":\"127.0.0.1:"
        + cacheServer.getLocalPort()
        + "\",\"zone\":\"shed\",\"kind\":\""
        + kind
        + "\",\"cell\":0,\"state\":\"ready\",\"weight\":40,\"started_ms\":0}";
  }

  private interface Work<T> {
    T run() throws Exception;
  }

  private <T> T onLoop(Work<T> work) throws Exception {
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

  private Cache cacheOf(String id) {
    return endpoints.caches().stream()
        .filter(one -> endpoints.id(one).equals(id))
        .findAny()
        .orElseThrow();
  }

  /** The plainest attempt: no fill, no copy kept. */
  private Decision plainAttempt() {
    return new Attempt(cacheOf("s-1"), cacheOf("s-1"), 0, null, false, false, null);
  }

  private void decide(Function<Request, Decision> decision) throws Exception {
    onLoop(() -> policy.decisions.add(decision));
  }

  private static void send(Socket socket, String bytes) throws IOException {
    socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Reads as many bytes as are expected; the time left, which alone varies, is put as TIME. */
  private static void assertReads(Socket socket, String expected) throws IOException {
    byte[] bytes = socket.getInputStream().readNBytes(expected.length());
    String read = new String(bytes, StandardCharsets.ISO_8859_1);
    assertThat(read.replaceAll("ttl=(8[5-9]\\d\\d|9000)", "ttl=TIME")).isEqualTo(expected);
  }

  private static String call(String fields, String body) {
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
  private void startRequest() throws Exception {
    decide(request -> plainAttempt());
    send(client, call(MINIMAL_FIELDS, ""));
    cache = cacheServer.accept();
    cache.setSoTimeout(5_000);
    assertReads(cache, MINIMAL_ASK);
  }

  private void respond(String status, String fields, String body) throws IOException {
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
  private <T> T awaitFirst(List<T> recorded) throws Exception {
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

  private Outcome outcome() throws Exception {
    return awaitFirst(policy.outcomes);
  }

  @Test
  void everyFieldOfACallAndOfAnAttemptHasItsBytes() throws Exception {
    decide(
        request ->
            new Attempt(
                cacheOf("s-1"), cacheOf("s-2"), 2, Duration.ofDays(4000), true, true, null));
    send(client, call(FULL_FIELDS, "a\r\nbody"));
    cache = cacheServer.accept();
    cache.setSoTimeout(5_000);
    assertReads(
        cache,
        "*4\r\n$3\r\nASK\r\n$16\r\n9b1f03aa5c7e2d41\r\n$171\r\n"
            + "lane=pick,name=7f3a9c21e0b4d655,piece=3,ttl=TIME,dedupe=5c0f6e1a2b3d4c59a8b7c6d5e4f30211,"
            + "parent=s-2,shelf=2,accept=345600000000,hints=local+revalidate,got=4be0c1927d55a6f3\r\n"
            + "$7\r\na\r\nbody\r\n");
    Request request = awaitFirst(policy.routedRequests);
    assertThat(request.objectId).isEqualTo(0x7f3a9c21e0b4d655L);
    assertThat(request.part).isEqualTo(3);
    assertThat(request.purgeGroup).isEqualTo(17);
    assertThat(request.kilobytes).isEqualTo(412.5);
    assertThat(request.deadline.minus(request.arrivalTime))
        .isEqualTo(Duration.ofNanos(9_000_500_000L));
    respond(
        "ACK",
        "why=filled,first=2.5,digest=4be0c1927d55a6f4,dated=1764576000123,rep=inflight:7;util:0.61",
        "some\r\nbytes");
    assertReads(
        client,
        "*4\r\n$1\r\n7\r\n$3\r\nACK\r\n$20\r\nver=4be0c1927d55a6f4\r\n$11\r\nsome\r\nbytes\r\n");
    Outcome outcome = outcome();
    assertThat(outcome.result()).isEqualTo(Result.SERVED);
    assertThat(outcome.detail()).isEqualTo(Detail.FILLED);
    assertThat(outcome.sourceWait()).isEqualTo(Duration.ofNanos(2_500_000));
    assertThat(onLoop(() -> List.copyOf(policy.loadReports)))
        .containsExactly(new LoadReport(0.61, 7));
  }

  @Test
  void longNamesOfALoadReportAreReadToo() throws Exception {
    startRequest();
    respond("AGAIN", "rep=outstanding:9;utilization:0.25", "");
    assertReads(client, "*4\r\n$1\r\n7\r\n$4\r\nFAIL\r\n$0\r\n\r\n$0\r\n\r\n");
    assertThat(onLoop(() -> List.copyOf(policy.loadReports)))
        .containsExactly(new LoadReport(0.25, 9));
  }

  static List<Arguments> statuses() {
    return List.of(
        Arguments.of("NOENT", Result.MISS),
        Arguments.of("AGAIN", Result.REJECTED),
        Arguments.of("EIO", Result.FAILED),
        Arguments.of("STALE", Result.DEADLINE_EXCEEDED),
        Arguments.of("NOMOD", Result.FAILED),
        Arguments.of("ack", Result.FAILED));
  }

  @ParameterizedTest
  @MethodSource("statuses")
  void everyStatusOfACacheIsDecoded(String status, Result result) throws Exception {
    startRequest();
    respond(status, "-", "");
    assertThat(outcome().result()).isEqualTo(result);
    assertReads(client, "*4\r\n$1\r\n7\r\n$4\r\nFAIL\r\n$0\r\n\r\n$0\r\n\r\n");
  }

  static List<Arguments> notes() {
    return List.of(
        Arguments.of("hit", Detail.HIT),
        Arguments.of("filled", Detail.FILLED),
        Arguments.of("via_origin", Detail.FROM_ORIGIN),
        Arguments.of("joined", Detail.COALESCED),
        Arguments.of("stale", Detail.STALE),
        Arguments.of("src_refused", Detail.SOURCE_REFUSED),
        Arguments.of("src_broke", Detail.SOURCE_FAILED),
        Arguments.of("src_lacks", Detail.SOURCE_MISS),
        Arguments.of("no_slot", Detail.FILL_CAPACITY_EXHAUSTED),
        Arguments.of("origin_failed", Detail.ORIGIN_FAILED),
        Arguments.of("other", Detail.UNKNOWN));
  }

  @ParameterizedTest
  @MethodSource("notes")
  void everyNoteOfACacheIsDecoded(String note, Detail detail) throws Exception {
    startRequest();
    respond("EIO", "why=" + note, "");
    Outcome outcome = outcome();
    assertThat(outcome.detail()).isEqualTo(detail);
    assertThat(outcome.sourceWait()).isNull();
  }

  @Test
  void unmodifiedCopyHasItsBytes() throws Exception {
    decide(request -> plainAttempt());
    send(client, call(MINIMAL_FIELDS + ",ver=4be0c1927d55a6f3", ""));
    cache = cacheServer.accept();
    cache.setSoTimeout(5_000);
    assertReads(
        cache,
        MINIMAL_ASK.replace("$88", "$109").replace("0211\r\n", "0211,got=4be0c1927d55a6f3\r\n"));
    respond("NOMOD", "why=hit,digest=4be0c1927d55a6f3,dated=1764576000123", "");
    assertReads(
        client,
        "*4\r\n$1\r\n7\r\n$3\r\nACK\r\n$32\r\nunchanged=1,ver=4be0c1927d55a6f3\r\n$0\r\n\r\n");
    assertThat(outcome().result()).isEqualTo(Result.SERVED);
  }

  @Test
  void cancelOfTheClientIsACancelAtTheCache() throws Exception {
    startRequest();
    send(client, "*2\r\n$10\r\nRPC.CANCEL\r\n$1\r\n7\r\n");
    assertReads(cache, "*2\r\n$4\r\nQUIT\r\n$16\r\n9b1f03aa5c7e2d41\r\n");
    assertThat(outcome().result()).isEqualTo(Result.CANCELLED);
  }

  @Test
  void rejectionsHaveTheirBytes() throws Exception {
    decide(request -> new Decision.Reject(Duration.ofMillis(250)));
    send(client, call(MINIMAL_FIELDS, ""));
    assertReads(client, "*4\r\n$1\r\n7\r\n$3\r\nNAK\r\n$11\r\nbackoff=250\r\n$0\r\n\r\n");
    decide(request -> new Decision.Reject(Duration.ofNanos(1)));
    send(client, call(MINIMAL_FIELDS, ""));
    assertReads(client, "*4\r\n$1\r\n7\r\n$3\r\nNAK\r\n$9\r\nbackoff=1\r\n$0\r\n\r\n");
    decide(request -> new Decision.Reject(null));
    send(client, call(MINIMAL_FIELDS, ""));
    assertReads(client, "*4\r\n$1\r\n7\r\n$3\r\nNAK\r\n$0\r\n\r\n$0\r\n\r\n");
    send(client, call(MINIMAL_FIELDS.replace("budget", "bugdet"), ""));
    assertReads(client, "*4\r\n$1\r\n7\r\n$3\r\nNAK\r\n$0\r\n\r\n$0\r\n\r\n");
  }

  @Test
  void healthCheckHasItsBytes() throws Exception {
    send(client, "*3\r\n$10\r\nRPC.HEALTH\r\n$1\r\n8\r\n$0\r\n\r\n");
    assertReads(client, "*4\r\n$1\r\n8\r\n$3\r\nRED\r\n$0\r\n\r\n$0\r\n\r\n");
    onLoop(
        () -> {
          pipeline.setReady(true);
          return null;
        });
    send(client, "*2\r\n$10\r\nRPC.HEALTH\r\n$1\r\n9\r\n");
    assertReads(client, "*4\r\n$1\r\n9\r\n$5\r\nGREEN\r\n$0\r\n\r\n$0\r\n\r\n");
  }

  @Test
  void probeOfACacheHasItsBytes() throws Exception {
    CompletableFuture<String> answer = new CompletableFuture<>();
    CacheConnectionPool connectionPool =
        connectionPool("s-3", new InetSocketAddress("127.0.0.1", cacheServer.getLocalPort()));
    onLoop(
        () ->
            connectionPool.sendHealthCheck(
                "42",
                new ResponseHandler() {
                  private String words;

                  @Override
                  public void onResponse(String word, FieldList fields, int length) {
                    words = word + " " + fields.text("rep");
                  }

                  @Override
                  public void onBody(ByteBuffer part, Connection from) {}

                  @Override
                  public void onComplete() {
                    answer.complete(words);
                  }

                  @Override
                  public void onFailure(CloseReason closeReason, boolean written) {}
                }));
    cache = cacheServer.accept();
    cache.setSoTimeout(5_000);
    assertReads(cache, "*2\r\n$4\r\nINFO\r\n$2\r\n42\r\n");
    send(cache, "*3\r\n$2\r\n42\r\n$5\r\nREADY\r\n$10\r\nrep=util:1\r\n");
    assertThat(answer.get(5, TimeUnit.SECONDS)).isEqualTo("READY util:1");
  }
}
