package tamarindroute.variants;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Edits the text of a TOML document line by line, so that its order, its comments and its arrays of
 * tables stay as they are. It knows one key a line under headers of bare keys, which is how site
 * files are written; whoever uses it parses the result and compares. A comment behind a value that
 * changes is dropped.
 */
final class TomlText {

  private static final Pattern HEADER =
      Pattern.compile("\\s*(\\[{1,2})\\s*([A-Za-z0-9_.-]+)\\s*]{1,2}\\s*(#.*)?");
  private static final Pattern KEY = Pattern.compile("\\s*([A-Za-z0-9_-]+)\\s*=.*");

  private final SortedMap<String, JsonNode> pending;
  private final List<String> lines = new ArrayList<>();

  /** How many tables of each array, by its path, have begun. */
  private final Map<String, Integer> begun = new HashMap<>();

  private String table = "";

  /** Where a key that the present table lacks is put. */
  private int endOfTable;

  private TomlText(Map<String, JsonNode> values) {
    pending = new TreeMap<>(values);
  }

  /** The text with the values, by their paths as {@link Changes} names them, put in. */
  static String edited(String text, Map<String, JsonNode> values) {
    TomlText editor = new TomlText(values);
    for (String line : text.split("\n", -1)) {
      editor.take(line);
    }
    editor.addMissing();
    return String.join("\n", editor.lines);
  }

  private void take(String line) {
    Matcher header = HEADER.matcher(line);
    Matcher key = KEY.matcher(line);
    if (header.matches()) {
      addMissing();
      table = pathOf(header.group(2), header.group(1).length() == 2);
      lines.add(line);
      endOfTable = lines.size();
    } else if (key.matches()) {
      JsonNode value = pending.remove(path(table, key.group(1)));
      lines.add(value == null ? line : assignment(key.group(1), value));
      endOfTable = lines.size();
    } else {
      lines.add(line);
    }
  }

  private void addMissing() {
    String prefix = path(table, "");
    List<String> missing = new ArrayList<>(pending.keySet());
    missing.removeIf(path -> !path.startsWith(prefix) || path.indexOf('.', prefix.length()) >= 0);
    for (String path : missing) {
      lines.add(endOfTable++, assignment(path.substring(prefix.length()), pending.remove(path)));
    }
  }

  /** The path that a header opens: the names with the running numbers of the arrays' tables. */
  private String pathOf(String header, boolean ofArray) {
    String path = "";
    String[] names = header.split("\\.");
    for (int i = 0; i < names.length; i++) {
      path = path(path, names[i]);
      if (ofArray && i == names.length - 1) {
        begun.merge(path, 1, Integer::sum);
      }
      if (begun.containsKey(path)) {
        path += "[" + (begun.get(path) - 1) + "]";
      }
    }
    return path;
  }

  private static String path(String table, String key) {
    return table.isEmpty() ? key : table + "." + key;
  }

  private static String assignment(String key, JsonNode value) {
    return key + " = " + text(value);
  }

  private static String text(JsonNode value) {
    if (value.isArray()) {
      List<String> elements = new ArrayList<>();
      value.forEach(element -> elements.add(text(element)));
      return "[" + String.join(", ", elements) + "]";
    }
    return value.isNumber()
        ? value.decimalValue().stripTrailingZeros().toPlainString()
        : value.toString();
  }
}
