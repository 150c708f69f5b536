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

/** A group of three gateways: one is killed and restarted, one leaves in order. */
@Timeout(180)
class MembershipIT {

  @TempDir Path folder;

  private MemberProcesses processes;

  @BeforeEach
  void writeSettings() throws Exception {
    processes = new MemberProcesses(folder, 3);
    List<String> addresses = processes.addresses;
    for (int i = 0; i < addresses.size(); i++) {
      Files.writeString(
          folder.resolve(i + ".xml"),
          Files.readString(Path.of("deploy/members.xml"))
              .replace(
                  "127.0.0.1:9001\" name=\"127.0.0.1:9001\" state=\"members.birth\"",
                  addresses.get(i) + "\"")
              .replace("127.0.0.1:9001", addresses.get(0))
              .replace("127.0.0.1:9002", addresses.get(1))
              .replace("127.0.0.1:9003", addresses.get(2))
              .replace("PT3S", "PT1S"));
    }
  }

  @AfterEach
  void stopProcesses() throws Exception {
    processes.close();
  }

  @Test
  void killedMemberIsFaultyRejoinsAndLeavesInOrder() throws Exception {
    startAllConnected();
    String killed = processes.addresses.get(2);
    long incarnation = awaitIncarnation("2.log", "self " + killed + "#(\\d+)");
    processes.kill(2);
    for (String log : List.of("0.log", "1.log")) {
      processes.awaitLogLine(log, "member: " + killed + "#" + incarnation + " faulty");
    }
    Process restarted = processes.startMember(2, "again.log");
    String otherIncarnationAlive = "member: " + killed + "#(?!" + incarnation + " )(\\d+) alive";
    for (String log : List.of("0.log", "1.log")) {
      assertThat(awaitIncarnation(log, otherIncarnationAlive)).isGreaterThan(incarnation);
    }
    processes.awaitLogLine("again.log", "connectivity: connected");
    restarted.destroy();
    processes.awaitLogLine("0.log", "member: " + killed + "#\\d+ left");
    Pattern falseReport = Pattern.compile(processes.addresses.get(1) + "#\\d+ faulty");
    assertThat(falseReport.matcher(processes.readLog("0.log")).find())
        .as("a member that runs was reported as faulty")
        .isFalse();
  }

  /** Starts all members and waits until each knows the others. */
  private void startAllConnected() throws Exception {
    for (int i = 0; i < 3; i++) {
      processes.startMember(i, i + ".log");
    }
    for (int i = 0; i < 3; i++) {
      for (String address : processes.addresses) {
        if (!address.equals(processes.addresses.get(i))) {
          processes.awaitLogLine(i + ".log", "member: " + address + "#\\d+ alive");
        }
      }
      processes.awaitLogLine(i + ".log", "connectivity: connected");
    }
  }

  private long awaitIncarnation(String log, String regex) throws Exception {
    return Long.parseLong(processes.awaitLogLine(log, regex).group(1));
  }

  @Test
  void drainFromOneMembersFeedReachesAllMembers() throws Exception {
    for (int i = 1; i < 3; i++) {
      Path config = folder.resolve(i + ".json");
      // Nothing listens on the discard port, so this gateway has no feed.
      Files.writeString(
          config,
          Files.readString(config).replace("127.0.0.1:" + processes.feed.port(), "127.0.0.1:9"));
    }
    for (int i = 0; i < 3; i++) {
      processes.startMember(i, i + ".log");
    }
    for (int i = 0; i < 3; i++) {
      processes.awaitLogLine(i + ".log", "connectivity: connected");
    }
    processes.feed.publish(
        "{\"n\":N,\"members\":{\"version\":2,\"full\":false,\"servers\":[{\"id\":\"s-0000000a\","
            + "\"state\":\"draining\"}]}}");
    long publishedAt = System.currentTimeMillis();
    for (String log : List.of("1.log", "2.log")) {
      long receivedAt =
          Long.parseLong(
              processes
                  .awaitLogLine(log, "(?m)^(\\d+) feed-event: event 2 received from 127.0.0.1:")
                  .group(1));
      // The rig requires 500 ms of an idle machine; here other tests run at the same time.
      assertThat(receivedAt - publishedAt).isLessThan(3_000);
      System.out.println("a drain was received after " + (receivedAt - publishedAt) + " ms");
    }
    assertThat(processes.readLog("0.log")).doesNotContain("feed-event: event");
  }

  /** A gateway with a heap of 32 MB has no room for these classes. */
  @Test
  void membershipClassesAreNotLoadedWithoutTheOption() throws Exception {
    processes.start(
        0,
        "alone.log",
        List.of(
            "-Xlog:class+load:file=" + folder.resolve("classes"),
            "-jar",
            "target/tamarindroute.jar",
            "serve"));
    processes.awaitLogLine("alone.log", "warmed-up: ");
    assertThat(processes.readLog("classes"))
        .contains("tamarindroute.gateway.GatewayServer")
        .doesNotContain("tamarindroute.member")
        .doesNotContain("com.google.protobuf");
  }

  @Test
  void invalidSettingsEndTheStartWithFileAndLine() throws Exception {
    Path file = folder.resolve("0.xml");
    Files.writeString(file, Files.readString(file).replace("PT1S\"", "soon\""));
    Process process = processes.startMember(0, "bad.log");
    assertThat(process.waitFor(20, TimeUnit.SECONDS)).isTrue();
    assertThat(process.exitValue()).isEqualTo(3);
    assertThat(processes.readLog("bad.log")).contains(file + ":10:");
  }
}
