package tamarindroute.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static tamarindroute.example.ToyServer.id;

import java.io.EOFException;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import tamarindroute.example.ToyServer;
import tamarindroute.example.ToyServer.Mode;

/** One gateway: what comes, what goes wrong around it, and its limits. */
@Timeout(60)
class GatewayIT extends GatewayHarness {

  @Test
  void requestIsServedWholeAndItsFieldsAreForwardedUnchanged() throws Exception {
    try (ToyServer.Client client = client()) {
      List<byte[]> answer = call(client, "7", "7f3a9c21e0b4d655");
      assertThat(tag(answer)).isEqualTo("7");
      assertThat(status(answer)).isEqualTo("ACK");
      assertThat(answer.get(3)).isEqualTo(ToyServer.bytesOf("7f3a9c21e0b4d655", 2000));
      client.call(
          "8",
          "pick",
          "rid=%s,budget=900,obj=%s,piece=3,lot=1,token=%s"
              .formatted(id("abc"), id("5"), id("ff").repeat(2)),
          new byte[] {1, '\r', '\n', 0});
      assertThat(status(client.read())).isEqualTo("ACK");
    }
    String write = nextCommand(first.seen, "");
    while (!write.contains("lane=pick")) {
      write = first.seen.isEmpty() ? nextCommand(second.seen, "") : nextCommand(first.seen, "");
    }
    assertThat(write)
        .startsWith("ASK " + id("abc") + " lane=pick,name=" + id("5") + ",piece=3,ttl=")
        .contains("dedupe=" + id("ff").repeat(2))
        .contains("parent=s-0000000d")
        .contains("\u0001\r\n\0");
  }

  @Test
  void copyThatTheClientHoldsIsNotSentAgain() throws Exception {
    try (ToyServer.Client client = client()) {
      call(client, "1", "5");
      client.call("2", "clip", callFields("5", 2000) + ",ver=d" + id("5").substring(1), "");
      List<byte[]> answer = client.read();
      assertThat(status(answer)).isEqualTo("ACK");
      assertThat(new String(answer.get(2), StandardCharsets.UTF_8)).contains("unchanged=1");
      assertThat(answer.get(3)).isEmpty();
    }
  }

  /** What comes behind a command that takes no body is nobody's: not the next call's. */
  @Test
  void bodyOfACommandWithoutUseForItIsDropped() throws Exception {
    try (ToyServer.Client client = client()) {
      client.send("RPC.HEALTH", 1, "", "x", "astray");
      assertThat(status(client.read())).isEqualTo("GREEN");
      client.call("2", "pick", callFields("5", 2000) + ",token=" + id("7").repeat(2), "mine");
      assertThat(status(client.read())).isEqualTo("ACK");
    }
    assertThat(
            caches.stream().flatMap(cache -> cache.seen.stream()).filter(c -> c.startsWith("ASK")))
        .isNotEmpty()
        .allSatisfy(command -> assertThat(command).endsWith(" mine"));
  }

  /**
   * A cache that answers so out of turn names no copy of this client's: it must not be told that
   * its own holds.
   */
  @Test
  void onlyACopyThatACacheHasNamedIsCalledCurrent() throws Exception {
    setMode(Mode.UNCHANGED);
    try (ToyServer.Client client = client()) {
      assertThat(status(call(client, "1", "5"))).isIn("FAIL", "NAK");
      client.call("2", "clip", callFields("6", 2000) + ",ver=" + id("6"), "");
      assertThat(status(client.read())).isIn("FAIL", "NAK");
      client.call("3", "clip", callFields("7", 2000) + ",ver=" + id("0"), "");
      List<byte[]> answer = client.read();
      assertThat(status(answer)).isEqualTo("ACK");
      assertThat(new String(answer.get(2), StandardCharsets.UTF_8)).contains("unchanged=1");
    }
  }

  @Test
  void pipelinedRequestsAreEachAnsweredOnceHoweverFramesArrive() throws Exception {
    try (ToyServer.Client client = client()) {
      List<Integer> open = new ArrayList<>();
      for (int tag = 1; tag <= 32; tag++) {
        byte[] frame =
            ToyServer.frame(
                "RPC.CALL", tag, "clip", callFields(Integer.toHexString(tag), 2000), "");
        for (byte b : tag % 8 == 0 ? frame : new byte[0]) {
          client.socket.getOutputStream().write(b);
        }
        if (tag % 8 != 0) {
          client.socket.getOutputStream().write(frame);
        }
        open.add(tag);
      }
      while (!open.isEmpty()) {
        List<byte[]> answer = client.read();
        int tag = Integer.parseInt(tag(answer));
        assertThat(status(answer)).isEqualTo("ACK");
        assertThat(answer.get(3)).isEqualTo(ToyServer.bytesOf(id(Integer.toHexString(tag)), 2000));
        assertThat(open.remove((Integer) tag)).isTrue();
      }
    }
  }

  @Test
  void cancelledRequestIsCancelledAtItsCacheAndGetsNoResponse() throws Exception {
    setMode(Mode.SILENT);
    try (ToyServer.Client client = client()) {
      client.call(
          "1",
          "clip",
          "rid=%s,budget=2000,obj=%s,piece=0,lot=1,mem=100".formatted(id("c1"), id("5")),
          "");
      BlockingQueue<String> seen = seenAnywhere();
      client.send("RPC.CANCEL", "1");
      assertThat(nextCommand(seen, "QUIT")).isEqualTo("QUIT " + id("c1"));
      setMode(Mode.SERVE);
      assertThat(tag(call(client, "2", "6"))).isEqualTo("2");
    }
  }

  @Test
  void responseAfterItsCancelIsDropped() throws Exception {
    setMode(Mode.LATE);
    try (ToyServer.Client client = client()) {
      client.call("1", "clip", callFields("5", 2000), "");
      nextCommand(seenAnywhere(), "ASK");
      client.send("RPC.CANCEL", "1");
      List<byte[]> answer = call(client, "2", "5");
      assertThat(tag(answer)).isEqualTo("2");
      assertThat(answer.get(3)).isEqualTo(ToyServer.bytesOf(id("5"), 2000));
    }
  }

  private BlockingQueue<String> seenAnywhere() throws InterruptedException {
    while (first.seen.isEmpty() && second.seen.isEmpty()) {
      TimeUnit.MILLISECONDS.sleep(1);
    }
    return first.seen.isEmpty() ? second.seen : first.seen;
  }

  /**
   * Whatever the caches do, each view gets one whole answer in its time, and the gateway goes on.
   */
  @ParameterizedTest
  @EnumSource(Mode.class)
  void eachRequestGetsOneResponseWhateverTheCachesDo(Mode mode) throws Exception {
    caches.forEach(cache -> cache.mode = mode);
    try (ToyServer.Client client = client()) {
      for (int tag = 1; tag <= 20; tag++) {
        client.call(
            String.valueOf(tag), tag % 5 == 0 ? "once" : "clip", callFields("a" + tag, 700), "");
      }
      List<String> open = new ArrayList<>();
      long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(700 + 300);
      for (int i = 0; i < 20; i++) {
        List<byte[]> answer = client.read();
        assertThat(open).doesNotContain(tag(answer));
        open.add(tag(answer));
        assertThat(status(answer)).isIn("ACK", "NAK", "FAIL");
        if (mode == Mode.SERVE) {
          assertThat(status(answer)).isEqualTo("ACK");
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

  @Test
  void halfClosedClientStillGetsItsResponses() throws Exception {
    setMode(Mode.LATE);
    try (ToyServer.Client client = client()) {
      client.call("1", "clip", callFields("5", 2000), "");
      client.call("2", "clip", callFields("6", 2000), "");
      client.socket.shutdownOutput();
      assertThat(status(client.read())).isEqualTo("ACK");
      assertThat(status(client.read())).isEqualTo("ACK");
      assertThatThrownBy(client::read).isInstanceOf(EOFException.class);
    }
  }

  /**
   * A machine that vanished leaves its connections open; only new ones tell that it is there again.
   */
  @Test
  void silentConnectionIsNotUsedAgain() throws Exception {
    try (ToyServer.Client client = client()) {
      for (int tag = 1; tag <= 8; tag++) {
        assertThat(status(call(client, String.valueOf(tag), "f" + tag))).isEqualTo("ACK");
      }
      caches.forEach(ToyServer.Cache::muteOpen);
      for (int tag = 11; tag <= 18; tag++) {
        client.call(String.valueOf(tag), "clip", callFields("f" + tag, 200), "");
      }
      for (int i = 0; i < 8; i++) {
        client.read();
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
    caches.forEach(cache -> cache.mode = Mode.RESET);
    try (ToyServer.Client client = client()) {
      client.call(
          "1", "once", "rid=%s,budget=900,obj=%s,piece=0,lot=1".formatted(id("e1"), id("5")), "x");
      assertThat(status(client.read())).isEqualTo("FAIL");
    }
    long asks =
        caches.stream()
            .flatMap(cache -> cache.seen.stream())
            .filter(c -> c.startsWith("ASK " + id("e1")))
            .count();
    assertThat(asks).isEqualTo(1);
  }

  /**
   * Passed on as it came, a broken one could only be ended with the client's connection: views were
   * lost so.
   */
  @Test
  void largeResponseThatBreaksCostsNeitherConnectionNorOtherRequests() throws Exception {
    first.size = 200_000;
    second.size = 200_000;
    try (ToyServer.Client client = client()) {
      assertThat(call(client, "1", "5").get(3)).isEqualTo(ToyServer.bytesOf(id("5"), 200_000));
      setMode(Mode.HALF);
      assertThat(status(call(client, "2", "5"))).isIn("FAIL", "NAK");
      setMode(Mode.SERVE);
      assertThat(call(client, "3", "5").get(3)).isEqualTo(ToyServer.bytesOf(id("5"), 200_000));
    }
  }

  /** Half answers that fill the buffers between them must not wait for one another. */
  @Test
  void manyLargeResponsesFitTheMinimumMemory() throws Exception {
    restartWithMinimumMemory();
    first.size = 240_000;
    second.size = 240_000;
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
        List<byte[]> answer = client.read();
        served += status(answer).equals("ACK") ? 1 : 0;
        assertThat(status(answer).equals("NAK") || answer.get(3).length == 240_000).isTrue();
      }
      client.close();
    }
    assertThat(served).isGreaterThan(5);
    assertThat(Files.readString(folder.resolve("out.log"))).doesNotContain("defect");
  }

  /** What is open behind an answer that stopped short would else wait in vain until its cut-off. */
  @Test
  void stalledResponseCostsItsConnectionAndNoRequest() throws Exception {
    try (ToyServer.Client client = client()) {
      first.mode = Mode.STOP;
      for (int tag = 1; tag <= 12; tag++) {
        client.call(String.valueOf(tag), "clip", callFields("5" + tag, 2500), "");
      }
      for (int tag = 1; tag <= 12; tag++) {
        assertThat(status(client.read())).isEqualTo("ACK");
      }
    }
    assertThat(awaitLogged("STALLED")).isNotEmpty();
  }

  /** A client that reads nothing must not stop another one. */
  @Test
  void slowClientBlocksNoOther() throws Exception {
    first.size = 240_000;
    second.size = 240_000;
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

  @ParameterizedTest
  @ValueSource(
      strings = {
        "GET / HTTP/1.1\r\n\r\n",
        "*0\r\n",
        "*9999999\r\n",
        "*4\r\n$99999999\r\n",
        "*2\r\n$3\r\nFOO\r\n" + "$1\r\n1\r\n",
        "*2\r\n$10\r\nRPC.HEALTH\r\n$2\r\n-1\r\n",
        "*5\r\n$8\r\nRPC.CALL\r\n$1\r\n1\r\n$4\r\nclip\r\n" + "$0\r\n\r\n$999999\r\n"
      })
  void malformedFrameEndsOnlyItsConnection(String bytes) throws Exception {
    try (ToyServer.Client bad = client();
        ToyServer.Client good = client()) {
      bad.socket.getOutputStream().write(bytes.getBytes(StandardCharsets.UTF_8));
      assertThatThrownBy(bad::read).isInstanceOfAny(EOFException.class, SocketException.class);
      assertThat(status(call(good, "1", "5"))).isEqualTo("ACK");
    }
    assertThat(Files.readString(folder.resolve("out.log"))).contains("client-protocol-error");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "rid=ID,obj=ID",
        "rid=ID,budget=100",
        "rid=ID,budget=x,obj=ID",
        "rid=ID,budget=9,obj=zz",
        "rid=ID,budget=NaN,obj=ID",
        "nothing",
        "rid=1,budget=900,obj=ID",
        "rid=ID,budget=0,obj=ID",
        "rid=ID,budget=9e9,obj=ID",
        "rid=ID,budget=-1,obj=ID",
        "rid=ID,budget=0x9p1,obj=ID",
        "rid=ID,budget=900,obj=ID,mem=1e300",
        "rid=ID,budget=900,obj=ID,piece=1.5",
        "rid=ID,budget=900,obj=ID,piece=99999999999",
        "rid=ID,budget=900,obj=ID,lot=256",
        "rid=ID,budget=900,obj=ID,ver=+-",
        "rid=ID,budget=900,obj=ID,token=7",
        "rid=ID,rid=ID,budget=900,obj=ID"
      })
  void badFieldsCostOnlyTheirRequest(String fields) throws Exception {
    try (ToyServer.Client client = client()) {
      client.call("1", "clip", fields.replace("ID", id("5")), "");
      assertThat(status(client.read())).isEqualTo("NAK");
      client.call("2", "clip,x", callFields("5", 900), "");
      assertThat(status(client.read())).isEqualTo("NAK");
      client.call("3", "pick", callFields("5", 900), "");
      assertThat(status(client.read())).isEqualTo("NAK");
      assertThat(status(call(client, "4", "5"))).isEqualTo("ACK");
    }
    assertThat(
            caches.stream().flatMap(cache -> cache.seen.stream()).filter(c -> c.startsWith("ASK")))
        .hasSizeLessThan(4);
  }

  /**
   * Another client's open view keeps its id and its answer; calls past what the protocol allows are
   * refused.
   */
  @Test
  void anOpenIdIsNotTakenTwiceAndAFloodIsRefused() throws Exception {
    setMode(Mode.LATE);
    try (ToyServer.Client client = client();
        ToyServer.Client other = client()) {
      client.call("1", "clip", "rid=%s,budget=2000,obj=%s".formatted(id("77"), id("5")), "");
      nextCommand(seenAnywhere(), "ASK " + id("77"));
      other.call("1", "clip", "rid=%s,budget=2000,obj=%s".formatted(id("77"), id("6")), "");
      assertThat(status(other.read())).isEqualTo("NAK");
      assertThat(client.read().get(3)).isEqualTo(ToyServer.bytesOf(id("5"), 2000));
      setMode(Mode.SILENT);
      for (int tag = 2; tag <= 60; tag++) {
        other.call(String.valueOf(tag), "clip", callFields("5", 400), "");
      }
      for (int tag = 34; tag <= 60; tag++) {
        List<byte[]> answer = other.read();
        assertThat(tag(answer)).isEqualTo(String.valueOf(tag));
        assertThat(status(answer)).isEqualTo("NAK");
      }
    }
    try (ToyServer.Client client = client()) {
      for (int tag = 1; tag <= 200; tag++) {
        client.call(String.valueOf(tag), "clip", "rid=x", "");
      }
      assertThatThrownBy(
              () -> {
                for (int tag = 1; tag <= 200; tag++) {
                  assertThat(status(client.read())).isEqualTo("NAK");
                }
              })
          .isInstanceOfAny(EOFException.class, SocketException.class);
    }
  }

  /**
   * Nothing at all, or half a request: closed in time, and the views that are open on the
   * connection answered.
   */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "*5\r\n$8\r\nRPC.CALL\r\n",
        "*5\r\n$8\r\nRPC.CALL\r\n$1\r\n9\r\n$4\r\nclip\r\n$0\r\n\r\n$9\r\nhalf"
      })
  void silentClientHoldsNoConnection(String bytes) throws Exception {
    try (ToyServer.Client client = client()) {
      long start = System.nanoTime();
      client.socket.getOutputStream().write(bytes.getBytes(StandardCharsets.UTF_8));
      assertThatThrownBy(client::read).isInstanceOfAny(EOFException.class, SocketException.class);
      assertThat(System.nanoTime() - start).isLessThan(TimeUnit.MILLISECONDS.toNanos(2900));
    }
  }

  @Test
  void drainFromTheFeedIsKeptAndAReusedAddressIsAnotherCache() throws Exception {
    feed.tell(EDGE_EVENT.formatted("s-0000000a", first.port(), "draining"));
    nextCommand(feed.asked, "GET /v1/events?SUB=2");
    try (ToyServer.Client client = client()) {
      first.seen.clear();
      for (int tag = 1; tag <= 20; tag++) {
        assertThat(status(call(client, String.valueOf(tag), "c" + tag))).isEqualTo("ACK");
      }
      assertThat(first.seen).isEmpty();
      feed.tell(EDGE_EVENT.formatted("s-0000000a", first.port(), "gone"));
      feed.tell(EDGE_EVENT.formatted("s-0000000e", first.port(), "ready"));
      nextCommand(feed.asked, "GET /v1/events?SUB=4");
      for (int tag = 21; tag <= 60; tag++) {
        assertThat(status(call(client, String.valueOf(tag), "d" + tag))).isEqualTo("ACK");
      }
      assertThat(first.seen).isNotEmpty();
    }
  }

  @Test
  void purgeFromTheFeedBoundsTheAgeOfCopies() throws Exception {
    long at = System.currentTimeMillis();
    feed.tell("{\"n\":N,\"purge\":{\"key\":\"" + id("5") + "\",\"at\":" + at + "}}");
    feed.tell("{\"n\":N,\"purge\":{\"group\":40,\"at\":" + at + "}}");
    nextCommand(feed.asked, "GET /v1/events?SUB=3");
    try (ToyServer.Client client = client()) {
      call(client, "1", "5");
      client.call(
          "2", "clip", "rid=%s,budget=900,obj=%s,piece=0,lot=40".formatted(id("99"), id("6")), "");
      client.read();
      call(client, "3", "7");
    }
    for (String object : List.of("5", "6", "7")) {
      String seen =
          caches.stream()
              .flatMap(cache -> cache.seen.stream())
              .filter(command -> command.contains("name=" + id(object) + ","))
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
   * Nonsense, a gap, a repeated event and a reset: the last good list holds, and the feed is asked
   * on.
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
      feed.asked.clear();
      feed.nonsense = nonsense;
      feed.tell(EDGE_EVENT.formatted("s-0000000f", 1, "gone"));
      nextCommand(feed.asked, "GET");
      nextCommand(feed.asked, "GET");
      try (ToyServer.Client client = client()) {
        assertThat(status(call(client, "1", "5"))).as(nonsense).isEqualTo("ACK");
      }
    }
    feed.nonsense = null;
    feed.tell(EDGE_EVENT.formatted("s-0000000a", first.port(), "draining"));
    nextCommand(feed.asked, "GET /v1/events?SUB=7");
    try (ToyServer.Client client = client()) {
      first.seen.clear();
      for (int tag = 1; tag <= 20; tag++) {
        assertThat(status(call(client, String.valueOf(tag), "e" + tag))).isEqualTo("ACK");
      }
      assertThat(first.seen).isEmpty();
    }
  }

  /**
   * SIGHUP, twice: the feed at its new address goes on from the last number, and views in hand
   * stay.
   */
  @Test
  void onHangUpTheFeedMovesAndNoEventIsMissed() throws Exception {
    feed.tell(EDGE_EVENT.formatted("s-0000000f", 1, "gone"));
    nextCommand(feed.asked, "GET /v1/events?SUB=2");
    Path config = folder.resolve("config.json");
    String old = Files.readString(config);
    setMode(Mode.LATE);
    try (ToyServer.Client client = client();
        ToyServer.Feed elsewhere = new ToyServer.Feed(0)) {
      client.call("1", "clip", callFields("5", 2000), "");
      elsewhere.tell(EDGE_EVENT.formatted("s-0000000f", 1, "gone"));
      elsewhere.tell(EDGE_EVENT.formatted("s-0000000a", first.port(), "draining"));
      Files.writeString(
          config,
          old.replace("127.0.0.1:" + feed.port(), "127.0.0.1:" + elsewhere.port())
              .replace("\"sockets\"", "\"sockets\":512,\"former\""));
      sendHangUp();
      sendHangUp();
      assertThat(nextCommand(elsewhere.asked, "GET")).startsWith("GET /v1/events?SUB=2");
      nextCommand(elsewhere.asked, "GET /v1/events?SUB=3");
      assertThat(status(client.read())).isEqualTo("ACK");
      setMode(Mode.SERVE);
      first.seen.clear();
      for (int tag = 2; tag <= 20; tag++) {
        assertThat(status(call(client, String.valueOf(tag), "e" + tag))).isEqualTo("ACK");
      }
      assertThat(first.seen).isEmpty();
      awaitLogged("not before the next start: limits");
      Files.writeString(config, old.substring(0, old.length() / 2));
      sendHangUp();
      awaitLogged("the old one holds");
      assertThat(status(call(client, "21", "f"))).isEqualTo("ACK");
    }
    assertThat(gateway.isAlive()).isTrue();
  }

  @Test
  void onTermAllAdmittedRequestsAreAnsweredBeforeTheEnd() throws Exception {
    setMode(Mode.LATE);
    try (ToyServer.Client client = client()) {
      client.call("1", "clip", callFields("5", 2500), "");
      gateway.destroy();
      try (ToyServer.Client late = client()) {
        late.call("1", "clip", callFields("6", 2500), "");
        assertThat(status(client.read())).isEqualTo("ACK");
        assertThat(status(late.read())).isEqualTo("ACK");
      }
    }
    assertThat(gateway.waitFor(5, TimeUnit.SECONDS)).isTrue();
  }

  @Test
  void restartForgetsEverythingAndServes() throws Exception {
    setMode(Mode.SILENT);
    try (ToyServer.Client client = client()) {
      client.call("1", "clip", callFields("5", 2500), "");
      gateway.destroyForcibly().waitFor();
      assertThatThrownBy(client::read).isInstanceOfAny(EOFException.class, SocketException.class);
    }
    setMode(Mode.SERVE);
    launch();
    try (ToyServer.Client client = client()) {
      assertThat(status(call(client, "1", "5"))).isEqualTo("ACK");
    }
  }

  /**
   * The least that is told: it starts, warms, and a crowd of clients who say nothing shuts out no
   * other.
   */
  @Test
  void smallestLimitsAreKeptUnderLoad() throws Exception {
    descriptors = 256;
    restartWithMinimumMemory();
    List<ToyServer.Client> crowd = new ArrayList<>();
    for (int i = 0; i < 300; i++) {
      crowd.add(client());
      crowd
          .get(i)
          .socket
          .getOutputStream()
          .write("*5\r\n$8\r\nRPC.CALL\r\n".getBytes(StandardCharsets.UTF_8));
      if (i % 30 == 0) {
        try (ToyServer.Client client = client()) {
          for (int tag = 1; tag <= 20; tag++) {
            assertThat(status(call(client, String.valueOf(tag), "7" + tag))).isEqualTo("ACK");
          }
        }
      }
    }
    assertThat(processStatus("RssAnon")).isLessThan(32 * 1024);
    for (ToyServer.Client client : crowd) {
      client.close();
    }
  }

  /**
   * Clients that ask once and stay, more than descriptors: each new one is let in and served all
   * the same.
   */
  @Test
  void descriptorsAndMemoryStayWithinTheLimits() throws Exception {
    List<ToyServer.Client> clients = new ArrayList<>();
    for (int i = 0; i < 1100; i++) {
      clients.add(client());
      assertThat(status(call(clients.get(i), "1", "5"))).isEqualTo("ACK");
    }
    assertThat(processStatus("VmRSS")).isLessThan(192 * 1024);
    for (ToyServer.Client client : clients) {
      client.close();
    }
    try (ToyServer.Client client = client()) {
      assertThat(status(call(client, "1", "5"))).isEqualTo("ACK");
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"missing", "", "not json", "{}", "{\"listen\":\"here\"}"})
  void invalidConfigurationIsReportedInOneLine(String text) throws Exception {
    stop();
    Path config = folder.resolve("bad.json");
    if (!text.equals("missing")) {
      Files.writeString(config, text);
    }
    gateway = launchProgram(config.toString());
    assertThat(gateway.waitFor(10, TimeUnit.SECONDS)).isTrue();
    assertThat(gateway.exitValue()).isNotZero();
    assertThat(Files.readAllLines(folder.resolve("err.log"))).hasSize(1);
  }
}
