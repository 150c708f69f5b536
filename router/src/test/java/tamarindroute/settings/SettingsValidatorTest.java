package tamarindroute.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import tamarindroute.host.PlatformConfiguration;

/**
 * Each value of a whole configuration in turn removed or replaced by an absurd one: it is refused
 * by name, or a gateway works by it.
 */
class SettingsValidatorTest extends ConfigurationHarness {

  private static final List<String> ABSURD =
      List.of(
          "-1",
          "0",
          "1e300",
          "-1e300",
          "1e18",
          "0.5",
          "NaN",
          "Infinity",
          "\"x\"",
          "\"\"",
          "\"-\"",
          "[]",
          "{}",
          "[7,8]",
          "[{}]",
          "{\"x\":1}",
          "true",
          "null");

  /** Paths of all values, objects and lists of the configuration, but for the list of caches. */
  static List<String> paths() throws Exception {
    List<String> paths = new ArrayList<>();
    JsonObject whole = whole();
    whole.remove("known");
    walk("", whole, paths);
    assertThat(paths)
        .contains(
            "listen",
            "limits/sockets",
            "settings/Classes/2/DeadlineNs",
            "settings/FamilyInfo/HubOf/1");
    return paths;
  }

  private static void walk(String path, JsonElement element, List<String> paths) {
    if (!path.isEmpty()) {
      paths.add(path.substring(1));
    }
    if (element.isJsonObject()) {
      element
          .getAsJsonObject()
          .entrySet()
          .forEach(e -> walk(path + "/" + e.getKey(), e.getValue(), paths));
    } else if (element.isJsonArray()) {
      for (int i = 0; i < element.getAsJsonArray().size(); i++) {
        walk(path + "/" + i, element.getAsJsonArray().get(i), paths);
      }
    }
  }

  @ParameterizedTest
  @MethodSource("paths")
  void missingOrAbsurdValueIsNamedOrHarmless(String path) throws Exception {
    List<String> values = new ArrayList<>(ABSURD);
    values.add(null);
    for (String value : values) {
      PlatformConfiguration configuration;
      try {
        configuration = read(with(path, value));
      } catch (MalformedSettingsException e) {
        String[] steps = path.split("/");
        String key =
            steps[steps.length - 1].matches("\\d+") && steps.length > 1
                ? steps[steps.length - 2]
                : steps[steps.length - 1];
        assertThat(e.getMessage())
            .as(path + " = " + value)
            .contains(key)
            .doesNotContain("\n")
            .hasSizeLessThan(400);
        continue;
      }
      assertWorks(configuration, path + " = " + value);
    }
  }

  /** Values by which no gateway could work. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "settings/Zone | -1 | Zone is -1",
        "settings/Zone | 2 | Zone is 2",
        "settings/FamilyInfo/HubOf | [-1,0] | HubOf is -1",
        "settings/Classes/0/DeadlineNs | 0 | Classes.0.DeadlineNs is 0",
        "settings/Classes/1/WindowNs | -1 | Classes.1.WindowNs is -1",
        "settings/Obligations/ColdNs | -5 | ColdNs is -5",
        "settings/FamilyInfo/PaceKbPerS | NaN | PaceKbPerS is NaN, allowed: a number",
        "settings/Zones | [] | Zones is missing",
        "settings/Zones | [\"a b\",\"a,b\"] | Zones holds a_b twice",
        "settings/Classes | [] | Classes is missing",
        "settings/Classes | {\"count\":1e9} | Classes.count is 1e9",
        "listen | \"gateway.example:7000\" | listen is gateway.example:7000",
        "listen | \"127.0.0.1:-1\" | listen is",
        "feed | \"127.0.0.1:0\" | feed is",
        "feed | \"127.0.0.1:70000\" | feed is",
        "feed | \"300.0.0.1:7\" | feed is",
        "feed | {} | feed is not a plain value",
        "limits | 7 | limits is not an object",
        "limits/sockets | [] | limits.sockets is not a plain value",
        "settings | [] | settings is not an object",
        "settings/FamilyInfo/NeverKept | [false] | NeverKept holds 1 of 3"
      })
  void invalidValueIsNamedWithItsValue(String path, String value, String expectedMessage)
      throws Exception {
    JsonObject invalid = with(path, value);
    assertThatThrownBy(() -> read(invalid))
        .isInstanceOf(MalformedSettingsException.class)
        .hasMessageContaining(expectedMessage);
  }

  /** A malformed initial list is no reason not to start, since the feed brings it too. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "[]",
        "7",
        "\"x\"",
        "null",
        "{}",
        "{\"n\":1e300,\"events\":[]}",
        "{\"n\":1,\"events\":{}}"
      })
  void malformedInitialListIsNoError(String known) throws Exception {
    assertThat(read(with("known", known)).bootstrapEvents())
        .isIn("", JsonParser.parseString(known).toString());
  }
}
