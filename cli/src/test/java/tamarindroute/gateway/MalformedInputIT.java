package tamarindroute.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static tamarindroute.example.ToyServer.id;

import java.io.EOFException;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import tamarindroute.example.ToyServer;
import tamarindroute.example.ToyServer.Mode;

/** Frames and fields of clients that are malformed, incomplete or too many. */
@Timeout(60)
class MalformedInputIT extends GatewayHarness {

  @ParameterizedTest
  @ValueSource(
      strings = {
        "GET / HTTP/1.1\r\n\r\n",
        "*0\r\n",
        "*9999999\r\n",
        "*4\r\n$99999999\r\n",
        "*2\r\n$3\r\nFOO\r\n$1\r\n1\r\n",
        "*2\r\n$10\r\nRPC.HEALTH\r\n$2\r\n-1\r\n",
        "*5\r\n$8\r\nRPC.CALL\r\n$1\r\n1\r\n$4\r\nclip\r\n$0\r\n\r\n$999999\r\n"
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
   * Another client's open request keeps its id and its response; calls past the protocol's limit
   * are rejected.
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
        List<byte[]> response = other.read();
        assertThat(tag(response)).isEqualTo(String.valueOf(tag));
        assertThat(status(response)).isEqualTo("NAK");
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

  /** Nothing at all, or half a request: the connection is closed in time. */
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
}
