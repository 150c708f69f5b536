package tamarindroute.rig.play;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import tamarindroute.rig.schedule.ProcessSettings;

/** Writes the members' settings, in which each reaches every other through its proxy. */
final class MemberSettings {

  /** More than any schedule sets a clock back. */
  private static final Duration INCARNATION_OFFSET = Duration.ofDays(1);

  private static final String KEY_FILE = "members.key";
  private static final String KEY = "0123456789abcdef".repeat(4) + "\n";

  private final ProcessSettings settings;
  private final Path folder;
  private final Map<String, Integer> ports;
  private final ProxyPorts proxyPorts;
  private final Set<String> startedBefore = new HashSet<>();

  MemberSettings(
      ProcessSettings settings, Path folder, Map<String, Integer> ports, ProxyPorts proxyPorts) {
    this.settings = settings;
    this.folder = folder;
    this.ports = ports;
    this.proxyPorts = proxyPorts;
  }

  /**
   * Writes the settings for a start.
   *
   * @param name the member
   * @param clockOffset by how much its wall clock is off. The clock of one process can't be set:
   *     instead the state file names a last incarnation a day ahead, which the program continues
   * @return the settings file
   */
  Path write(String name, Duration clockOffset) throws IOException {
    writeKey();
    long incarnation = System.currentTimeMillis() + INCARNATION_OFFSET.plus(clockOffset).toMillis();
    Files.writeString(folder.resolve(stateFile(name)), incarnation + "\n");
    return Files.writeString(folder.resolve("members-" + name + ".xml"), document(name))
        .toAbsolutePath();
  }

  private static String stateFile(String name) {
    return "incarnation-" + name;
  }

  private void writeKey() throws IOException {
    Path key = folder.resolve(KEY_FILE);
    if (!Files.exists(key)) {
      Files.createFile(
          key, PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------")));
      Files.writeString(key, KEY);
    }
  }

  private String document(String name) {
    StringBuilder text = new StringBuilder();
    text.append(
        "<members xmlns=\"urn:tamarindroute:members:1\" listen=\"%s\" state=\"%s\">\n"
            .formatted(address(name), stateFile(name)));
    text.append("<key id=\"1\" file=\"%s\"/>\n".formatted(KEY_FILE));
    for (String seed : seedsFor(name)) {
      text.append("<seed address=\"%s\"/>\n".formatted(address(seed)));
    }
    for (String voter : settings.voters()) {
      text.append("<voter address=\"%s\"/>\n".formatted(address(voter)));
    }
    for (String other : ports.keySet()) {
      if (!other.equals(name)) {
        String proxy = Loopback.text(proxyPorts.get(name, other));
        text.append("<way to=\"%s\" by=\"%s\"/>\n".formatted(address(other), proxy));
      }
    }
    text.append(
        "<timing probe=\"%s\" pause=\"%s\"/>\n".formatted(settings.probe(), settings.pause()));
    return text.append("</members>\n").toString();
  }

  /** At first the first seed starts alone: otherwise all would wait for one another. */
  private List<String> seedsFor(String name) {
    boolean firstStart = startedBefore.add(name);
    boolean firstSeed = !settings.seeds().isEmpty() && settings.seeds().get(0).equals(name);
    boolean startsAlone = firstStart && firstSeed && !settings.seedsTogether();
    return startsAlone ? List.of(name) : settings.seeds();
  }

  private String address(String name) {
    return Loopback.text(ports.get(name));
  }
}
