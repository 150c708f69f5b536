package tamarindroute.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static tamarindroute.example.ToyServer.paddedHex;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import tamarindroute.example.ToyServer;
import tamarindroute.example.ToyServer.CacheBehavior;

/** Lists and purges of the control feed, its failures and its move. */
@Timeout(60)
class ControlFeedIT extends GatewayHarness {

  /** The platform's largest fleet. */
  private static final int MOST_CACHES = 3200;

  @Test
  void drainFromTheFeedIsKeptAndAReusedAddressIsAnotherCache() throws Exception {
    feed.publish(EDGE_EVENT.formatted("s-0000000a", first.port(), "draining"));
    nextCommand(feed.requests, "GET /v1/events?SUB=2");
    try (ToyServer.Client client = client()) {
      first.receivedCommands.clear();
      for (int tag = 1; tag <= 20; tag++) {
        assertThat(status(call(client, String.valueOf(tag), "c" + tag))).isEqualTo("ACK");
      }
      assertThat(first.receivedCommands).isEmpty();
      feed.publish(EDGE_EVENT.formatted("s-0000000a", first.port(), "gone"));
      feed.publish(EDGE_EVENT.formatted("s-0000000e", first.port(), "ready"));
      nextCommand(feed.requests, "GET /v1/events?SUB=4");
      for (int tag = 21; tag <= 60; tag++) {
        assertThat(status(call(client, String.valueOf(tag), "d" + tag))).isEqualTo("ACK");
      }
      assertThat(first.receivedCommands).isNotEmpty();
    }
  }

  @Test
  void purgeFromTheFeedBoundsTheAgeOfCopies() throws Exception {
    long at = System.currentTimeMillis();
    feed.publish("{\"n\":N,\"purge\":{\"key\":\"" + paddedHex("5") + "\",\"at\":" + at + "}}");
    feed.publish("{\"n\":N,\"purge\":{\"group\":40,\"at\":" + at + "}}");
    nextCommand(feed.requests, "GET /v1/events?SUB=3");
    try (ToyServer.Client client = client()) {
      call(client, "1", "5");
      client.call(
          "2",
          "clip",
          "rid=%s,budget=900,obj=%s,piece=0,lot=40".formatted(paddedHex("99"), paddedHex("6")),
          "");
      client.readResponse();
      call(client, "3", "7");
    }
    for (String object : List.of("5", "6", "7")) {
      String seen =
          caches.stream()
              .flatMap(cache -> cache.receivedCommands.stream())
              .filter(command -> command.contains("name=" + paddedHex(object) + ","))
              .findFirst()
              .orElseThrow();
      Matcher age = Pattern.compile("accept=([0-9]+)").matcher(seen);
      assertThat(age.find()).as(seen).isEqualTo(!object.equals("7"));
      if (!object.equals("7")) {
        assertThat(Long.parseLong(age.group(1))).isBetween(1L, System.currentTimeMillis() - at);
      }
    }
  }

  /**
   * Malformed responses, a gap, a repeated event and a reset: the last good list holds and polling
   * goes on.
   */
  @Test
  void failedFeedIsPolledAgainWhileTheLastListHolds() throws Exception {
    for (String nonsense :
        List.of(
            "{]",
            "{\"events\":7}",
            "[]",
            "{\"n\":9,\"events\":[{\"n\":9,\"members\":{}}]}",
            "{\"n\":2,\"events\":[{\"n\":2,\"members\":{\"servers\":[{\"id\":\"s-0000000a\",\"state\":\"odd\"}]}}]}")) {
      feed.requests.clear();
      feed.replacementBody = nonsense;
      feed.publish(EDGE_EVENT.formatted("s-0000000f", 1, "gone"));
      nextCommand(feed.requests, "GET");
      nextCommand(feed.requests, "GET");
      try (ToyServer.Client client = client()) {
        assertThat(status(call(client, "1", "5"))).as(nonsense).isEqualTo("ACK");
      }
    }
    feed.replacementBody = null;
    feed.publish(EDGE_EVENT.formatted("s-0000000a", first.port(), "draining"));
    nextCommand(feed.requests, "GET /v1/events?SUB=7");
    try (ToyServer.Client client = client()) {
      first.receivedCommands.clear();
      for (int tag = 1; tag <= 20; tag++) {
        assertThat(status(call(client, String.valueOf(tag), "e" + tag))).isEqualTo("ACK");
      }
      assertThat(first.receivedCommands).isEmpty();
    }
  }

  /**
   * SIGHUP, twice: the feed at its new address goes on from the last number, and requests in flight
   * stay.
   */
  @Test
  void onHangUpTheFeedMovesAndNoEventIsMissed() throws Exception {
    feed.publish(EDGE_EVENT.formatted("s-0000000f", 1, "gone"));
    nextCommand(feed.requests, "GET /v1/events?SUB=2");
    Path config = folder.resolve("config.json");
    String old = Files.readString(config);
    setMode(CacheBehavior.DELAY);
    try (ToyServer.Client client = client();
        ToyServer.Feed elsewhere = new ToyServer.Feed(0)) {
      client.call("1", "clip", callFields("5", 2000), "");
      elsewhere.publish(EDGE_EVENT.formatted("s-0000000f", 1, "gone"));
      elsewhere.publish(EDGE_EVENT.formatted("s-0000000a", first.port(), "draining"));
      Files.writeString(
          config,
          old.replace("127.0.0.1:" + feed.port(), "127.0.0.1:" + elsewhere.port())
              .replace("\"sockets\"", "\"sockets\":512,\"former\""));
      sendHangUp();
      sendHangUp();
      assertThat(nextCommand(elsewhere.requests, "GET")).startsWith("GET /v1/events?SUB=2");
      nextCommand(elsewhere.requests, "GET /v1/events?SUB=3");
      assertThat(status(client.readResponse())).isEqualTo("ACK");
      setMode(CacheBehavior.SERVE);
      first.receivedCommands.clear();
      for (int tag = 2; tag <= 20; tag++) {
        assertThat(status(call(client, String.valueOf(tag), "e" + tag))).isEqualTo("ACK");
      }
      assertThat(first.receivedCommands).isEmpty();
      awaitLogged("these sections change only after a restart: limits");
      Files.writeString(config, old.substring(0, old.length() / 2));
      sendHangUp();
      awaitLogged("the previous one stays in use");
      assertThat(status(call(client, "21", "f"))).isEqualTo("ACK");
    }
    assertThat(gateway.isAlive()).isTrue();
  }

  /** Guards against a reload that is lost since the file's list of caches does not fit the heap. */
  @Test
  void reloadsWithTheMostCachesInTheLeastMemoryMoveTheFeed() throws Exception {
    rewriteConfiguration(
        SERVERS_START, SERVERS_START + edgeEntries(0, MOST_CACHES - caches.size()) + ",");
    restartWithMinimumMemory();
    int port = feed.port();
    for (int i = 0; i < 5; i++) {
      try (ToyServer.Feed elsewhere = new ToyServer.Feed(0)) {
        rewriteConfiguration("127.0.0.1:" + port, "127.0.0.1:" + elsewhere.port());
        port = elsewhere.port();
        sendHangUp();
        nextCommand(elsewhere.requests, "GET /v1/events?SUB=");
      }
    }
    assertThat(gateway.isAlive()).isTrue();
    assertThat(Files.readString(folder.resolve("out.log")))
        .doesNotContain("configuration-invalid")
        .doesNotContain("OutOfMemoryError");
  }

  /**
   * A response that the heap can't hold is refused and logged; the old list holds and later events
   * are applied.
   */
  @Test
  void oversizedFeedResponseLeavesTheOldList() throws Exception {
    restartWithMinimumMemory();
    feed.replacementBody = "{\"n\":9,\"events\":[" + "x".repeat(3_000_000) + "]}";
    awaitLogged("a body of 3000019 bytes, allowed: ");
    assertServes("a");
    feed.replacementBody = null;
    feed.publish(EDGE_EVENT.formatted("s-0000000a", first.port(), "draining"));
    nextCommand(feed.requests, "GET /v1/events?SUB=2");
    first.receivedCommands.clear();
    assertServes("b");
    assertThat(first.receivedCommands).isEmpty();
  }
}
