package tamarindroute.variants;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.Iterator;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The difference of two documents: the paths of the keys, such as {@code tier[0].report.how}, with
 * their values in the second; {@link MissingNode} where it has none. Arrays of tables are compared
 * table by table, any other array is one value.
 */
final class DocumentDiff {

  private final SortedMap<String, JsonNode> changes = new TreeMap<>();

  private DocumentDiff() {}

  static SortedMap<String, JsonNode> between(JsonNode before, JsonNode after) {
    DocumentDiff diff = new DocumentDiff();
    diff.compare("", before, after);
    return diff.changes;
  }

  private void compare(String path, JsonNode before, JsonNode after) {
    if (before.isObject() && after.isObject()) {
      compareTables(path, before, after);
    } else if (isTables(before) && isTables(after) && before.size() == after.size()) {
      for (int i = 0; i < before.size(); i++) {
        compare(path + "[" + i + "]", before.get(i), after.get(i));
      }
    } else if (!sameValue(before, after)) {
      changes.put(path, after);
    }
  }

  private void compareTables(String path, JsonNode before, JsonNode after) {
    String prefix = path.isEmpty() ? "" : path + ".";
    for (Iterator<String> keys = before.fieldNames(); keys.hasNext(); ) {
      String key = keys.next();
      compare(prefix + key, before.get(key), after.path(key));
    }
    for (Iterator<String> keys = after.fieldNames(); keys.hasNext(); ) {
      String key = keys.next();
      if (!before.has(key)) {
        changes.put(prefix + key, after.get(key));
      }
    }
  }

  private static boolean isTables(JsonNode node) {
    return node.isArray() && !node.isEmpty() && node.get(0).isObject();
  }

  /** Whether two values are equal; 5 equals 5.0. */
  private static boolean sameValue(JsonNode one, JsonNode other) {
    return one.equals(
        (a, b) -> {
          if (a.isNumber() && b.isNumber()) {
            return a.decimalValue().compareTo(b.decimalValue());
          }
          return a.equals(b) ? 0 : 1;
        },
        other);
  }
}
