package tamarindroute.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static tamarindroute.example.ToyServer.paddedHex;

import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import tamarindroute.example.ToyServer;
import tamarindroute.example.ToyServer.CacheBehavior;

/** Caches that fail, fall silent or send too much, and clients that read too slowly. */
@Timeout(60)
class CacheFailureIT extends GatewayHarness {

  /**
   * Whatever the caches do, each request gets one whole response in its time, and the gateway goes
   * on.
   */
  @ParameterizedTest
  @EnumSource(CacheBehavior.class)
  void eachRequestGetsOneResponseWhateverTheCachesDo(CacheBehavior mode) throws Exception {
    caches.forEach(cache -> cache.behavior = mode);
    try (ToyServer.Client client = client()) {
      for (int tag = 1; tag <= 20; tag++) {
        client.call(
            String.valueOf(tag), tag % 5 == 0 ? "once" : "clip", callFields("a" + tag, 700), "");
      }
      List<String> open = new ArrayList<>();
      long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(700 + 300);
      for (int i = 0; i < 20; i++) {
        List<byte[]> response = client.readResponse();
        assertThat(open).doesNotContain(tag(response));
        open.add(tag(response));
        assertThat(status(response)).isIn("ACK", "NAK", "FAIL");
        if (mode == CacheBehavior.SERVE) {
          assertThat(status(response)).isEqualTo("ACK");
        }
      }
      assertThat(System.nanoTime()).isLessThan(end);
    }
    assertThat(gateway.isAlive()).isTrue();
  }

  @Test
  void refusedConnectionIsNoLossWhereAnotherCacheIsLeft() throws Exception {
    first.close();
    try (ToyServer.Client client = client()) {
      for (int tag = 1; tag <= 10; tag++) {
        assertThat(status(call(client, String.valueOf(tag), "b" + tag))).isEqualTo("ACK");
      }
    }
  }

  /** A machine that vanished leaves its connections open; only a new one shows that it is back. */
  @Test
  void silentConnectionIsNotUsedAgain() throws Exception {
    try (ToyServer.Client client = client()) {
      for (int tag = 1; tag <= 8; tag++) {
        assertThat(status(call(client, String.valueOf(tag), "f" + tag))).isEqualTo("ACK");
      }
      caches.forEach(ToyServer.Cache::silenceOpenConnections);
      for (int tag = 11; tag <= 18; tag++) {
        client.call(String.valueOf(tag), "clip", callFields("f" + tag, 200), "");
      }
      for (int i = 0; i < 8; i++) {
        client.readResponse();
      }
      List<String> words = new ArrayList<>();
      for (int tag = 21; tag <= 28; tag++) {
        words.add(status(call(client, String.valueOf(tag), "f" + tag)));
      }
      assertThat(words).contains("ACK");
    }
  }

  @Test
  void nonIdempotentRequestThatMayHaveRunIsNeitherRetriedNorRejected() throws Exception {
    caches.forEach(cache -> cache.behavior = CacheBehavior.RESET);
    try (ToyServer.Client client = client()) {
      client.call(
          "1",
          "once",
          "rid=%s,budget=900,obj=%s,piece=0,lot=1".formatted(paddedHex("e1"), paddedHex("5")),
          "x");
      assertThat(status(client.readResponse())).isEqualTo("FAIL");
    }
    long asks =
        caches.stream()
            .flatMap(cache -> cache.receivedCommands.stream())
            .filter(c -> c.startsWith("ASK " + paddedHex("e1")))
            .count();
    assertThat(asks).isEqualTo(1);
  }

  /**
   * Relayed as it comes, a broken response could only be ended by closing the client's connection.
   */
  @Test
  void largeResponseThatBreaksCostsNeitherConnectionNorOtherRequests() throws Exception {
    first.bodySize = 200_000;
    second.bodySize = 200_000;
    try (ToyServer.Client client = client()) {
      assertThat(call(client, "1", "5").get(3))
          .isEqualTo(ToyServer.contentOf(paddedHex("5"), 200_000));
      setMode(CacheBehavior.TRUNCATE);
      assertThat(status(call(client, "2", "5"))).isIn("FAIL", "NAK");
      setMode(CacheBehavior.SERVE);
      assertThat(call(client, "3", "5").get(3))
          .isEqualTo(ToyServer.contentOf(paddedHex("5"), 200_000));
    }
  }

  /** Partial responses that fill the buffer pool between them must not wait for each other. */
  @Test
  void manyLargeResponsesFitTheMinimumMemory() throws Exception {
    restartWithMinimumMemory();
    first.bodySize = 240_000;
    second.bodySize = 240_000;
    List<ToyServer.Client> clients = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      clients.add(client());
      for (int tag = 1; tag <= 6; tag++) {
        clients.get(i).call(String.valueOf(tag), "clip", callFields("5", 9000), "");
      }
    }
    int served = 0;
    for (ToyServer.Client client : clients) {
      for (int tag = 1; tag <= 6; tag++) {
        List<byte[]> response = client.readResponse();
        served += status(response).equals("ACK") ? 1 : 0;
        assertThat(status(response).equals("NAK") || response.get(3).length == 240_000).isTrue();
      }
      client.close();
    }
    assertThat(served).isGreaterThan(5);
    assertThat(Files.readString(folder.resolve("out.log"))).doesNotContain("defect");
  }

  /** Responses behind a stalled one would otherwise not come before their deadline. */
  @Test
  void stalledResponseCostsItsConnectionAndNoRequest() throws Exception {
    try (ToyServer.Client client = client()) {
      first.behavior = CacheBehavior.STALL_MIDWAY_ONCE;
      for (int tag = 1; tag <= 12; tag++) {
        client.call(String.valueOf(tag), "clip", callFields("5" + tag, 2500), "");
      }
      for (int tag = 1; tag <= 12; tag++) {
        assertThat(status(client.readResponse())).isEqualTo("ACK");
      }
    }
    assertThat(awaitLogged("STALLED")).isNotEmpty();
  }

  /** A client that reads nothing must not delay another one. */
  @Test
  void slowClientBlocksNoOther() throws Exception {
    first.bodySize = 240_000;
    second.bodySize = 240_000;
    try (ToyServer.Client slow = client();
        ToyServer.Client other = client()) {
      for (int tag = 1; tag <= 32; tag++) {
        slow.call(String.valueOf(tag), "clip", callFields("5", 2000), "");
      }
      for (int tag = 1; tag <= 20; tag++) {
        assertThat(call(other, String.valueOf(tag), "6").get(3)).hasSize(240_000);
      }
    }
  }
}
