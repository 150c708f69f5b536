package tamarindroute.host;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import tamarindroute.settings.MalformedSettingsException;

/** Absent limits have defaults, and invalid values are rejected by name. */
class ConfigurationReaderTest {

  private static final String LIMITS =
      "\"limits\": {\"cores\": 1.0, \"memory_mb\": 192, \"sockets\": 1024},";

  @TempDir Path folder;

  private String with(String old, String now) throws IOException {
    String text = Files.readString(Path.of("example/config.json"));
    assertThat(text).contains(old);
    return Files.writeString(folder.resolve("config.json"), text.replace(old, now)).toString();
  }

  @Test
  void absentLimitsDefaultToThePlatformsMinimum() throws Exception {
    for (String none : new String[] {"", "\"limits\": {},", "\"limits\": {\"cores\": 0.2},"}) {
      PlatformConfiguration configuration = PlatformConfiguration.read(with(LIMITS, none));
      assertThat(configuration.memoryBytes()).isEqualTo(32L * 1024 * 1024);
      assertThat(configuration.descriptorLimit()).isEqualTo(256);
    }
    assertThat(PlatformConfiguration.read(with("192", "64.0")).memoryBytes())
        .isEqualTo(64L * 1024 * 1024);
  }

  @ParameterizedTest
  @CsvSource({
    "192, -5, limits.memory_mb is -5",
    "192, 0, limits.memory_mb is 0",
    "1024, 1e12, limits.sockets is 1e12",
    "1024, {}, is invalid",
    "192, '\"x\"', is invalid",
    "'\"listen\"', '\"heard\"', listen is missing",
    "'\"feed\"', '\"fed\"', feed is missing",
    "'\"settings\"', '\"set\"', settings is missing",
    "'\"127.0.0.1:7000\"', '\"7000\"', not an address"
  })
  void invalidValuesAreReportedByName(String old, String now, String message) throws Exception {
    String file = with(old, now);
    assertThatThrownBy(() -> PlatformConfiguration.read(file))
        .isInstanceOf(MalformedSettingsException.class)
        .hasMessageContaining(message)
        .message()
        .doesNotContain("\n")
        .doesNotContain("Cannot invoke");
  }

  /**
   * Whatever a file holds, reading it ends in a message: an exception would end a reload's thread.
   */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "7",
        "[1",
        "[]",
        "{",
        "{\"a\"",
        "{\"a\":",
        "{\"known\":[",
        "{\"known\":}",
        "{1:2]",
        "{\"a\":1}x",
        "{}",
        "{\"settings\":[[[[",
        "\"\\u12"
      })
  void filesThatAreNoConfigurationAreReported(String text) throws Exception {
    String file = Files.writeString(folder.resolve("config.json"), text).toString();
    assertThatThrownBy(() -> PlatformConfiguration.read(file))
        .isInstanceOf(MalformedSettingsException.class)
        .hasMessageContaining("is invalid");
    assertThatThrownBy(() -> PlatformConfiguration.readAgain(file))
        .isInstanceOf(MalformedSettingsException.class)
        .hasMessageContaining("is invalid");
  }

  /** A reload needs none of the list, which may not fit the memory twice. */
  @Test
  void theBootstrapEventsAreNotReadAgain() throws Exception {
    PlatformConfiguration started = PlatformConfiguration.read("example/config.json");
    PlatformConfiguration again = PlatformConfiguration.readAgain("example/config.json");
    assertThat(again).isEqualTo(started.withoutBootstrapEvents());
  }

  /** They are used once and must not occupy memory from then on. */
  @Test
  void theBootstrapEventsAreReleased() throws Exception {
    PlatformConfiguration configuration = PlatformConfiguration.read("example/config.json");
    assertThat(configuration.bootstrapEvents()).contains("s-0000000a");
    assertThat(configuration.withoutBootstrapEvents().bootstrapEvents()).isEmpty();
    assertThat(configuration.changedRestartOnlySections(configuration.withoutBootstrapEvents()))
        .isEmpty();
  }
}
