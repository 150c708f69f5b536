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

/**
 * Five gateways of the program, three of which vote: one that leads is killed, one that leads is
 * stopped a while.
 */
@Execution(ExecutionMode.CONCURRENT)
@Timeout(180)
class AgreedIT {

  private static final int ALL = 5;
  private static final int VOTERS = 3;

  @TempDir Path folder;

  private MemberProcesses processes;

  @BeforeEach
  void files() throws Exception {
    processes = new MemberProcesses(folder, ALL);
    for (int i = 0; i < ALL; i++) {
      settings(i, VOTERS);
    }
  }

  private void settings(int place, int voters) throws Exception {
    String seeds =
        processes.names.stream()
            .map(name -> "<seed address=\"" + name + "\"/>")
            .collect(Collectors.joining());
    Files.writeString(
        folder.resolve(place + ".xml"),
        "<members xmlns=\"urn:tamarindroute:members:1\" listen=\""
            + processes.names.get(place)
            + "\" state=\""
            + place
            + ".birth\"><key id=\"1\" file=\"members.key\"/>"
            + seeds
            + processes.names.stream()
                .limit(voters)
                .map(name -> "<voter address=\"" + name + "\"/>")
                .collect(Collectors.joining())
            + "<timing probe=\"PT1S\" pause=\"PT2S\"/></members>\n");
  }

  @AfterEach
  void end() throws Exception {
    processes.close();
  }

  /** All five up and in the view; the place of who leads. */
  private int startAll() throws Exception {
    for (int i = 0; i < ALL; i++) {
      processes.member(i, i + ".log");
    }
    String leader =
        processes
            .logged("0.log", 0, "agreed-view: view \\d+, 5 members, leader (\\S+)#\\d+")
            .group(1);
    for (int i = 1; i < ALL; i++) {
      processes.logged(
          i + ".log", 0, "agreed-view: view \\d+, 5 members, leader " + leader + "#\\d+");
    }
    assertThat(processes.names.indexOf(leader)).isBetween(0, VOTERS - 1);
    return processes.names.indexOf(leader);
  }

  @Test
  void aLeaderThatIsKilledIsCutOutByTheNextAndVotesAgainAsWhoItWas() throws Exception {
    int dead = startAll();
    int other = (dead + 1) % VOTERS;
    String led =
        "agreed-view: view (\\d+), %d members, leader (?!" + processes.names.get(dead) + ")\\S+";
    String life =
        processes
            .logged(dead + ".log", 0, "agreed-view: voting as (\\S+), with an empty store")
            .group(1);
    processes.started.get(dead).destroyForcibly().waitFor();
    int before = processes.length("4.log");
    long killed = System.nanoTime();
    Matcher next = processes.logged(other + ".log", 0, led.formatted(4));
    processes.logged("4.log", before, led.formatted(4));
    System.out.println(
        "without the leader's member after "
            + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - killed)
            + " ms: "
            + next.group());
    before = processes.length("4.log");
    processes.member(dead, "again.log");
    assertThat(processes.logged("again.log", 0, "agreed-view: voting as (\\S+)").group(1))
        .isEqualTo(life);
    processes.logged("4.log", before, led.formatted(5));
    processes.logged("again.log", 0, led.formatted(5));
    assertThat(processes.read("4.log"))
        .as("the change of a leader goes unnoticed")
        .doesNotContain("no valid view");
  }

  @Test
  void aLeaderThatWasStoppedKnowsItAndLeadsNoMore() throws Exception {
    int stopped = startAll();
    String log = stopped + ".log";
    int at = processes.length(log);
    signal(stopped, "STOP");
    String led =
        "agreed-view: view \\d+, 4 members, leader (?!"
            + processes.names.get(stopped)
            + ")(\\S+)#\\d+";
    String next = processes.logged("3.log", 0, led).group(1);
    processes.logged("4.log", 0, led);
    // Past the longest lease.
    TimeUnit.SECONDS.sleep(4);
    int others = processes.length("3.log");
    signal(stopped, "CONT");
    processes.logged(log, at, "connectivity: paused \\d{4,} ms");
    processes.logged(log, at, "agreed-view: no valid view for \\d+ ms");
    processes.logged(log, at, "agreed-view: not leader any more");
    processes.logged(log, at, "agreed-view: view \\d+, 5 members, leader " + next);
    processes.logged("3.log", others, "agreed-view: view \\d+, 5 members, leader " + next);
    String since = processes.read(log).substring(at);
    assertThat(since).doesNotContain("leader " + processes.names.get(stopped));
    assertThat(since.indexOf("no valid view"))
        .as("it knows before it holds a view again")
        .isLessThan(since.indexOf("agreed-view: view"));
    assertThat(processes.read("3.log").substring(others))
        .doesNotContain("leader " + processes.names.get(stopped));
  }

  @Test
  void withoutMostVotersOperatorsAreToldAndGatewaysStay() throws Exception {
    for (int i = 0; i < VOTERS + 1; i++) {
      processes.member(i, i + ".log");
    }
    String leader =
        processes
            .logged("3.log", 0, "agreed-view: view \\d+, 4 members, leader (\\S+)#\\d+")
            .group(1);
    int left = processes.names.indexOf(leader);
    for (int i = 0; i < VOTERS; i++) {
      if (i != left) {
        processes.started.get(i).destroyForcibly().waitFor();
      }
    }
    for (String log : List.of("3.log", left + ".log")) {
      processes.logged(log, 0, "agreed-view: no valid view for \\d+ ms");
    }
    processes.logged(left + ".log", 0, "agreed-view: no quorum for \\d+ ms");
    assertThat(processes.started.get(3).isAlive() && processes.started.get(left).isAlive())
        .isTrue();
    int back = (left + 1) % VOTERS;
    int at = processes.length("3.log");
    processes.member(back, "back.log");
    processes.logged(left + ".log", 0, "agreed-view: quorum restored");
    processes.logged("3.log", at, "agreed-view: view \\d+, 3 members, leader ");
  }

  private void signal(int place, String name) throws Exception {
    assertThat(
            new ProcessBuilder(
                    "kill", "-" + name, Long.toString(processes.started.get(place).pid()))
                .start()
                .waitFor())
        .isZero();
  }

  /** Who agrees nothing carries nothing for it. */
  @Test
  void withoutVotersNothingOfItIsLoaded() throws Exception {
    for (int i = 0; i < 2; i++) {
      settings(i, 0);
      processes.member(i, i + ".log", "-Xlog:class+load:file=" + folder.resolve("classes" + i));
    }
    processes.logged("0.log", 0, "connectivity: connected");
    assertThat(processes.read("classes0"))
        .contains("tamarindroute.membership.Membership")
        .doesNotContain("io.microraft")
        .doesNotContain("tamarindroute.agreement")
        .doesNotContain("tamarindroute.members.agreed.VoterMessageTransport");
    assertThat(processes.read("0.log")).doesNotContain("agreed-view:");
  }
}
