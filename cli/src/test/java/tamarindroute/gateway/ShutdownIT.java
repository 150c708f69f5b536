package tamarindroute.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static tamarindroute.example.ToyServer.paddedHex;

import java.io.EOFException;
import java.net.ConnectException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import tamarindroute.example.ToyServer;
import tamarindroute.example.ToyServer.CacheBehavior;

/**
 * Ends of clients' connections and of the gateway: each request that was admitted still gets its
 * response.
 */
@Timeout(60)
class ShutdownIT extends GatewayHarness {

  /**
   * Returns when the event loop has handled what the selector's thread read before: two responses
   * came since.
   */
  private void awaitEventLoopCaughtUp() throws Exception {
    try (ToyServer.Client client = client()) {
      for (int tag = 1; tag <= 2; tag++) {
        client.send("RPC.HEALTH", tag, "");
        client.readResponse();
      }
    }
  }

  private ToyServer.Cache awaitCacheAskedFor(String id) throws InterruptedException {
    while (true) {
      for (ToyServer.Cache cache : caches) {
        if (cache.receivedCommands.stream().anyMatch(command -> command.startsWith("ASK " + id))) {
          return cache;
        }
      }
      TimeUnit.MILLISECONDS.sleep(1);
    }
  }

  private long countAsks(String id) {
    return caches.stream()
        .flatMap(cache -> cache.receivedCommands.stream())
        .filter(c -> c.startsWith("ASK " + id))
        .count();
  }

  private long millisTo(Process end, long from) throws InterruptedException {
    assertThat(end.waitFor(10, TimeUnit.SECONDS)).isTrue();
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - from);
  }

  /** A malformed frame ends further input, not the requests before it. */
  @Test
  void requestsOpenBesideAMalformedFrameAreAnswered() throws Exception {
    setMode(CacheBehavior.DELAY);
    try (ToyServer.Client client = client()) {
      client.call(
          "1",
          "clip",
          "rid=%s,budget=2500,obj=%s,piece=0,lot=1,mem=1"
              .formatted(paddedHex("d1"), paddedHex("5")),
          "");
      awaitCacheAskedFor(paddedHex("d1"));
      client
          .socket
          .getOutputStream()
          .write("GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.UTF_8));
      client.socket.getOutputStream().write(new byte[300_000]);
      List<byte[]> response = client.readResponse();
      assertThat(tag(response)).isEqualTo("1");
      assertThat(response.get(3)).isEqualTo(ToyServer.contentOf(paddedHex("5"), 2000));
      assertThatThrownBy(client::readResponse).isInstanceOf(EOFException.class);
    }
    awaitLogged("client-protocol-error");
  }

  /** An attempt that fails after its client has closed is not retried. */
  @Test
  void noFurtherAttemptStartsForAClientThatClosed() throws Exception {
    try (ToyServer.Client client = client()) {
      for (int tag = 1; tag <= 8; tag++) {
        call(client, String.valueOf(tag), "a" + tag);
      }
    }
    setMode(CacheBehavior.SILENT);
    ToyServer.Client client = client();
    client.call(
        "1",
        "clip",
        "rid=%s,budget=5000,obj=%s,piece=0,lot=1,mem=1".formatted(paddedHex("d2"), paddedHex("5")),
        "");
    ToyServer.Cache at = awaitCacheAskedFor(paddedHex("d2"));
    client.close();
    awaitEventLoopCaughtUp();
    at.close();
    awaitLogged("cache-lost");
    setMode(CacheBehavior.SERVE);
    try (ToyServer.Client other = client()) {
      for (int tag = 1; tag <= 8; tag++) {
        assertThat(status(call(other, String.valueOf(tag), "b" + tag))).isEqualTo("ACK");
      }
    }
    assertThat(countAsks(paddedHex("d2"))).isEqualTo(1);
  }

  /** At the last moment the policy would retry what has time left, but nobody would wait for it. */
  @Test
  void pendingRequestsAtShutdownAreNotRetriedAndRejectedWhereHarmless() throws Exception {
    caches.forEach(cache -> cache.behavior = CacheBehavior.SILENT);
    try (ToyServer.Client client = client()) {
      client.call(
          "1",
          "clip",
          "rid=%s,budget=9000,obj=%s,piece=0,lot=1,mem=1"
              .formatted(paddedHex("d3"), paddedHex("5")),
          "");
      client.call(
          "2",
          "once",
          "rid=%s,budget=9000,obj=%s,piece=0,lot=1,mem=1"
              .formatted(paddedHex("d4"), paddedHex("6")),
          "");
      awaitCacheAskedFor(paddedHex("d3"));
      awaitCacheAskedFor(paddedHex("d4"));
      long from = System.nanoTime();
      gateway.destroy();
      List<byte[]> one = client.readResponse();
      List<byte[]> two = client.readResponse();
      assertThat(status(tag(one).equals("1") ? one : two)).isEqualTo("NAK");
      assertThat(status(tag(one).equals("2") ? one : two)).isEqualTo("FAIL");
      assertThatThrownBy(client::readResponse).isInstanceOf(EOFException.class);
      assertThat(millisTo(gateway, from)).isGreaterThan(3400);
    }
    // SIGKILL may come 0.7 s after the longest deadline of 3 s; the JVM's own end comes after this
    // line.
    String log = Files.readString(folder.resolve("out.log"));
    Matcher stop = Pattern.compile("([0-9]+) ms after SIGTERM, 0 requests in flight").matcher(log);
    assertThat(stop.find()).as(log).isTrue();
    assertThat(Integer.parseInt(stop.group(1))).isBetween(3500, 3700);
    assertThat(Files.readString(folder.resolve("out.log"))).doesNotContain("defect");
    assertThat(countAsks(paddedHex("d4"))).isEqualTo(1);
  }

  /**
   * Past the time in which requests are accepted, one beside an open one is rejected at once and
   * never forwarded.
   */
  @Test
  void requestsAfterTheListenerClosesAreRejected() throws Exception {
    setMode(CacheBehavior.SILENT);
    try (ToyServer.Client client = client()) {
      client.call(
          "1",
          "clip",
          "rid=%s,budget=2500,obj=%s,piece=0,lot=1,mem=1"
              .formatted(paddedHex("d5"), paddedHex("5")),
          "");
      awaitCacheAskedFor(paddedHex("d5"));
      gateway.destroy();
      awaitListenerClosed();
      String refused = null;
      for (int tag = 2; tag <= 30 && refused == null; tag++) {
        client.call(
            String.valueOf(tag),
            "clip",
            "rid=%s,budget=2500,obj=%s,piece=0,lot=1,mem=1"
                .formatted(paddedHex("e" + (100 + tag)), paddedHex("6")),
            "");
        client.send("RPC.HEALTH", 100 + tag, "");
        List<byte[]> response = client.readResponse();
        refused = status(response).equals("NAK") ? tag(response) : null;
      }
      assertThat(refused).isNotNull();
      assertThat(status(client.readResponse())).isEqualTo("RED");
      assertThat(countAsks(paddedHex("e" + (100 + Integer.parseInt(refused))))).isZero();
    }
    assertThat(gateway.waitFor(5, TimeUnit.SECONDS)).isTrue();
  }

  private void awaitListenerClosed() throws Exception {
    for (int i = 0; i < 400; i++) {
      try {
        client().close();
      } catch (ConnectException e) {
        return;
      }
      TimeUnit.MILLISECONDS.sleep(10);
    }
    throw new AssertionError("the listener is still open");
  }

  /**
   * An idle client's connection is closed in order and the gateway ends right after, as it does
   * without clients.
   */
  // Clients close before the end of their block, since the gateway waits for that.
  @SuppressWarnings("try")
  @Test
  void idleClientIsClosedInOrderAndShutdownIsQuick() throws Exception {
    try (ToyServer.Client resting = client();
        ToyServer.Client silent = client()) {
      call(resting, "1", "5");
      long from = System.nanoTime();
      gateway.destroy();
      assertThatThrownBy(resting::readResponse).isInstanceOf(EOFException.class);
      assertThatThrownBy(silent::readResponse).isInstanceOf(EOFException.class);
      resting.close();
      silent.close();
      assertThat(millisTo(gateway, from)).isBetween(700L, 1400L);
    }
    launch();
    long from = System.nanoTime();
    gateway.destroy();
    assertThat(millisTo(gateway, from)).isBetween(700L, 1400L);
  }

  /** A client that neither closes nor reads does not delay the end. */
  @Test
  void clientThatNeverClosesDoesNotDelayShutdown() throws Exception {
    try (ToyServer.Client resting = client()) {
      call(resting, "1", "5");
      long from = System.nanoTime();
      gateway.destroy();
      assertThat(millisTo(gateway, from)).isBetween(700L, 1600L);
      assertThatThrownBy(resting::readResponse).isInstanceOf(EOFException.class);
    }
  }

  // Clients close before the end of their block, since the gateway waits for that.
  @SuppressWarnings("try")
  @Test
  void furtherSignalsDuringShutdownChangeNothing() throws Exception {
    setMode(CacheBehavior.DELAY);
    try (ToyServer.Client client = client()) {
      client.call(
          "1",
          "clip",
          "rid=%s,budget=2500,obj=%s,piece=0,lot=1,mem=1"
              .formatted(paddedHex("d6"), paddedHex("5")),
          "");
      awaitCacheAskedFor(paddedHex("d6"));
      long from = System.nanoTime();
      gateway.destroy();
      sendHangUp();
      gateway.destroy();
      sendHangUp();
      assertThat(status(client.readResponse())).isEqualTo("ACK");
      assertThat(status(call(client, "2", "6"))).isEqualTo("ACK");
      assertThatThrownBy(client::readResponse).isInstanceOf(EOFException.class);
      client.close();
      assertThat(millisTo(gateway, from)).isBetween(700L, 1600L);
    }
  }
}
