package tamarindroute.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import tamarindroute.decision.Attempt;
import tamarindroute.decision.LoadReport;
import tamarindroute.decision.Outcome;
import tamarindroute.decision.Outcome.Detail;
import tamarindroute.decision.Outcome.Result;
import tamarindroute.decision.Request;
import tamarindroute.net.CacheConnectionPool;
import tamarindroute.net.CloseReason;
import tamarindroute.net.Connection;
import tamarindroute.net.ResponseHandler;
import tamarindroute.protocol.CacheResponse;

/**
 * Bytes of the cache protocol, as they stand on the sockets, and of the call that leads to them.
 */
@Timeout(30)
class CacheWireFormatTest extends WireFormatHarness {

  CacheWireFormatTest() throws IOException {}

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
  void healthCheckOfACacheHasItsBytes() throws Exception {
    CompletableFuture<CacheResponse> answer = new CompletableFuture<>();
    CacheConnectionPool connectionPool = connectionPool("s-3", cacheAddress());
    onLoop(
        () ->
            connectionPool.sendHealthCheck(
                "42",
                new ResponseHandler() {
                  private CacheResponse head;

                  @Override
                  public void onResponse(CacheResponse response, int bodyLength) {
                    head = response;
                  }

                  @Override
                  public void onBody(ByteBuffer part, Connection from) {}

                  @Override
                  public void onComplete() {
                    answer.complete(head);
                  }

                  @Override
                  public void onFailure(CloseReason closeReason, boolean written) {}
                }));
    cache = cacheServer.accept();
    cache.setSoTimeout(5_000);
    assertReads(cache, "*2\r\n$4\r\nINFO\r\n$2\r\n42\r\n");
    send(cache, "*3\r\n$2\r\n42\r\n$5\r\nREADY\r\n$10\r\nrep=util:1\r\n");
    CacheResponse response = answer.get(5, TimeUnit.SECONDS);
    assertThat(response.isHealthy()).isTrue();
    assertThat(response.loadReport()).contains(new LoadReport(1, Double.NaN));
  }
}
