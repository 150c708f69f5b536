package tamarindroute.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.EOFException;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import tamarindroute.example.ToyServer;
import tamarindroute.example.ToyServer.CacheBehavior;

/** Start, restart and end of a gateway, and its limits. */
@Timeout(60)
class LifecycleIT extends GatewayHarness {

  @Test
  void onTermAllAdmittedRequestsAreAnsweredBeforeTheEnd() throws Exception {
    setMode(CacheBehavior.DELAY);
    try (ToyServer.Client client = client()) {
      client.call("1", "clip", callFields("5", 2500), "");
      gateway.destroy();
      try (ToyServer.Client late = client()) {
        late.call("1", "clip", callFields("6", 2500), "");
        assertThat(status(client.readResponse())).isEqualTo("ACK");
        assertThat(status(late.readResponse())).isEqualTo("ACK");
      }
    }
    assertThat(gateway.waitFor(5, TimeUnit.SECONDS)).isTrue();
  }

  @Test
  void restartForgetsEverythingAndServes() throws Exception {
    setMode(CacheBehavior.SILENT);
    try (ToyServer.Client client = client()) {
      client.call("1", "clip", callFields("5", 2500), "");
      gateway.destroyForcibly().waitFor();
      assertThatThrownBy(client::readResponse)
          .isInstanceOfAny(EOFException.class, SocketException.class);
    }
    setMode(CacheBehavior.SERVE);
    launch();
    try (ToyServer.Client client = client()) {
      assertThat(status(call(client, "1", "5"))).isEqualTo("ACK");
    }
  }

  /** With the smallest limits it starts and warms up, and many silent clients shut out no other. */
  @Test
  void smallestLimitsAreKeptUnderLoad() throws Exception {
    descriptors = 256;
    restartWithMinimumMemory();
    List<ToyServer.Client> silentClients = new ArrayList<>();
    for (int i = 0; i < 300; i++) {
      silentClients.add(client());
      silentClients
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
    for (ToyServer.Client client : silentClients) {
      client.close();
    }
  }

  /** More clients than descriptors send one request each and stay: each new one is still served. */
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
