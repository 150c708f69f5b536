package tamarindroute.rig.play;

import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import tamarindroute.rig.proxy.ProxyNetwork;
import tamarindroute.rig.schedule.Schedule;
import tamarindroute.rig.schedule.Schedule.ProcessKind;

/** The command that starts a process of each kind, and its configuration. */
final class ProcessCommands {

  private static final String CONFIGURATION = "EDGE_CONFIG";

  private final ProcessKind kind;
  private final Path folder;
  private final Map<String, Integer> ports;
  private final FakeServers servers;
  private final ProxyPorts proxyPorts;
  private final MemberSettings memberSettings;

  /** {@code servers} is null for stubs. */
  ProcessCommands(
      Schedule schedule,
      Path folder,
      Map<String, Integer> ports,
      FakeServers servers,
      ProxyNetwork proxies)
      throws IOException {
    kind = schedule.kind();
    this.folder = folder;
    this.ports = ports;
    this.servers = servers;
    proxyPorts = new ProxyPorts(proxies);
    if (kind != ProcessKind.GATEWAYS) {
      proxyPorts.openBetween(ports);
    }
    memberSettings = new MemberSettings(schedule.settings(), folder, ports, proxyPorts);
  }

  ProcessBuilder command(String name, Duration clockOffset) throws IOException {
    return switch (kind) {
      case GATEWAYS -> configured(name, "deploy/serve.sh");
      case MEMBERS -> member(name, clockOffset);
      case STUBS -> stub(name);
    };
  }

  private ProcessBuilder configured(String name, String... command) throws IOException {
    ProcessBuilder builder = new ProcessBuilder(command);
    Path configuration = servers.writeConfiguration(name, ports.get(name), folder);
    builder.environment().put(CONFIGURATION, configuration.toAbsolutePath().toString());
    return builder;
  }

  private ProcessBuilder member(String name, Duration clockOffset) throws IOException {
    return configured(
        name,
        "java",
        "-Xmx64m",
        "-XX:+UseSerialGC",
        "-XX:TieredStopAtLevel=1",
        "-jar",
        "target/tamarindroute.jar",
        "serve",
        "--members",
        memberSettings.write(name, clockOffset).toString());
  }

  private ProcessBuilder stub(String name) throws IOException {
    List<String> command =
        new ArrayList<>(
            List.of(
                "java",
                "-Xmx32m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                classPath(),
                StubMember.class.getName(),
                name,
                String.valueOf(ports.get(name))));
    for (String other : ports.keySet()) {
      if (!other.equals(name)) {
        command.add(other + "=" + proxyPorts.get(name, other));
      }
    }
    return new ProcessBuilder(command);
  }

  private static String classPath() throws IOException {
    try {
      return Path.of(StubMember.class.getProtectionDomain().getCodeSource().getLocation().toURI())
          .toString();
    } catch (URISyntaxException e) {
      throw new IOException("location of the test classes is no path", e);
    }
  }
}
