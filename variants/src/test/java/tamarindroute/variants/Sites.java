package tamarindroute.variants;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;

/**
 * The sites that the tests vary, and what they read of written files, without the code under test.
 */
final class Sites {

  static final Path ATRIUM = Path.of("deploy/sites/atrium-reels/atrium-reels.toml");
  static final Path QUAYSIDE = Path.of("deploy/sites/quayside-lots/quayside-lots.toml");

  private Sites() {}

  /** Every value of a file by its path, as text; {@code class[0].aim_ms = 300}. */
  static Map<String, String> values(Path file) throws IOException {
    Map<String, String> values = new TreeMap<>();
    flatten("", new TomlMapper().readTree(Files.readString(file)), values);
    return values;
  }

  private static void flatten(String path, JsonNode node, Map<String, String> to) {
    if (node.isObject()) {
      node.fields()
          .forEachRemaining(field -> flatten(path + "." + field.getKey(), field.getValue(), to));
    } else if (node.isArray() && node.path(0).isObject()) {
      for (int i = 0; i < node.size(); i++) {
        flatten(path + "[" + i + "]", node.get(i), to);
      }
    } else {
      to.put(path.substring(1), node.toString());
    }
  }

  /** The values of a variant that the site has not, or otherwise. */
  static Map<String, String> changed(Path site, Path variant) throws IOException {
    Map<String, String> before = values(site);
    Map<String, String> changed = values(variant);
    if (!changed.keySet().containsAll(before.keySet())) {
      throw new AssertionError(variant + " lacks keys of the site");
    }
    changed.entrySet().removeIf(value -> value.getValue().equals(before.get(value.getKey())));
    return changed;
  }

  /** How a run of the generator ended. */
  record Run(int code, String out, String errors) {}

  static Run generate(Object... words) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    ByteArrayOutputStream errors = new ByteArrayOutputStream();
    String[] texts = new String[words.length];
    for (int i = 0; i < words.length; i++) {
      texts[i] = words[i].toString();
    }
    int code = Generate.run(new PrintStream(out, true), new PrintStream(errors, true), texts);
    return new Run(code, out.toString(), errors.toString());
  }
}
