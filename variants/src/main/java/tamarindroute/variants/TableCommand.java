package tamarindroute.variants;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;

/**
 * The command that prints a Markdown table of the bench's reports; a report's file is named for its
 * factor.
 */
public final class TableCommand {

  private static final String USAGE =
      "usage: table.sh FOLDER    of reports FACTOR.json, as the bench's --json writes them";
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String SUFFIX = ".json";
  private static final String NONE = "-";
  private static final List<String> COLUMNS =
      List.of("factor", "served", "floor", "top", "gate", "score");

  /** The keys of a report's row that the columns after the first show. */
  private static final List<String> KEYS = List.of("served", "G_floor", "G_top", "gate", "score");

  private TableCommand() {}

  /** Argument: the folder; exit codes as in {@link ExitCodes}. */
  public static void main(String[] arguments) {
    System.exit(run(System.out, System.err, arguments));
  }

  static int run(PrintStream out, PrintStream errors, String... arguments) {
    return ExitCodes.codeOf(
        () -> {
          if (arguments.length != 1) {
            throw new UsageException(arguments.length + " folders given");
          }
          if (arguments[0].startsWith("-")) {
            throw new InvalidInputException(arguments[0] + ": no such option");
          }
          lines(Path.of(arguments[0])).forEach(out::println);
        },
        USAGE,
        errors);
  }

  private static List<String> lines(Path folder) throws InvalidInputException, IOException {
    if (!Files.isDirectory(folder)) {
      throw new InvalidInputException(folder + ": no such folder");
    }
    List<Path> reports;
    try (Stream<Path> files = Files.list(folder)) {
      reports =
          files.filter(file -> file.getFileName().toString().endsWith(SUFFIX)).sorted().toList();
    }
    if (reports.isEmpty()) {
      throw new InvalidInputException(folder + ": no reports (*" + SUFFIX + ") there");
    }
    List<String> lines = new ArrayList<>();
    lines.add(line(COLUMNS));
    lines.add("| --- | ---: | ---: | ---: | --- | ---: |");
    for (Path report : reports) {
      lines.add(row(report));
    }
    return lines;
  }

  private static String row(Path report) throws InvalidInputException, IOException {
    String file = report.getFileName().toString();
    List<String> cells =
        new ArrayList<>(List.of(file.substring(0, file.length() - SUFFIX.length())));
    JsonNode row = read(report).path("row");
    if (!row.isObject()) {
      throw new InvalidInputException(report + ": not a report of the bench: it has no row");
    }
    KEYS.forEach(key -> cells.add(cell(row.path(key))));
    return line(cells);
  }

  private static JsonNode read(Path report) throws InvalidInputException, IOException {
    try {
      return JSON.readTree(report.toFile());
    } catch (JsonProcessingException e) {
      throw new InvalidInputException(report + ": not JSON, line " + e.getLocation().getLineNr());
    }
  }

  private static String cell(JsonNode value) {
    if (value.isMissingNode() || value.isNull()) {
      return NONE;
    }
    return value.isNumber()
        ? String.format(Locale.ROOT, "%.3f", value.asDouble())
        : value.asText().replace("|", "\\|").replace('\n', ' ');
  }

  private static String line(List<String> cells) {
    return "| " + String.join(" | ", cells) + " |";
  }
}
