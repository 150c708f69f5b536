package tamarindroute.faultinjection;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;

/** Writes the gateway's configuration file of a scenario, from the example's. */
final class ScenarioConfiguration {

  private static final Path EXAMPLE = Path.of("example/config.json");

  private final ScenarioContext context;
  private final Path folder;
  private final int listenPort;
  private final List<ScriptedCache> caches;

  ScenarioConfiguration(
      ScenarioContext context, Path folder, int listenPort, List<ScriptedCache> caches) {
    this.context = context;
    this.folder = folder;
    this.listenPort = listenPort;
    this.caches = caches;
  }

  Path file() {
    return folder.resolve("config.json");
  }

  /** Replaces the file at once by one that names this port of the feed. */
  void write(int feedPort) throws IOException {
    String text =
        Files.readString(EXAMPLE)
            .replace("127.0.0.1:7000", "127.0.0.1:" + listenPort)
            .replace("127.0.0.1:7001", "127.0.0.1:" + feedPort)
            .replaceFirst("(?s)\"servers\": \\[.*?\\n    \\]", "\"servers\": [" + servers() + "]")
            .replaceFirst("(?s)\"Classes\": \\[.*?\\n    \\]", "\"Classes\": [" + classes() + "]")
            .replace("\"MaxAgeNs\": [0, 0, 0]", "\"MaxAgeNs\": [0, 0, 0, 0]")
            .replace(
                "\"NeverKept\": [false, true, true]", "\"NeverKept\": [false, true, true, true]")
            .replace("\"SecondCopies\": false", "\"SecondCopies\": " + context.secondCopies);
    Path temporary = folder.resolve("config.new");
    Files.writeString(temporary, text);
    Files.move(
        temporary, file(), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
  }

  private String servers() {
    return caches.stream()
        .map(cache -> FeedMessages.endpoint(cache, "ready", 0))
        .collect(Collectors.joining(","));
  }

  private static String classes() {
    return Arrays.stream(RequestClass.values())
        .map(ScenarioConfiguration::classEntry)
        .collect(Collectors.joining(","));
  }

  private static String classEntry(RequestClass requestClass) {
    return "{\"Name\":\""
        + requestClass.configuredName
        + "\",\"Semantics\":\""
        + semantics(requestClass)
        + "\",\"Group\":\""
        + (requestClass.rejectAlwaysSafe ? "all" : "cell")
        + "\",\"WindowNs\":"
        + ScenarioContext.DEDUPLICATION_WINDOW_MS * Journal.NANOS_PER_MS
        + ",\"GoalTimeNs\":600000000,\"AimStretch\":1.6,\"DeadlineNs\":"
        + ScenarioContext.LONGEST_DEADLINE_MS * Journal.NANOS_PER_MS
        + ",\"Gain\":2.0,\"LateValue\":0.0,\"Streamed\":false}";
  }

  private static String semantics(RequestClass requestClass) {
    if (requestClass.idempotent) {
      return "pure";
    }
    return requestClass.keyed ? "token" : "side_effect";
  }
}
