package tamarindroute.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Starts of the program: without other programs, by any layout of its configuration, at an address
 * in use.
 */
@Timeout(60)
class StartIT extends GatewayHarness {

  /** The start script must run no other program, for a process may not be allowed to start one. */
  @Test
  void startsAndServesWhereNoOtherProgramCanBeStarted() throws Exception {
    gateway.destroyForcibly().waitFor();
    Path only = Files.createDirectory(folder.resolve("bin"));
    Files.createSymbolicLink(
        only.resolve("java"), Path.of(System.getProperty("java.home"), "bin", "java"));
    programPath = only.toString();
    launch();
    assertServes("a");
    assertThat(Files.readAllLines(folder.resolve("err.log"))).isEmpty();
    Path process = Path.of("/proc/" + gateway.pid());
    assertThat(Files.readString(process.resolve("comm")).strip()).isEqualTo("java");
    assertThat(Files.readString(process.resolve("task/" + gateway.pid() + "/children"))).isBlank();
    // Page faults of children that were waited for, also by the shell before it: there was no
    // child.
    String[] stat =
        Files.readString(process.resolve("stat")).replaceAll("\\(.*\\)", "x").split(" ", -1);
    assertThat(stat[10]).isEqualTo("0");
  }

  /** A limit that can't be read counts as the default; one far down a long file is found. */
  @Test
  void theMemoryIsReadHoweverTheFileIsLaidOut() throws Exception {
    rewriteConfiguration(
        "\"limits\": {\"cores\": 1.0, \"memory_mb\": 192, \"sockets\": 1024},", "");
    rewriteConfiguration(SERVERS_START, SERVERS_START + edgeEntries(0, 1024) + ",");
    rewriteConfiguration(
        "\"settings\": {",
        "\"limits\":\n{ \"sockets\":1024 ,\n\"memory_mb\" :\n64,\"cores\":1.0},\"settings\": {");
    gateway.destroyForcibly().waitFor();
    launch();
    assertThat(Files.readString(Path.of("/proc/" + gateway.pid() + "/cmdline")))
        .contains("-Xmx42m");
    assertServes("a");
    rewriteConfiguration("\"memory_mb\" :\n64,", "");
    gateway.destroyForcibly().waitFor();
    launch();
    assertThat(Files.readString(Path.of("/proc/" + gateway.pid() + "/cmdline")))
        .contains("-Xmx10m");
    assertServes("b");
  }

  /**
   * Mapped at its own address, the class archive's pages stay the file's; else 8 MB of them count
   * as the process's.
   */
  @Test
  void aStartedGatewayLeavesRoomInTheLeastMemory() throws Exception {
    restartWithMinimumMemory();
    assertServes("a");
    assertThat(processStatus("RssAnon")).isLessThan(23 * 1024);
  }

  @Test
  void addressInUseIsReportedInOneLineAndEndsTheProgram() throws Exception {
    Process other = launchProgram(folder.resolve("config.json").toString());
    assertThat(other.waitFor(10, TimeUnit.SECONDS)).isTrue();
    assertThat(other.exitValue()).isEqualTo(1);
    assertThat(Files.readAllLines(folder.resolve("err.log"))).hasSize(1);
    assertServes("a");
  }
}
