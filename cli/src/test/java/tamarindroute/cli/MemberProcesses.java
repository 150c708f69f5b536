package tamarindroute.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import tamarindroute.example.ToyServer;

/**
 * The gateways of one test's group: their addresses, files and processes. Each group has a key of
 * its own, so that groups of concurrent tests discard each other's datagrams.
 */
final class MemberProcesses implements AutoCloseable {

  private static final int KEY_BYTES = 32;
  private static final long LOG_WAIT_SECONDS = 50;
  private static final long LOG_POLL_MILLIS = 50;

  /** The control feed of all gateways. */
  final ToyServer.Feed feed = new ToyServer.Feed(0);

  /** The members' addresses; the index identifies a member. */
  final List<String> addresses = new ArrayList<>();

  /** All processes, in the order of their start. */
  private final List<Process> processes = new ArrayList<>();

  private final Path folder;

  /**
   * Reserves addresses and writes the key and each gateway's configuration, INDEX.json. The test
   * writes the members' settings, INDEX.xml.
   */
  MemberProcesses(Path folder, int count) throws IOException {
    this.folder = folder;
    byte[] key = new byte[KEY_BYTES];
    new SecureRandom().nextBytes(key);
    Files.writeString(folder.resolve("members.key"), HexFormat.of().formatHex(key));
    List<DatagramSocket> sockets = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      sockets.add(new DatagramSocket(0, InetAddress.getLoopbackAddress()));
      addresses.add("127.0.0.1:" + sockets.get(i).getLocalPort());
    }
    sockets.forEach(DatagramSocket::close);
    for (int i = 0; i < count; i++) {
      // Port 0: no clients connect.
      Files.writeString(
          folder.resolve(i + ".json"),
          Files.readString(Path.of("example/config.json"))
              .replace("127.0.0.1:7000", "127.0.0.1:0")
              .replace("127.0.0.1:7001", "127.0.0.1:" + feed.port()));
    }
  }

  /** Starts a member with its settings. */
  Process startMember(int member, String log, String... options) throws IOException {
    List<String> arguments = new ArrayList<>(List.of(options));
    arguments.addAll(
        List.of(
            "-jar",
            "target/tamarindroute.jar",
            "serve",
            "--log",
            "small",
            "--members",
            folder.resolve(member + ".xml").toString()));
    return start(member, log, arguments);
  }

  /** Starts Java with these arguments and a member's configuration. */
  Process start(int member, String log, List<String> arguments) throws IOException {
    List<String> command = new ArrayList<>(List.of("java", "-XX:+UseSerialGC", "-Xmx64m"));
    command.addAll(arguments);
    ProcessBuilder builder =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(folder.resolve(log).toFile());
    builder.environment().put("EDGE_CONFIG", folder.resolve(member + ".json").toString());
    Process process = builder.start();
    processes.add(process);
    return process;
  }

  /** Kills a member and waits for its end; for a restarted member its first process. */
  void kill(int member) throws InterruptedException {
    processes.get(member).destroyForcibly().waitFor();
  }

  /** Sends a signal to a member, named as by kill. */
  void signal(int member, String name) throws IOException, InterruptedException {
    String pid = Long.toString(processes.get(member).pid());
    assertThat(new ProcessBuilder("kill", "-" + name, pid).start().waitFor()).isZero();
  }

  boolean isAlive(int member) {
    return processes.get(member).isAlive();
  }

  String readLog(String log) throws IOException {
    return Files.readString(folder.resolve(log));
  }

  int logLength(String log) throws IOException {
    return readLog(log).length();
  }

  /** Waits until a log matches a regular expression and returns the match. */
  Matcher awaitLogLine(String log, String regex) throws IOException, InterruptedException {
    return awaitLogLine(log, 0, regex);
  }

  /** Waits until a log matches a regular expression after an offset and returns the match. */
  Matcher awaitLogLine(String log, int offset, String regex)
      throws IOException, InterruptedException {
    Pattern pattern = Pattern.compile(regex);
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(LOG_WAIT_SECONDS);
    while (true) {
      String text = readLog(log);
      Matcher matcher = pattern.matcher(text);
      if (matcher.find(Math.min(offset, text.length()))) {
        return matcher;
      }
      assertThat(System.nanoTime()).as(regex + " in " + log + ":\n" + text).isLessThan(end);
      TimeUnit.MILLISECONDS.sleep(LOG_POLL_MILLIS);
    }
  }

  @Override
  public void close() throws IOException {
    for (Process process : processes) {
      process.destroyForcibly();
      process.onExit().join();
    }
    feed.close();
  }
}
