package tamarindroute.host;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32;
import tamarindroute.settings.MalformedSettingsException;
import tamarindroute.settings.SettingsReader;

/**
 * Owns the reading of the configuration file. It must never keep what nobody reads, nor let a file that
 * cannot be used pass for one that can.
 */
public record Config(InetSocketAddress listen, InetSocketAddress feed, long seed, long memory, int descriptors,
        String known, SettingsReader settings) {

    /** What is not told counts as the least that the platform gives. */
    private static final long LEAST_MEMORY_MB = 32;
    private static final int LEAST_DESCRIPTORS = 256;

    public static Config read(String path) throws MalformedSettingsException {
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
            JsonObject root = JsonParser.parseString(text).getAsJsonObject();
            String known = root.has("known") ? root.getAsJsonObject("known").toString() : "";
            JsonObject limits = root.has("limits") ? root.getAsJsonObject("limits") : new JsonObject();
            for (String needed : new String[] {"listen", "feed", "seed", "settings"}) {
                if (!root.has(needed)) {
                    throw new IllegalArgumentException("no " + needed);
                }
            }
            Map<String, String> values = new HashMap<>();
            flatten("", root.getAsJsonObject("settings"), values);
            return new Config(address(root.get("listen").getAsString()), address(root.get("feed").getAsString()),
                    seed(root.get("seed").getAsString()), limit(limits, "memory_mb", LEAST_MEMORY_MB) * 1024 * 1024,
                    (int) limit(limits, "sockets", LEAST_DESCRIPTORS), known, new SettingsReader(values));
        } catch (JsonParseException | IllegalStateException | NullPointerException | ClassCastException
                | IllegalArgumentException | UnsupportedOperationException e) {
            throw new MalformedSettingsException("the configuration " + path + " can't be used: "
                    + String.valueOf(e.getMessage()).lines().findFirst().orElse(""));
        }
    }

    /** A whole number from 1 up; what is no such number is no limit that could be kept. */
    private static long limit(JsonObject limits, String name, long absent) {
        long limit = limits.has(name) ? (long) limits.get(name).getAsDouble() : absent;
        if (limit < 1 || limit > Integer.MAX_VALUE) {
            throw new IllegalArgumentException("limits." + name + " is " + limits.get(name));
        }
        return limit;
    }

    /** The same without what is read once at the start. */
    public Config started() {
        return new Config(listen, feed, seed, memory, descriptors, "", settings);
    }

    /** What a gateway cannot change in service, of what the other says differently. */
    public List<String> differsIn(Config other) {
        Map<String, Boolean> same = new LinkedHashMap<>();
        same.put("listen", listen.equals(other.listen));
        same.put("limits", memory == other.memory && descriptors == other.descriptors);
        same.put("settings", settings.equals(other.settings));
        return same.entrySet().stream().filter(part -> !part.getValue()).map(Map.Entry::getKey).toList();
    }

    /** HOST:PORT, the host a number, for there are no names to be looked up. */
    public static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException("no address: " + text);
        }
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    private static long seed(String text) {
        if (text.matches("[0-9a-f]{1,16}")) {
            return Long.parseUnsignedLong(text, 16);
        }
        CRC32 crc = new CRC32();
        crc.update(text.getBytes(java.nio.charset.StandardCharsets.UTF_8));
        return crc.getValue();
    }

    /** Nested objects as the simulator's lines spell them: paths with dots, plain lists joined by commas. */
    private static void flatten(String path, JsonElement value, Map<String, String> values) {
        if (value.isJsonObject()) {
            value.getAsJsonObject().entrySet().forEach(member ->
                    flatten(path.isEmpty() ? member.getKey() : path + "." + member.getKey(), member.getValue(), values));
        } else if (value.isJsonArray()) {
            JsonArray items = value.getAsJsonArray();
            boolean plain = true;
            StringBuilder joined = new StringBuilder();
            for (int i = 0; i < items.size(); i++) {
                if (items.get(i).isJsonPrimitive()) {
                    joined.append(i == 0 ? "" : ",").append(SettingsReader.plain(items.get(i).getAsString()));
                } else {
                    plain = false;
                    flatten(path + "." + i, items.get(i), values);
                }
            }
            values.put(plain ? path : path + ".count", plain ? joined.toString() : String.valueOf(items.size()));
        } else if (value.isJsonPrimitive()) {
            values.put(path, SettingsReader.plain(value.getAsString()));
        }
    }
}
