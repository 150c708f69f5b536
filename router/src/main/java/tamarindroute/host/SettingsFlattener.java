package tamarindroute.host;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.HashMap;
import java.util.Map;
import tamarindroute.settings.SettingsReader;

/**
 * Flattens nested settings in JSON to the key-value form that the simulator uses and {@link
 * SettingsReader} reads: keys are paths joined by dots, an array of plain values is one value
 * joined by commas, any other array has the elements' indices in its paths and its length under
 * {@code count}.
 */
final class SettingsFlattener {

  private static final String COUNT = "count";

  private final Map<String, String> values = new HashMap<>();

  private SettingsFlattener() {}

  /** Returns the settings' values by their paths. */
  static Map<String, String> flatten(JsonObject settings) {
    SettingsFlattener flattener = new SettingsFlattener();
    flattener.addObject("", settings);
    return flattener.values;
  }

  private void add(String path, JsonElement value) {
    if (value.isJsonObject()) {
      addObject(path.isEmpty() ? "" : path + ".", value.getAsJsonObject());
    } else if (value.isJsonArray()) {
      addArray(path, value.getAsJsonArray());
    } else if (value.isJsonPrimitive()) {
      values.put(path, text(value));
    }
  }

  private void addObject(String prefix, JsonObject object) {
    object.entrySet().forEach(member -> add(prefix + member.getKey(), member.getValue()));
  }

  private void addArray(String path, JsonArray array) {
    StringBuilder joined = new StringBuilder();
    boolean onlyPrimitives = true;
    for (int i = 0; i < array.size(); i++) {
      JsonElement item = array.get(i);
      if (item.isJsonPrimitive()) {
        joined.append(i == 0 ? "" : ",").append(text(item));
      } else {
        onlyPrimitives = false;
        add(path + "." + i, item);
      }
    }
    if (onlyPrimitives) {
      values.put(path, joined.toString());
    } else {
      values.put(path + "." + COUNT, String.valueOf(array.size()));
    }
  }

  private static String text(JsonElement primitive) {
    return SettingsReader.normalizeName(primitive.getAsString());
  }
}
