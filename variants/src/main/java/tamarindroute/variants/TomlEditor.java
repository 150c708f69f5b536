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
 * tables stay as they are. It supports one key a line under headers of bare keys, as in site files;
 * callers must parse and compare the result. A comment after a changed value is dropped.
 */
final class TomlEditor {

  private static final Pattern HEADER =
      Pattern.compile("\\s*(\\[{1,2})\\s*([A-Za-z0-9_.-]+)\\s*]{1,2}\\s*(#.*)?");
  private static final Pattern KEY = Pattern.compile("\\s*([A-Za-z0-9_-]+)\\s*=.*");

  private final SortedMap<String, JsonNode> pending;
  private final List<String> lines = new ArrayList<>();

  /** The number of tables so far of each array, by its path. */
  private final Map<String, Integer> tableCounts = new HashMap<>();

  private String table = "";

  /** The index at which missing keys of the present table are added. */
  private int endOfTable;

  private TomlEditor(Map<String, JsonNode> values) {
    pending = new TreeMap<>(values);
  }

  /** The text with the values, by their paths as {@link DocumentDiff} names them, put in. */
  static String edited(String text, Map<String, JsonNode> values) {
    TomlEditor editor = new TomlEditor(values);
    for (String line : text.split("\n", -1)) {
      editor.add(line);
    }
    editor.addMissing();
    return String.join("\n", editor.lines);
  }

  private void add(String line) {
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
      lines.add(endOfTable, assignment(path.substring(prefix.length()), pending.remove(path)));
      endOfTable++;
    }
  }

  /** The path that a header opens: the names with the running numbers of the arrays' tables. */
  private String pathOf(String header, boolean ofArray) {
    String path = "";
    String[] names = header.split("\\.", -1);
    for (int i = 0; i < names.length; i++) {
      path = path(path, names[i]);
      if (ofArray && i == names.length - 1) {
        tableCounts.merge(path, 1, Integer::sum);
      }
      if (tableCounts.containsKey(path)) {
        path += "[" + (tableCounts.get(path) - 1) + "]";
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
