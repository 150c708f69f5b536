package tamarindroute.variants;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Edits of a text by paths. */
class TomlEditorTest {

  private static final String TEXT =
      """
            name = "a"  # a comment
            [[tier]]
            size = 1

            [[tier.kind]]
            cores = [1, 2]
            [[tier.kind]]
            cores = [3, 4] # more

            [tier.report]
            how = "none"
            [[tier]]
            size = 2
            [[tier.kind]]
            cores = 5
            """;

  private static JsonNode json(String text) throws Exception {
    return new ObjectMapper().readTree(text);
  }

  @Test
  void aValueIsReplacedAtItsPath() throws Exception {
    String edited =
        TomlEditor.edited(
            TEXT,
            Map.of(
                "tier[0].kind[1].cores",
                json("[0.50, 6]"),
                "tier[1].kind[0].cores",
                json("7"),
                "tier[0].report.how",
                json("\"probe\"")));
    assertThat(edited)
        .isEqualTo(
            TEXT.replace("[3, 4] # more", "[0.5, 6]")
                .replace("cores = 5", "cores = 7")
                .replace("\"none\"", "\"probe\""));
  }

  @Test
  void aKeyThatATableLacksIsAddedAtItsEnd() throws Exception {
    String edited =
        TomlEditor.edited(
            TEXT,
            Map.of(
                "tier[0].weights",
                json("\"live\""),
                "stock",
                json("true"),
                "tier[1].kind[0].fields",
                json("[\"x0\"]")));
    assertThat(edited)
        .isEqualTo(
            TEXT.replace("size = 1\n", "size = 1\nweights = \"live\"\n")
                .replace("# a comment\n", "# a comment\nstock = true\n")
                .replace("cores = 5\n", "cores = 5\nfields = [\"x0\"]\n"));
  }

  @Test
  void withoutChangesTheTextStays() {
    assertThat(TomlEditor.edited(TEXT, Map.of())).isEqualTo(TEXT);
  }
}
