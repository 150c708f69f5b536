package tamarindroute.host;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import com.google.gson.JsonSyntaxException;
import com.google.gson.Strictness;
import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonToken;
import com.google.gson.stream.MalformedJsonException;
import java.io.EOFException;
import java.io.IOException;
import java.io.Reader;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.zip.CRC32;
import tamarindroute.log.Log;
import tamarindroute.settings.MalformedSettingsException;
import tamarindroute.settings.SettingsReader;

/**
 * Reads the platform's configuration file: a JSON object with the keys below; other keys are
 * ignored. Reads only what is used, and rejects the file if any of that is unusable.
 */
final class ConfigurationReader {

  static final String LISTEN = "listen";
  static final String LIMITS = "limits";
  static final String SETTINGS = "settings";
  private static final String FEED = "feed";
  private static final String SEED = "seed";
  private static final String BOOTSTRAP_EVENTS = "known";
  private static final String MEMORY_LIMIT = "memory_mb";
  private static final String DESCRIPTOR_LIMIT = "sockets";

  /** The platform's smallest memory limit, assumed if the file has none. */
  private static final long DEFAULT_MEMORY_MB = 32;

  /** The platform's smallest limit of file descriptors, assumed if the file has none. */
  private static final int DEFAULT_DESCRIPTORS = 256;

  private static final long BYTES_PER_MB = 1024 * 1024;

  /** A seed of this form is taken as a number; any other text is replaced by its checksum. */
  private static final String HEX_SEED = "[0-9a-f]{1,16}";

  private ConfigurationReader() {}

  /**
   * Reads the file; see {@link PlatformConfiguration#read}.
   *
   * @param withBootstrapEvents whether the bootstrap events are kept; otherwise they are skipped,
   *     and take no memory however many caches they list
   */
  static PlatformConfiguration read(String path, boolean withBootstrapEvents)
      throws MalformedSettingsException {
    if (path == null || path.isEmpty()) {
      throw new MalformedSettingsException("EDGE_CONFIG names no configuration file");
    }
    try (Reader file = Files.newBufferedReader(Path.of(path))) {
      return parse(readSections(new JsonReader(file), withBootstrapEvents));
    } catch (JsonParseException
        | IllegalArgumentException
        | IllegalStateException
        | MalformedSettingsException
        | MalformedJsonException
        | EOFException e) {
      String reason = String.valueOf(e.getMessage()).lines().findFirst().orElse("");
      throw new MalformedSettingsException("configuration file " + path + " is invalid: " + reason);
    } catch (IOException e) {
      throw new MalformedSettingsException("cannot read the configuration file " + path);
    }
  }

  private static JsonObject readSections(JsonReader json, boolean withBootstrapEvents)
      throws IOException {
    json.setStrictness(Strictness.LENIENT);
    if (json.peek() != JsonToken.BEGIN_OBJECT) {
      return object(JsonParser.parseReader(json), "the file");
    }
    JsonObject root = new JsonObject();
    json.beginObject();
    while (json.hasNext()) {
      String section = json.nextName();
      if (section.equals(BOOTSTRAP_EVENTS) && !withBootstrapEvents) {
        json.skipValue();
      } else {
        root.add(section, JsonParser.parseReader(json));
      }
    }
    json.endObject();
    if (json.peek() != JsonToken.END_DOCUMENT) {
      throw new JsonSyntaxException("text follows the object that the file is");
    }
    return root;
  }

  private static PlatformConfiguration parse(JsonObject root) throws MalformedSettingsException {
    JsonObject limits = root.has(LIMITS) ? object(root.get(LIMITS), LIMITS) : new JsonObject();
    SettingsReader settings =
        new SettingsReader(SettingsFlattener.flatten(object(required(root, SETTINGS), SETTINGS)));
    PlatformConfiguration configuration =
        new PlatformConfiguration(
            address(root, LISTEN, NumericAddress.ANY_FREE_PORT),
            address(root, FEED, NumericAddress.MIN_PORT),
            seed(scalar(required(root, SEED), SEED)),
            limit(limits, MEMORY_LIMIT, DEFAULT_MEMORY_MB) * BYTES_PER_MB,
            (int) limit(limits, DESCRIPTOR_LIMIT, DEFAULT_DESCRIPTORS),
            // Not validated here: errors in it are logged when it is applied, and the feed repeats
            // it anyway.
            has(root, BOOTSTRAP_EVENTS) ? root.get(BOOTSTRAP_EVENTS).toString() : "",
            settings);
    validate(settings).forEach(warning -> Log.info("configuration-warning", warning));
    return configuration;
  }

  private static List<String> validate(SettingsReader settings) throws MalformedSettingsException {
    try {
      return settings.validate();
    } catch (MalformedSettingsException e) {
      throw new MalformedSettingsException(SETTINGS + ": " + e.getMessage());
    }
  }

  private static boolean has(JsonObject parent, String name) {
    return parent.has(name) && !parent.get(name).isJsonNull();
  }

  private static JsonElement required(JsonObject parent, String name) {
    if (!has(parent, name)) {
      throw new IllegalArgumentException(name + " is missing");
    }
    return parent.get(name);
  }

  private static JsonObject object(JsonElement value, String name) {
    if (!value.isJsonObject()) {
      throw new IllegalArgumentException(name + " is not an object: " + abbreviate(value));
    }
    return value.getAsJsonObject();
  }

  /** A string, number or boolean as text. */
  private static String scalar(JsonElement value, String name) {
    if (!value.isJsonPrimitive()) {
      throw new IllegalArgumentException(name + " is not a plain value: " + abbreviate(value));
    }
    return value.getAsString();
  }

  private static String abbreviate(JsonElement value) {
    return SettingsReader.abbreviate(value.toString());
  }

  private static InetSocketAddress address(JsonObject parent, String name, int minPort) {
    String text = scalar(required(parent, name), name);
    try {
      return NumericAddress.parse(text, minPort);
    } catch (IllegalArgumentException e) {
      throw new IllegalArgumentException(
          name + " is " + SettingsReader.abbreviate(text) + ", not an address of the form IP:PORT",
          e);
    }
  }

  /** A whole number from 1 up; fractions are cut off. */
  private static long limit(JsonObject limits, String name, long defaultValue) {
    if (!has(limits, name)) {
      return defaultValue;
    }
    String path = LIMITS + "." + name;
    long limit = (long) parseDouble(scalar(limits.get(name), path));
    if (limit < 1 || limit > Integer.MAX_VALUE) {
      throw new IllegalArgumentException(
          path
              + " is "
              + abbreviate(limits.get(name))
              + ", not a number from 1 to "
              + Integer.MAX_VALUE);
    }
    return limit;
  }

  /** The number; NaN if the text is none. */
  private static double parseDouble(String text) {
    try {
      return Double.parseDouble(text);
    } catch (NumberFormatException e) {
      return Double.NaN;
    }
  }

  private static long seed(String text) {
    if (text.matches(HEX_SEED)) {
      return Long.parseUnsignedLong(text, 16);
    }
    CRC32 checksum = new CRC32();
    checksum.update(text.getBytes(StandardCharsets.UTF_8));
    return checksum.getValue();
  }
}
