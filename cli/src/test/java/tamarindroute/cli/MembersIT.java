package tamarindroute.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Three gateways of the program that know each other: one is killed and comes back, one goes in
 * order.
 */
@Timeout(180)
class MembersIT {

  @TempDir Path folder;

  private MemberProcesses processes;

  @BeforeEach
  void files() throws Exception {
    processes = new MemberProcesses(folder, 3);
    List<String> names = processes.names;
    for (int i = 0; i < names.size(); i++) {
      Files.writeString(
          folder.resolve(i + ".xml"),
          Files.readString(Path.of("deploy/members.xml"))
              .replace(
                  "127.0.0.1:9001\" name=\"127.0.0.1:9001\" state=\"members.birth\"",
                  names.get(i) + "\"")
              .replace("127.0.0.1:9001", names.get(0))
              .replace("127.0.0.1:9002", names.get(1))
              .replace("127.0.0.1:9003", names.get(2))
              .replace("PT3S", "PT1S"));
    }
  }

  @AfterEach
  void end() throws Exception {
    processes.close();
  }

  @Test
  void oneIsMissedWhenKilledTakenAgainAndNotMissedWhenItLeaves() throws Exception {
    for (int i = 0; i < 3; i++) {
      processes.member(i, i + ".log");
    }
    for (int i = 0; i < 3; i++) {
      for (String name : processes.names) {
        if (!name.equals(processes.names.get(i))) {
          processes.logged(i + ".log", "member: " + name + "#\\d+ alive");
        }
      }
      processes.logged(i + ".log", "connectivity: connected");
    }
    long birth =
        Long.parseLong(
            processes.logged("2.log", "self " + processes.names.get(2) + "#(\\d+)").group(1));
    processes.started.get(2).destroyForcibly().waitFor();
    processes.logged("0.log", "member: " + processes.names.get(2) + "#" + birth + " faulty");
    processes.logged("1.log", "member: " + processes.names.get(2) + "#" + birth + " faulty");
    Process again = processes.member(2, "again.log");
    for (String log : List.of("0.log", "1.log")) {
      long later =
          Long.parseLong(
              processes
                  .logged(
                      log, "member: " + processes.names.get(2) + "#(?!" + birth + " )(\\d+) alive")
                  .group(1));
      assertThat(later).isGreaterThan(birth);
    }
    processes.logged("again.log", "connectivity: connected");
    again.destroy();
    processes.logged("0.log", "member: " + processes.names.get(2) + "#\\d+ left");
    String first = processes.read("0.log");
    assertThat(Pattern.compile(processes.names.get(1) + "#\\d+ faulty").matcher(first).find())
        .as("a false word")
        .isFalse();
  }

  @Test
  void aDrainThatOneFeedTellsAllKnow() throws Exception {
    for (int i = 1; i < 3; i++) {
      Path config = folder.resolve(i + ".json");
      // Nobody listens at the discard port: this gateway has no feed.
      Files.writeString(
          config,
          Files.readString(config).replace("127.0.0.1:" + processes.feed.port(), "127.0.0.1:9"));
    }
    for (int i = 0; i < 3; i++) {
      processes.member(i, i + ".log");
    }
    for (int i = 0; i < 3; i++) {
      processes.logged(i + ".log", "connectivity: connected");
    }
    processes.feed.tell(
        "{\"n\":N,\"members\":{\"version\":2,\"full\":false,\"servers\":[{\"id\":\"s-0000000a\","
            + "\"state\":\"draining\"}]}}");
    long told = System.currentTimeMillis();
    for (String log : List.of("1.log", "2.log")) {
      long known =
          Long.parseLong(
              processes
                  .logged(log, "(?m)^(\\d+) feed-event: event 2 received from 127.0.0.1:")
                  .group(1));
      // 500 ms is what the rig asks of a quiet machine; here other tests run beside.
      assertThat(known - told).isLessThan(3_000);
      System.out.println("a drain was known after " + (known - told) + " ms");
    }
    assertThat(processes.read("0.log")).doesNotContain("feed-event: event");
  }

  /** The gateway alone has no room for any of it. */
  @Test
  void withoutTheOptionNothingOfItIsLoaded() throws Exception {
    processes.start(
        0,
        "alone.log",
        List.of(
            "-Xlog:class+load:file=" + folder.resolve("classes"),
            "-jar",
            "target/tamarindroute.jar",
            "serve"));
    processes.logged("alone.log", "warmed-up: ");
    assertThat(processes.read("classes"))
        .contains("tamarindroute.gateway.GatewayServer")
        .doesNotContain("tamarindroute.member")
        .doesNotContain("com.google.protobuf");
  }

  @Test
  void settingsThatCannotBeUsedEndTheStartWithTheirPlaces() throws Exception {
    Path file = folder.resolve("0.xml");
    Files.writeString(file, Files.readString(file).replace("PT1S\"", "soon\""));
    Process process = processes.member(0, "bad.log");
    assertThat(process.waitFor(20, TimeUnit.SECONDS)).isTrue();
    assertThat(process.exitValue()).isEqualTo(3);
    assertThat(processes.read("bad.log")).contains(file + ":10:");
  }
}
