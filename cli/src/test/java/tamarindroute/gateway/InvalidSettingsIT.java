package tamarindroute.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import tamarindroute.example.ToyServer;

/** The program with unusual settings: it ends with one line, or it serves. */
@Timeout(60)
class InvalidSettingsIT extends GatewayHarness {

  private String with(String old, String now) throws Exception {
    String text = Files.readString(folder.resolve("config.json"));
    assertThat(text).contains(old);
    return text.replace(old, now);
  }

  private String logs() throws Exception {
    return Files.readString(folder.resolve("err.log"))
        + Files.readString(folder.resolve("out.log"));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "\"Zone\": 1 | \"Zone\": -1 | settings: Zone is -1",
        "\"HubOf\": [0, 0] | \"HubOf\": [-1, -1] | HubOf is -1",
        "\"feed\": \"127 | \"feed\": \"x.127 | feed is x.127"
      })
  void invalidSettingIsNamedInOneLineAndEndsTheStart(String old, String now, String expectedMessage)
      throws Exception {
    Path config = Files.writeString(folder.resolve("bad.json"), with(old, now));
    gateway.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
    gateway = launchProgram(config.toString());
    assertThat(gateway.waitFor(10, TimeUnit.SECONDS)).isTrue();
    assertThat(gateway.exitValue()).isEqualTo(3);
    assertThat(Files.readAllLines(folder.resolve("err.log")))
        .hasSize(1)
        .first()
        .asString()
        .startsWith("serve: malformed settings: ")
        .contains(expectedMessage);
  }

  /**
   * Unusual entries beside a good one, a class of unknown semantics, a name with a blank and one
   * that is a field's.
   */
  @Test
  void unusualButUsableSettingsAreServed() throws Exception {
    String odd =
        with("\"servers\": [", "\"servers\": [7, {\"id\": \"s-9\"},")
            .replaceFirst("\"weight\": 40", "\"weight\": -40")
            .replace("\"Name\": \"clip\"", "\"Name\": \"a clip\"")
            .replace("\"Name\": \"once\"", "\"Name\": \"rid\"")
            .replace("\"side_effect\"", "\"later\"");
    gateway.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
    Files.writeString(folder.resolve("config.json"), odd);
    launch();
    try (ToyServer.Client client = client()) {
      for (String requestClass : List.of("a clip", "rid")) {
        client.call("1", requestClass, callFields("5", 2000), "");
        assertThat(status(client.readResponse())).as(requestClass + "\n" + logs()).isEqualTo("ACK");
      }
    }
    assertThat(logs())
        .contains("configuration-warning")
        .contains("Semantics is later")
        .doesNotContain("defect");
  }
}
