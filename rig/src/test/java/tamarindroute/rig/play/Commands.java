package tamarindroute.rig.play;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import tamarindroute.example.ToyServer;
import tamarindroute.rig.journal.Journal;
import tamarindroute.rig.proxy.Proxies;
import tamarindroute.rig.schedule.Schedule;

/** How a process of each kind is started, and by what it shows that it is ready. */
final class Commands {

  /** Beyond any clock that a schedule sets back. */
  private static final Duration AHEAD = Duration.ofDays(1);

  private final Schedule schedule;
  private final Path folder;
  private final Map<String, Integer> ports;
  private final Town town;

  /** The proxies' ports by the directed way, as "1 2". */
  private final Map<String, Integer> ways = new HashMap<>();

  private final Set<String> begun = new HashSet<>();

  Commands(Schedule schedule, Path folder, Map<String, Integer> ports, Town town, Proxies proxies)
      throws IOException {
    this.schedule = schedule;
    this.folder = folder;
    this.ports = ports;
    this.town = town;
    if (schedule.kind != Schedule.Kind.GATEWAYS) {
      for (String one : ports.keySet()) {
        for (String other : ports.keySet()) {
          if (!one.equals(other)) {
            ways.put(
                one + " " + other,
                proxies.open(one, other, new InetSocketAddress("127.0.0.1", ports.get(other))));
          }
        }
      }
    }
  }

  ProcessBuilder make(String name, Duration clock) throws IOException {
    return switch (schedule.kind) {
      case GATEWAYS -> gateway(name);
      case MEMBERS -> member(name, clock);
      case STAND_INS -> standIn(name);
    };
  }

  private ProcessBuilder gateway(String name) throws IOException {
    ProcessBuilder builder = new ProcessBuilder("deploy/serve.sh");
    builder
        .environment()
        .put(
            "EDGE_CONFIG",
            town.configure(name, ports.get(name), folder).toAbsolutePath().toString());
    return builder;
  }

  private ProcessBuilder member(String name, Duration clock) throws IOException {
    ProcessBuilder builder =
        new ProcessBuilder(
            "java",
            "-Xmx64m",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-jar",
            "target/tamarindroute.jar",
            "serve",
            "--members",
            settings(name, clock).toString());
    builder
        .environment()
        .put(
            "EDGE_CONFIG",
            town.configure(name, ports.get(name), folder).toAbsolutePath().toString());
    return builder;
  }

  private String address(String name) {
    return "127.0.0.1:" + ports.get(name);
  }

  /**
   * A member's settings: every other is reached over its proxy. Its wall clock is the rig's by the
   * state file, whose birth, a day ahead of the machine's clock, the program goes past: so a start
   * may also be one with a clock set back.
   */
  private Path settings(String name, Duration clock) throws IOException {
    StringBuilder text =
        new StringBuilder(
            "<members xmlns=\"urn:tamarindroute:members:1\" listen=\""
                + address(name)
                + "\" state=\"birth-"
                + name
                + "\">\n<key id=\"1\" file=\"members.key\"/>\n");
    List<String> seeds = new ArrayList<>(words("seeds", List.of("1")));
    boolean together = seeds.remove("together");
    // The first of the seeds begins alone, and the others find it: else all wait for one another at
    // first.
    boolean founds = begun.add(name) && seeds.indexOf(name) == 0 && !together;
    for (String seed : founds ? List.of(name) : seeds) {
      text.append("<seed address=\"").append(address(seed)).append("\"/>\n");
    }
    for (String voter : words("voters", List.of())) {
      text.append("<voter address=\"").append(address(voter)).append("\"/>\n");
    }
    for (String other : ports.keySet()) {
      if (!other.equals(name)) {
        text.append("<way to=\"")
            .append(address(other))
            .append("\" by=\"127.0.0.1:")
            .append(ways.get(name + " " + other))
            .append("\"/>\n");
      }
    }
    List<String> timing = words("timing", List.of("PT0.5S", "PT1S"));
    text.append("<timing probe=\"")
        .append(timing.get(0))
        .append("\" pause=\"")
        .append(timing.get(1))
        .append("\"/>\n</members>\n");
    Path key = folder.resolve("members.key");
    if (!Files.exists(key)) {
      Files.createFile(
          key, PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------")));
      Files.writeString(key, "0123456789abcdef".repeat(4) + "\n");
    }
    Files.writeString(
        folder.resolve("birth-" + name),
        System.currentTimeMillis() + AHEAD.plus(clock).toMillis() + "\n");
    return Files.writeString(folder.resolve("members-" + name + ".xml"), text.toString())
        .toAbsolutePath();
  }

  /** The words behind a setting's name, or what stands in for them. */
  private List<String> words(String setting, List<String> otherwise) {
    return schedule.settings.stream()
        .filter(words -> words.get(0).equals(setting))
        .findFirst()
        .map(words -> words.subList(1, words.size()))
        .orElse(otherwise);
  }

  private ProcessBuilder standIn(String name) {
    List<String> words =
        new ArrayList<>(
            List.of(
                "java",
                "-Xmx32m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                classes(),
                StandInMember.class.getName(),
                name,
                String.valueOf(ports.get(name))));
    for (String other : ports.keySet()) {
      if (!other.equals(name)) {
        words.add(other + "=" + ways.get(name + " " + other));
      }
    }
    return new ProcessBuilder(words);
  }

  private static String classes() {
    return Path.of(
            java.net.URI.create(
                StandInMember.class.getProtectionDomain().getCodeSource().getLocation().toString()))
        .toString();
  }

  /**
   * Members are ready for a play once each has counted in every other, and says that it is in
   * touch.
   */
  void awaitMet(Journal journal, Duration longest) throws IOException, InterruptedException {
    for (String one : schedule.kind == Schedule.Kind.MEMBERS ? ports.keySet() : List.<String>of()) {
      for (String other : ports.keySet()) {
        if (!one.equals(other)
            && !journal.await(
                line ->
                    line.by(one)
                        && line.text().endsWith(" alive")
                        && line.text().contains(" " + address(other) + "#"),
                longest)) {
          throw new IOException("member " + one + " has not met " + other);
        }
      }
      long end = System.nanoTime() + longest.toNanos();
      while (!journal.last(one, "connectivity").endsWith("connected")) {
        if (System.nanoTime() > end) {
          throw new IOException("member " + one + " is not connected");
        }
        TimeUnit.MILLISECONDS.sleep(20);
      }
    }
  }

  /** A gateway is ready once it says GREEN, a stand-in once it prints so. */
  void awaitReady(Actor actor, Journal journal, Duration longest)
      throws IOException, InterruptedException {
    if (schedule.kind == Schedule.Kind.STAND_INS) {
      if (!journal.await(line -> line.by(actor.name) && line.text().equals("ready"), longest)) {
        throw new IOException("process " + actor.name + " did not start");
      }
      return;
    }
    long end = System.nanoTime() + longest.toNanos();
    while (System.nanoTime() < end && actor.alive()) {
      try (ToyServer.Client client =
          new ToyServer.Client(new InetSocketAddress("127.0.0.1", actor.port))) {
        client.send("RPC.HEALTH", 1, "");
        if (new String(client.readResponse().get(1), StandardCharsets.UTF_8).equals("GREEN")) {
          return;
        }
      } catch (SocketException e) {
        // It doesn't listen yet.
      }
      TimeUnit.MILLISECONDS.sleep(50);
    }
    throw new IOException(
        "gateway "
            + actor.name
            + " did not start: "
            + journal.lines().stream()
                .filter(line -> line.by(actor.name))
                .map(Object::toString)
                .toList());
  }
}
