package tamarindroute.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

/** A group of five gateways, three of which vote, through the loss of its leader or its quorum. */
@Execution(ExecutionMode.CONCURRENT)
@Timeout(180)
class AgreedViewIT {

  private static final int MEMBERS = 5;
  private static final int VOTERS = 3;

  @TempDir Path folder;

  private MemberProcesses processes;

  @BeforeEach
  void writeSettings() throws Exception {
    processes = new MemberProcesses(folder, MEMBERS);
    for (int i = 0; i < MEMBERS; i++) {
      writeSettings(i, VOTERS);
    }
  }

  private void writeSettings(int member, int voters) throws Exception {
    String seeds =
        processes.addresses.stream()
            .map(name -> "<seed address=\"" + name + "\"/>")
            .collect(Collectors.joining());
    Files.writeString(
        folder.resolve(member + ".xml"),
        "<members xmlns=\"urn:tamarindroute:members:1\" listen=\""
            + processes.addresses.get(member)
            + "\" state=\""
            + member
            + ".birth\"><key id=\"1\" file=\"members.key\"/>"
            + seeds
            + processes.addresses.stream()
                .limit(voters)
                .map(name -> "<voter address=\"" + name + "\"/>")
                .collect(Collectors.joining())
            + "<timing probe=\"PT1S\" pause=\"PT2S\"/></members>\n");
  }

  @AfterEach
  void stopProcesses() throws Exception {
    processes.close();
  }

  /** Starts all members, waits for a view of all, and returns the index of the leader. */
  private int startAll() throws Exception {
    for (int i = 0; i < MEMBERS; i++) {
      processes.startMember(i, i + ".log");
    }
    String leader =
        processes
            .awaitLogLine("0.log", 0, "agreed-view: view \\d+, 5 members, leader (\\S+)#\\d+")
            .group(1);
    for (int i = 1; i < MEMBERS; i++) {
      processes.awaitLogLine(
          i + ".log", 0, "agreed-view: view \\d+, 5 members, leader " + leader + "#\\d+");
    }
    assertThat(processes.addresses.indexOf(leader)).isBetween(0, VOTERS - 1);
    return processes.addresses.indexOf(leader);
  }

  @Test
  void killedLeaderIsRemovedBySuccessorAndVotesAgainUnderItsIdentity() throws Exception {
    int killed = startAll();
    int other = (killed + 1) % VOTERS;
    String newLeaderLine =
        "agreed-view: view (\\d+), %d members, leader (?!"
            + processes.addresses.get(killed)
            + ")\\S+";
    String incarnation =
        processes
            .awaitLogLine(killed + ".log", 0, "agreed-view: voting as (\\S+), with an empty store")
            .group(1);
    processes.kill(killed);
    int offset = processes.logLength("4.log");
    long killedAt = System.nanoTime();
    Matcher next = processes.awaitLogLine(other + ".log", 0, newLeaderLine.formatted(4));
    processes.awaitLogLine("4.log", offset, newLeaderLine.formatted(4));
    System.out.println(
        "view without the former leader after "
            + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - killedAt)
            + " ms: "
            + next.group());
    offset = processes.logLength("4.log");
    processes.startMember(killed, "again.log");
    assertThat(processes.awaitLogLine("again.log", 0, "agreed-view: voting as (\\S+)").group(1))
        .isEqualTo(incarnation);
    processes.awaitLogLine("4.log", offset, newLeaderLine.formatted(5));
    processes.awaitLogLine("again.log", 0, newLeaderLine.formatted(5));
    assertThat(processes.readLog("4.log"))
        .as("the view stays valid while the leader changes")
        .doesNotContain("no valid view");
  }

  @Test
  void suspendedLeaderDetectsThePauseAndStepsDown() throws Exception {
    int stopped = startAll();
    String log = stopped + ".log";
    int offset = processes.logLength(log);
    processes.signal(stopped, "STOP");
    String newLeaderLine =
        "agreed-view: view \\d+, 4 members, leader (?!"
            + processes.addresses.get(stopped)
            + ")(\\S+)#\\d+";
    String next = processes.awaitLogLine("3.log", 0, newLeaderLine).group(1);
    processes.awaitLogLine("4.log", 0, newLeaderLine);
    // Longer than any lease.
    TimeUnit.SECONDS.sleep(4);
    int otherOffset = processes.logLength("3.log");
    processes.signal(stopped, "CONT");
    processes.awaitLogLine(log, offset, "connectivity: paused \\d{4,} ms");
    processes.awaitLogLine(log, offset, "agreed-view: no valid view for \\d+ ms");
    processes.awaitLogLine(log, offset, "agreed-view: not leader any more");
    processes.awaitLogLine(log, offset, "agreed-view: view \\d+, 5 members, leader " + next);
    processes.awaitLogLine(
        "3.log", otherOffset, "agreed-view: view \\d+, 5 members, leader " + next);
    String since = processes.readLog(log).substring(offset);
    assertThat(since).doesNotContain("leader " + processes.addresses.get(stopped));
    assertThat(since.indexOf("no valid view"))
        .as("it reports the loss before it has a view again")
        .isLessThan(since.indexOf("agreed-view: view"));
    assertThat(processes.readLog("3.log").substring(otherOffset))
        .doesNotContain("leader " + processes.addresses.get(stopped));
  }

  @Test
  void lostQuorumIsLoggedAndGatewaysKeepRunning() throws Exception {
    for (int i = 0; i < VOTERS + 1; i++) {
      processes.startMember(i, i + ".log");
    }
    String leader =
        processes
            .awaitLogLine("3.log", 0, "agreed-view: view \\d+, 4 members, leader (\\S+)#\\d+")
            .group(1);
    int survivor = processes.addresses.indexOf(leader);
    for (int i = 0; i < VOTERS; i++) {
      if (i != survivor) {
        processes.kill(i);
      }
    }
    for (String log : List.of("3.log", survivor + ".log")) {
      processes.awaitLogLine(log, 0, "agreed-view: no valid view for \\d+ ms");
    }
    processes.awaitLogLine(survivor + ".log", 0, "agreed-view: no quorum for \\d+ ms");
    assertThat(processes.isAlive(3) && processes.isAlive(survivor)).isTrue();
    int restarted = (survivor + 1) % VOTERS;
    int offset = processes.logLength("3.log");
    processes.startMember(restarted, "back.log");
    processes.awaitLogLine(survivor + ".log", 0, "agreed-view: quorum restored");
    processes.awaitLogLine("3.log", offset, "agreed-view: view \\d+, 3 members, leader ");
  }

  @Test
  void consensusClassesAreNotLoadedWithoutVoters() throws Exception {
    for (int i = 0; i < 2; i++) {
      writeSettings(i, 0);
      processes.startMember(
          i, i + ".log", "-Xlog:class+load:file=" + folder.resolve("classes" + i));
    }
    processes.awaitLogLine("0.log", 0, "connectivity: connected");
    assertThat(processes.readLog("classes0"))
        .contains("tamarindroute.membership.Membership")
        .doesNotContain("io.microraft")
        .doesNotContain("tamarindroute.agreement")
        .doesNotContain("tamarindroute.members.agreed.VoterMessageTransport");
    assertThat(processes.readLog("0.log")).doesNotContain("agreed-view:");
  }
}
