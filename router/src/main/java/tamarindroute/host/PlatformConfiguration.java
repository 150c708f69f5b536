package tamarindroute.host;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32;
import tamarindroute.log.Log;
import tamarindroute.settings.MalformedSettingsException;
import tamarindroute.settings.SettingsReader;

/**
 * Owns the reading of the configuration file. It must never keep what nobody reads, nor let a file
 * that cannot be used pass for one that can.
 */
public record PlatformConfiguration(
    InetSocketAddress listen,
    InetSocketAddress feed,
    long seed,
    long memoryBytes,
    int descriptorLimit,
    String bootstrapEvents,
    SettingsReader settings) {

  /** What is not told counts as the least that the platform gives. */
  private static final long DEFAULT_MEMORY_MB = 32;

  private static final int DEFAULT_DESCRIPTORS = 256;

  public static PlatformConfiguration read(String path) throws MalformedSettingsException {
    if (path == null || path.isEmpty()) {
      throw new MalformedSettingsException("EDGE_CONFIG names no configuration file");
    }
    String text;
    try {
      text = Files.readString(Path.of(path));
    } catch (IOException e) {
      throw new MalformedSettingsException("the configuration " + path + " can't be read");
    }
    try {
      JsonObject root = object(JsonParser.parseString(text), "the file");
      JsonObject limits =
          root.has("limits") ? object(root.get("limits"), "limits") : new JsonObject();
      Map<String, String> values = new HashMap<>();
      flatten("", object(required(root, "settings"), "settings"), values);
      SettingsReader settings = new SettingsReader(values);
      // What is odd in the list of the start is told where that is read, and ends nothing: the feed
      // has it too.
      String bootstrapEvents =
          root.has("known") && !root.get("known").isJsonNull() ? root.get("known").toString() : "";
      PlatformConfiguration configuration =
          new PlatformConfiguration(
              address(root, "listen", 0),
              address(root, "feed", 1),
              seed(scalar(required(root, "seed"), "seed")),
              limit(limits, "memory_mb", DEFAULT_MEMORY_MB) * 1024 * 1024,
              (int) limit(limits, "sockets", DEFAULT_DESCRIPTORS),
              bootstrapEvents,
              settings);
      checkSettings(settings).forEach(warning -> Log.info("config-odd", warning));
      return configuration;
    } catch (JsonParseException | IllegalArgumentException | MalformedSettingsException e) {
      throw new MalformedSettingsException(
          "the configuration "
              + path
              + " can't be used: "
              + String.valueOf(e.getMessage()).lines().findFirst().orElse(""));
    }
  }

  private static List<String> checkSettings(SettingsReader settings)
      throws MalformedSettingsException {
    try {
      return settings.validate();
    } catch (MalformedSettingsException e) {
      throw new MalformedSettingsException("settings: " + e.getMessage());
    }
  }

  private static JsonElement required(JsonObject of, String name) {
    if (!of.has(name) || of.get(name).isJsonNull()) {
      throw new IllegalArgumentException("no " + name);
    }
    return of.get(name);
  }

  private static JsonObject object(JsonElement value, String name) {
    if (!value.isJsonObject()) {
      throw new IllegalArgumentException(name + " is no object: " + quoted(value));
    }
    return value.getAsJsonObject();
  }

  private static String scalar(JsonElement value, String name) {
    if (!value.isJsonPrimitive()) {
      throw new IllegalArgumentException(name + " is no plain value: " + quoted(value));
    }
    return value.getAsString();
  }

  private static String quoted(JsonElement value) {
    return SettingsReader.abbreviate(value.toString());
  }

  /** Listening at port 0 is at any free one; nobody can be called there. */
  private static InetSocketAddress address(JsonObject of, String name, int leastPort) {
    String text = scalar(required(of, name), name);
    try {
      return address(text, leastPort);
    } catch (IllegalArgumentException e) {
      throw new IllegalArgumentException(
          name + " is " + SettingsReader.abbreviate(text) + ": no address NUMBER:PORT");
    }
  }

  /** A whole number from 1 up; what is no such number is no limit that could be kept. */
  private static long limit(JsonObject limits, String name, long absent) {
    if (!limits.has(name) || limits.get(name).isJsonNull()) {
      return absent;
    }
    long limit = 0;
    try {
      limit = (long) Double.parseDouble(scalar(limits.get(name), "limits." + name));
    } catch (NumberFormatException e) {
      // Told below, as for what is no sensible number.
    }
    if (limit < 1 || limit > Integer.MAX_VALUE) {
      throw new IllegalArgumentException("limits." + name + " is " + quoted(limits.get(name)));
    }
    return limit;
  }

  /** The same without what is read once at the start. */
  public PlatformConfiguration withoutBootstrapEvents() {
    return new PlatformConfiguration(
        listen, feed, seed, memoryBytes, descriptorLimit, "", settings);
  }

  /** What a gateway cannot change in service, of what the other says differently. */
  public List<String> changedRestartOnlySections(PlatformConfiguration other) {
    Map<String, Boolean> same = new LinkedHashMap<>();
    same.put("listen", listen.equals(other.listen));
    same.put(
        "limits", memoryBytes == other.memoryBytes && descriptorLimit == other.descriptorLimit);
    same.put("settings", settings.equals(other.settings));
    return same.entrySet().stream()
        .filter(part -> !part.getValue())
        .map(Map.Entry::getKey)
        .toList();
  }

  /** HOST:PORT, the host a number, for there are no names to be looked up. */
  public static InetSocketAddress address(String text) {
    return address(text, 1);
  }

  private static InetSocketAddress address(String text, int leastPort) {
    int colon = text.lastIndexOf(':');
    int port = colon <= 0 ? -1 : Integer.parseInt(text.substring(colon + 1));
    if (port < leastPort) {
      throw new IllegalArgumentException("no address: " + SettingsReader.abbreviate(text));
    }
    return new InetSocketAddress(host(text.substring(0, colon)), port);
  }

  /**
   * Java takes what is no number for a name, and asks for it: there is nobody to ask, and the start
   * would wait.
   */
  private static InetAddress host(String text) {
    String[] parts = text.split("\\.", -1);
    byte[] bytes = new byte[parts.length];
    try {
      if (text.indexOf(':') >= 0) {
        return InetAddress.getByName(text);
      }
      for (int i = 0; i < parts.length; i++) {
        int part = Integer.parseInt(parts[i]);
        bytes[i] = (byte) part;
        if (part < 0 || part > 255) {
          throw new IllegalArgumentException("no address: " + SettingsReader.abbreviate(text));
        }
      }
      return InetAddress.getByAddress(bytes);
    } catch (UnknownHostException e) {
      throw new IllegalArgumentException("no address: " + SettingsReader.abbreviate(text));
    }
  }

  private static long seed(String text) {
    if (text.matches("[0-9a-f]{1,16}")) {
      return Long.parseUnsignedLong(text, 16);
    }
    CRC32 crc = new CRC32();
    crc.update(text.getBytes(java.nio.charset.StandardCharsets.UTF_8));
    return crc.getValue();
  }

  /**
   * Nested objects as the simulator's lines spell them: paths with dots, plain lists joined by
   * commas.
   */
  private static void flatten(String path, JsonElement value, Map<String, String> values) {
    if (value.isJsonObject()) {
      value
          .getAsJsonObject()
          .entrySet()
          .forEach(
              member ->
                  flatten(
                      path.isEmpty() ? member.getKey() : path + "." + member.getKey(),
                      member.getValue(),
                      values));
    } else if (value.isJsonArray()) {
      JsonArray items = value.getAsJsonArray();
      boolean plain = true;
      StringBuilder joined = new StringBuilder();
      for (int i = 0; i < items.size(); i++) {
        if (items.get(i).isJsonPrimitive()) {
          joined
              .append(i == 0 ? "" : ",")
              .append(SettingsReader.normalizeName(items.get(i).getAsString()));
        } else {
          plain = false;
          flatten(path + "." + i, items.get(i), values);
        }
      }
      values.put(
          plain ? path : path + ".count", plain ? joined.toString() : String.valueOf(items.size()));
    } else if (value.isJsonPrimitive()) {
      values.put(path, SettingsReader.normalizeName(value.getAsString()));
    }
  }
}
