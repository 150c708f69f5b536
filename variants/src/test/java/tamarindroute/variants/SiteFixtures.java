package tamarindroute.variants;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;

/**
 * The sites of the tests, and a reader of written files that is independent of the code under test.
 */
final class SiteFixtures {

  static final Path ATRIUM = Path.of("deploy/sites/atrium-reels/atrium-reels.toml");
  static final Path QUAYSIDE = Path.of("deploy/sites/quayside-lots/quayside-lots.toml");

  private SiteFixtures() {}

  /** Every value of a file by its path, as text; {@code class[0].aim_ms = 300}. */
  static Map<String, String> values(Path file) throws IOException {
    Map<String, String> values = new TreeMap<>();
    flatten("", new TomlMapper().readTree(Files.readString(file)), values);
    return values;
  }

  private static void flatten(String path, JsonNode node, Map<String, String> to) {
    if (node.isObject()) {
      node.properties()
          .forEach(field -> flatten(path + "." + field.getKey(), field.getValue(), to));
    } else if (node.isArray() && node.path(0).isObject()) {
      for (int i = 0; i < node.size(); i++) {
        flatten(path + "[" + i + "]", node.get(i), to);
      }
    } else {
      to.put(path.substring(1), node.toString());
    }
  }

  /** The values of a variant that the site lacks or has otherwise. */
  static Map<String, String> changed(Path site, Path variant) throws IOException {
    Map<String, String> before = values(site);
    Map<String, String> changed = values(variant);
    if (!changed.keySet().containsAll(before.keySet())) {
      throw new AssertionError(variant + " lacks keys of the site");
    }
    changed.entrySet().removeIf(value -> value.getValue().equals(before.get(value.getKey())));
    return changed;
  }

  /** The result of a run of the generator. */
  record Run(int code, String out, String errors) {}

  static Run generate(Object... arguments) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    ByteArrayOutputStream errors = new ByteArrayOutputStream();
    String[] texts = Arrays.stream(arguments).map(Object::toString).toArray(String[]::new);
    int code =
        GenerateCommand.run(
            new PrintStream(out, true, UTF_8), new PrintStream(errors, true, UTF_8), texts);
    return new Run(code, out.toString(UTF_8), errors.toString(UTF_8));
  }
}
