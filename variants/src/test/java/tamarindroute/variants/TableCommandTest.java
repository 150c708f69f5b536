package tamarindroute.variants;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The table of the bench's reports. */
class TableCommandTest {

  @TempDir Path folder;

  private ByteArrayOutputStream out;
  private ByteArrayOutputStream errors;

  @BeforeEach
  void openStreams() {
    out = new ByteArrayOutputStream();
    errors = new ByteArrayOutputStream();
  }

  private int table(Object... arguments) {
    String[] texts = Arrays.stream(arguments).map(Object::toString).toArray(String[]::new);
    return TableCommand.run(
        new PrintStream(out, true, UTF_8), new PrintStream(errors, true, UTF_8), texts);
  }

  private void report(String name, String row) throws IOException {
    Files.writeString(folder.resolve(name + ".json"), "{\"site\": \"s\", \"row\": " + row + "}");
  }

  @Test
  void eachReportIsARow() throws IOException {
    report(
        "no-weights",
        "{\"served\": 0.70956, \"G_floor\": 0.5165, \"G_top\": 0.9, \"gate\": null, \"score\": 0.3224776}");
    report(
        "joins+low-load",
        "{\"served\": 0.5, \"G_floor\": 0.25, \"G_top\": 1, \"gate\": \"floor (served 0.5, 1|2)\", \"score\": 0}");
    report("unchanged", "{\"served\": 1, \"gate\": 0.0}");
    Files.writeString(folder.resolve("notes.txt"), "no report");
    assertThat(table(folder)).isZero();
    assertThat(out.toString(UTF_8).lines())
        .containsExactly(
            "| factor | served | floor | top | gate | score |",
            "| --- | ---: | ---: | ---: | --- | ---: |",
            "| joins+low-load | 0.500 | 0.250 | 1.000 | floor (served 0.5, 1\\|2) | 0.000 |",
            "| no-weights | 0.710 | 0.517 | 0.900 | - | 0.322 |",
            "| unchanged | 1.000 | - | - | 0.000 | - |");
  }

  @Test
  void aFolderWithoutValidReportsIsRefused() throws IOException {
    assertThat(table(folder)).isEqualTo(ExitCodes.INVALID_INPUT);
    assertThat(table(folder.resolve("none"))).isEqualTo(ExitCodes.INVALID_INPUT);
    assertThat(table("--all")).isEqualTo(ExitCodes.INVALID_INPUT);
    report("good", "{}");
    report("other", "3");
    assertThat(table(folder)).isEqualTo(ExitCodes.INVALID_INPUT);
    Files.writeString(folder.resolve("bad.json"), "{");
    assertThat(table(folder)).isEqualTo(ExitCodes.INVALID_INPUT);
    assertThat(errors.toString(UTF_8).lines()).hasSize(5);
    assertThat(out.toString(UTF_8)).isEmpty();
  }

  @Test
  void withoutAFolderTheUsageIsPrinted() {
    assertThat(table()).isEqualTo(ExitCodes.USAGE);
    assertThat(errors.toString(UTF_8)).contains("usage: table.sh");
  }
}
