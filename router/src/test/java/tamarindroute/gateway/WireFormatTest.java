package tamarindroute.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import tamarindroute.decision.Answer;
import tamarindroute.decision.Cache;
import tamarindroute.decision.Decisions;
import tamarindroute.decision.Load;
import tamarindroute.decision.Outcome;
import tamarindroute.decision.Outcome.Detail;
import tamarindroute.decision.Outcome.Result;
import tamarindroute.decision.Trip;
import tamarindroute.decision.View;
import tamarindroute.host.Clock;
import tamarindroute.host.Config;
import tamarindroute.host.Roster;
import tamarindroute.net.Asked;
import tamarindroute.net.CacheLine;
import tamarindroute.net.Connection;
import tamarindroute.net.Ending;
import tamarindroute.net.Pool;
import tamarindroute.net.Sockets;
import tamarindroute.protocol.Fields;

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
  private static final String LEAST_FIELDS =
      "rid=9b1f03aa5c7e2d41,budget=9000,obj=7f3a9c21e0b4d655,token=5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
  private static final String LEAST_ASKED =
      "*4\r\n$3\r\nASK\r\n$16\r\n9b1f03aa5c7e2d41\r\n$88\r\nlane=pick,"
          + "name=7f3a9c21e0b4d655,piece=0,ttl=TIME,dedupe=5c0f6e1a2b3d4c59a8b7c6d5e4f30211\r\n$0\r\n\r\n";

  private final Clock clock = new Clock();
  private final Pool pool = new Pool(64L * 1024 * 1024);
  private final Sockets sockets = new Sockets(clock, pool, 80);

  /** What the policy decides next, in order. */
  private final ArrayDeque<Function<View, Answer>> script = new ArrayDeque<>();

  private final BlockingQueue<View> routed = new ArrayBlockingQueue<>(10);
  private final BlockingQueue<Outcome> outcomes = new ArrayBlockingQueue<>(10);
  private final List<Load> loads = new ArrayList<>();
  private final Decisions policy =
      (Decisions)
          Proxy.newProxyInstance(
              Decisions.class.getClassLoader(),
              new Class<?>[] {Decisions.class},
              (proxy, method, arguments) -> {
                if (method.getReturnType() == boolean.class) {
                  return true;
                }
                if (arguments.length > 1 && arguments[1] instanceof Load load) {
                  loads.add(load);
                } else if (arguments.length > 1 && arguments[1] instanceof Trip trip) {
                  outcomes.add(trip.outcome);
                  return script.isEmpty()
                      ? new Answer.Termination()
                      : script.remove().apply((View) arguments[0]);
                } else if (arguments[0] instanceof View view
                    && method.getReturnType() == Answer.class) {
                  routed.add(view);
                  return script.remove().apply(view);
                }
                return null;
              });
  private final ServerSocket cacheServer = new ServerSocket(0);
  private Roster roster;
  private Chain chain;
  private Socket client;
  private Socket cache;

  WireFormatTest() throws IOException {}

  @BeforeEach
  void start() throws Exception {
    Config config = Config.read(Path.of("example/config.json").toString());
    InetSocketAddress listener;
    try (ServerSocket free = new ServerSocket(0)) {
      listener = new InetSocketAddress("127.0.0.1", free.getLocalPort());
    }
    cacheServer.setSoTimeout(5_000);
    roster =
        new Roster(config.settings(), List.of(policy), clock, (id, address) -> line(id, address));
    roster.read(
        "{\"n\":1,\"events\":[{\"n\":1,\"members\":{\"version\":1,\"full\":true,\"servers\":["
            + server("s-1", "edge")
            + ","
            + server("s-2", "parent")
            + "]}}]}");
    chain = onLoop(() -> new Chain(config.settings(), policy, clock, pool, roster));
    sockets.listen(listener, chain::takeIn);
    client = new Socket(listener.getAddress(), listener.getPort());
    client.setSoTimeout(5_000);
  }

  @AfterEach
  void end() throws Exception {
    sockets.shutDown();
    cacheServer.close();
    client.close();
    if (cache != null) {
      cache.close();
    }
  }

  private CacheLine line(String id, InetSocketAddress address) {
    return new CacheLine(
        sockets,
        clock,
        id,
        address,
        new CacheLine.Limits(1, 100, Duration.ofSeconds(2), Duration.ZERO));
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
    clock.handOver(
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
    return roster.caches().stream()
        .filter(one -> roster.id(one).equals(id))
        .findAny()
        .orElseThrow();
  }

  /** The plainest attempt: no fill, no copy kept. */
  private Answer plainAttempt() {
    return new Trip(cacheOf("s-1"), cacheOf("s-1"), 0, null, false, false, null);
  }

  private void decide(Function<View, Answer> decision) throws Exception {
    onLoop(() -> script.add(decision));
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
    send(client, call(LEAST_FIELDS, ""));
    cache = cacheServer.accept();
    cache.setSoTimeout(5_000);
    assertReads(cache, LEAST_ASKED);
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

  private Outcome outcome() throws Exception {
    return outcomes.poll(5, TimeUnit.SECONDS);
  }

  @Test
  void everyFieldOfACallAndOfAnAttemptHasItsBytes() throws Exception {
    decide(
        request ->
            new Trip(cacheOf("s-1"), cacheOf("s-2"), 2, Duration.ofDays(4000), true, true, null));
    send(client, call(FULL_FIELDS, "a\r\nbody"));
    cache = cacheServer.accept();
    cache.setSoTimeout(5_000);
    assertReads(
        cache,
        "*4\r\n$3\r\nASK\r\n$16\r\n9b1f03aa5c7e2d41\r\n$171\r\n"
            + "lane=pick,name=7f3a9c21e0b4d655,piece=3,ttl=TIME,dedupe=5c0f6e1a2b3d4c59a8b7c6d5e4f30211,"
            + "parent=s-2,shelf=2,accept=345600000000,hints=local+revalidate,got=4be0c1927d55a6f3\r\n"
            + "$7\r\na\r\nbody\r\n");
    View request = routed.poll(5, TimeUnit.SECONDS);
    assertThat(request.object).isEqualTo(0x7f3a9c21e0b4d655L);
    assertThat(request.part).isEqualTo(3);
    assertThat(request.group).isEqualTo(17);
    assertThat(request.kilobytes).isEqualTo(412.5);
    assertThat(request.cutOff.minus(request.arrived)).isEqualTo(Duration.ofNanos(9_000_500_000L));
    respond(
        "ACK",
        "why=filled,first=2.5,digest=4be0c1927d55a6f4,dated=1764576000123,rep=inflight:7;util:0.61",
        "some\r\nbytes");
    assertReads(
        client,
        "*4\r\n$1\r\n7\r\n$3\r\nACK\r\n$20\r\nver=4be0c1927d55a6f4\r\n$11\r\nsome\r\nbytes\r\n");
    Outcome outcome = outcome();
    assertThat(outcome.result()).isEqualTo(Result.HONOURED);
    assertThat(outcome.detail()).isEqualTo(Detail.FILLED);
    assertThat(outcome.sourceWait()).isEqualTo(Duration.ofNanos(2_500_000));
    assertThat(loads).containsExactly(new Load(0.61, 7));
  }

  @Test
  void longNamesOfALoadReportAreReadToo() throws Exception {
    startRequest();
    respond("AGAIN", "rep=outstanding:9;utilization:0.25", "");
    assertReads(client, "*4\r\n$1\r\n7\r\n$4\r\nFAIL\r\n$0\r\n\r\n$0\r\n\r\n");
    assertThat(loads).containsExactly(new Load(0.25, 9));
  }

  @ParameterizedTest
  @CsvSource({
    "NOENT, MISSED",
    "AGAIN, TURNED_AWAY",
    "EIO, ERRED",
    "STALE, EXPIRED",
    "NOMOD, ERRED",
    "ack, ERRED"
  })
  void everyStatusOfACacheIsDecoded(String status, Result result) throws Exception {
    startRequest();
    respond(status, "-", "");
    assertThat(outcome().result()).isEqualTo(result);
    assertReads(client, "*4\r\n$1\r\n7\r\n$4\r\nFAIL\r\n$0\r\n\r\n$0\r\n\r\n");
  }

  @ParameterizedTest
  @CsvSource({
    "hit, HIT",
    "filled, FILLED",
    "via_origin, FROM_ORIGIN",
    "joined, JOINED",
    "stale, OLD",
    "src_refused, SOURCE_REFUSED",
    "src_broke, SOURCE_FAILED",
    "src_lacks, SOURCE_LACKS",
    "no_slot, NO_ROOM_FOR_FILL",
    "origin_failed, ORIGIN_FAILED",
    "other, UNTOLD"
  })
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
    send(client, call(LEAST_FIELDS + ",ver=4be0c1927d55a6f3", ""));
    cache = cacheServer.accept();
    cache.setSoTimeout(5_000);
    assertReads(
        cache,
        LEAST_ASKED.replace("$88", "$109").replace("0211\r\n", "0211,got=4be0c1927d55a6f3\r\n"));
    respond("NOMOD", "why=hit,digest=4be0c1927d55a6f3,dated=1764576000123", "");
    assertReads(
        client,
        "*4\r\n$1\r\n7\r\n$3\r\nACK\r\n$32\r\nunchanged=1,ver=4be0c1927d55a6f3\r\n$0\r\n\r\n");
    assertThat(outcome().result()).isEqualTo(Result.HONOURED);
  }

  @Test
  void cancelOfTheClientIsACancelAtTheCache() throws Exception {
    startRequest();
    send(client, "*2\r\n$10\r\nRPC.CANCEL\r\n$1\r\n7\r\n");
    assertReads(cache, "*2\r\n$4\r\nQUIT\r\n$16\r\n9b1f03aa5c7e2d41\r\n");
    assertThat(outcome().result()).isEqualTo(Result.RECALLED);
  }

  @Test
  void rejectionsHaveTheirBytes() throws Exception {
    decide(request -> new Answer.Dismissal(Duration.ofMillis(250)));
    send(client, call(LEAST_FIELDS, ""));
    assertReads(client, "*4\r\n$1\r\n7\r\n$3\r\nNAK\r\n$11\r\nbackoff=250\r\n$0\r\n\r\n");
    decide(request -> new Answer.Dismissal(Duration.ofNanos(1)));
    send(client, call(LEAST_FIELDS, ""));
    assertReads(client, "*4\r\n$1\r\n7\r\n$3\r\nNAK\r\n$9\r\nbackoff=1\r\n$0\r\n\r\n");
    decide(request -> new Answer.Dismissal(null));
    send(client, call(LEAST_FIELDS, ""));
    assertReads(client, "*4\r\n$1\r\n7\r\n$3\r\nNAK\r\n$0\r\n\r\n$0\r\n\r\n");
    send(client, call(LEAST_FIELDS.replace("budget", "bugdet"), ""));
    assertReads(client, "*4\r\n$1\r\n7\r\n$3\r\nNAK\r\n$0\r\n\r\n$0\r\n\r\n");
  }

  @Test
  void healthCheckHasItsBytes() throws Exception {
    send(client, "*3\r\n$10\r\nRPC.HEALTH\r\n$1\r\n8\r\n$0\r\n\r\n");
    assertReads(client, "*4\r\n$1\r\n8\r\n$3\r\nRED\r\n$0\r\n\r\n$0\r\n\r\n");
    onLoop(
        () -> {
          chain.ready(true);
          return null;
        });
    send(client, "*2\r\n$10\r\nRPC.HEALTH\r\n$1\r\n9\r\n");
    assertReads(client, "*4\r\n$1\r\n9\r\n$5\r\nGREEN\r\n$0\r\n\r\n$0\r\n\r\n");
  }

  @Test
  void probeOfACacheHasItsBytes() throws Exception {
    CompletableFuture<String> answer = new CompletableFuture<>();
    CacheLine line = line("s-3", new InetSocketAddress("127.0.0.1", cacheServer.getLocalPort()));
    onLoop(
        () ->
            line.probe(
                "42",
                new Asked() {
                  private String words;

                  @Override
                  public void answered(String word, Fields fields, int length) {
                    words = word + " " + fields.text("rep");
                  }

                  @Override
                  public void body(ByteBuffer part, Connection from) {}

                  @Override
                  public void whole() {
                    answer.complete(words);
                  }

                  @Override
                  public void ended(Ending ending, boolean written) {}
                }));
    cache = cacheServer.accept();
    cache.setSoTimeout(5_000);
    assertReads(cache, "*2\r\n$4\r\nINFO\r\n$2\r\n42\r\n");
    send(cache, "*3\r\n$2\r\n42\r\n$5\r\nREADY\r\n$10\r\nrep=util:1\r\n");
    assertThat(answer.get(5, TimeUnit.SECONDS)).isEqualTo("READY util:1");
  }
}
