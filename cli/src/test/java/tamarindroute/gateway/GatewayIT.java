package tamarindroute.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static tamarindroute.example.ToyServer.paddedHex;

import java.io.EOFException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import tamarindroute.example.ToyServer;
import tamarindroute.example.ToyServer.CacheBehavior;

/** Requests of one client and their responses. */
@Timeout(60)
class GatewayIT extends GatewayHarness {

  @Test
  void requestIsServedWholeAndItsFieldsAreForwardedUnchanged() throws Exception {
    try (ToyServer.Client client = client()) {
      List<byte[]> response = call(client, "7", "7f3a9c21e0b4d655");
      assertThat(tag(response)).isEqualTo("7");
      assertThat(status(response)).isEqualTo("ACK");
      assertThat(response.get(3)).isEqualTo(ToyServer.contentOf("7f3a9c21e0b4d655", 2000));
      client.call(
          "8",
          "pick",
          "rid=%s,budget=900,obj=%s,piece=3,lot=1,token=%s"
              .formatted(paddedHex("abc"), paddedHex("5"), paddedHex("ff").repeat(2)),
          new byte[] {1, '\r', '\n', 0});
      assertThat(status(client.readResponse())).isEqualTo("ACK");
    }
    String write = nextCommand(first.receivedCommands, "");
    while (!write.contains("lane=pick")) {
      write =
          first.receivedCommands.isEmpty()
              ? nextCommand(second.receivedCommands, "")
              : nextCommand(first.receivedCommands, "");
    }
    assertThat(write)
        .startsWith(
            "ASK " + paddedHex("abc") + " lane=pick,name=" + paddedHex("5") + ",piece=3,ttl=")
        .contains("dedupe=" + paddedHex("ff").repeat(2))
        .contains("parent=s-0000000d")
        .contains("\u0001\r\n\0");
  }

  @Test
  void copyThatTheClientHoldsIsNotSentAgain() throws Exception {
    try (ToyServer.Client client = client()) {
      call(client, "1", "5");
      client.call("2", "clip", callFields("5", 2000) + ",ver=d" + paddedHex("5").substring(1), "");
      List<byte[]> response = client.readResponse();
      assertThat(status(response)).isEqualTo("ACK");
      assertThat(new String(response.get(2), StandardCharsets.UTF_8)).contains("unchanged=1");
      assertThat(response.get(3)).isEmpty();
    }
  }

  /** A body behind a command that takes none must not become the next call's. */
  @Test
  void bodyOfACommandWithoutUseForItIsDropped() throws Exception {
    try (ToyServer.Client client = client()) {
      client.send("RPC.HEALTH", 1, "", "x", "astray");
      assertThat(status(client.readResponse())).isEqualTo("GREEN");
      client.call(
          "2", "pick", callFields("5", 2000) + ",token=" + paddedHex("7").repeat(2), "mine");
      assertThat(status(client.readResponse())).isEqualTo("ACK");
    }
    assertThat(
            caches.stream()
                .flatMap(cache -> cache.receivedCommands.stream())
                .filter(c -> c.startsWith("ASK")))
        .isNotEmpty()
        .allSatisfy(command -> assertThat(command).endsWith(" mine"));
  }

  /** A cache that claims 'not modified' without naming the client's copy must not be believed. */
  @Test
  void onlyACopyThatACacheHasNamedIsCalledCurrent() throws Exception {
    setMode(CacheBehavior.NOT_MODIFIED);
    try (ToyServer.Client client = client()) {
      assertThat(status(call(client, "1", "5"))).isIn("FAIL", "NAK");
      client.call("2", "clip", callFields("6", 2000) + ",ver=" + paddedHex("6"), "");
      assertThat(status(client.readResponse())).isIn("FAIL", "NAK");
      client.call("3", "clip", callFields("7", 2000) + ",ver=" + paddedHex("0"), "");
      List<byte[]> response = client.readResponse();
      assertThat(status(response)).isEqualTo("ACK");
      assertThat(new String(response.get(2), StandardCharsets.UTF_8)).contains("unchanged=1");
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
        List<byte[]> response = client.readResponse();
        int tag = Integer.parseInt(tag(response));
        assertThat(status(response)).isEqualTo("ACK");
        assertThat(response.get(3))
            .isEqualTo(ToyServer.contentOf(paddedHex(Integer.toHexString(tag)), 2000));
        assertThat(open.remove((Integer) tag)).isTrue();
      }
    }
  }

  @Test
  void cancelledRequestIsCancelledAtItsCacheAndGetsNoResponse() throws Exception {
    setMode(CacheBehavior.SILENT);
    try (ToyServer.Client client = client()) {
      client.call(
          "1",
          "clip",
          "rid=%s,budget=2000,obj=%s,piece=0,lot=1,mem=100"
              .formatted(paddedHex("c1"), paddedHex("5")),
          "");
      BlockingQueue<String> seen = seenAnywhere();
      client.send("RPC.CANCEL", "1");
      assertThat(nextCommand(seen, "QUIT")).isEqualTo("QUIT " + paddedHex("c1"));
      setMode(CacheBehavior.SERVE);
      assertThat(tag(call(client, "2", "6"))).isEqualTo("2");
    }
  }

  @Test
  void responseAfterItsCancelIsDropped() throws Exception {
    setMode(CacheBehavior.DELAY);
    try (ToyServer.Client client = client()) {
      client.call("1", "clip", callFields("5", 2000), "");
      nextCommand(seenAnywhere(), "ASK");
      client.send("RPC.CANCEL", "1");
      List<byte[]> response = call(client, "2", "5");
      assertThat(tag(response)).isEqualTo("2");
      assertThat(response.get(3)).isEqualTo(ToyServer.contentOf(paddedHex("5"), 2000));
    }
  }

  @Test
  void halfClosedClientStillGetsItsResponses() throws Exception {
    setMode(CacheBehavior.DELAY);
    try (ToyServer.Client client = client()) {
      client.call("1", "clip", callFields("5", 2000), "");
      client.call("2", "clip", callFields("6", 2000), "");
      client.socket.shutdownOutput();
      assertThat(status(client.readResponse())).isEqualTo("ACK");
      assertThat(status(client.readResponse())).isEqualTo("ACK");
      assertThatThrownBy(client::readResponse).isInstanceOf(EOFException.class);
    }
  }
}
