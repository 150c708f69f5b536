package tamarindroute.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static tamarindroute.example.ToyServer.paddedHex;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import tamarindroute.example.ToyServer;
import tamarindroute.example.ToyServer.CacheBehavior;

/**
 * The program, started as the deployment file says, between toy caches, a toy feed and clients on
 * sockets. Holds what several tests need.
 */
abstract class GatewayHarness {

  static final String EDGE_EVENT =
      "{\"n\":N,\"members\":{\"version\":2,\"full\":false,\"servers\":[{\"id\":\"%s\","
          + "\"addr\":\"127.0.0.1:%d\",\"zone\":\"shed\",\"kind\":\"edge\",\"cell\":0,\"state\":\"%s\",\"weight\":40,"
          + "\"started_ms\":0}]}}";

  /** Where the entries of the list of caches begin in the configuration file. */
  static final String SERVERS_START = "\"servers\": [";

  @TempDir Path folder;

  ToyServer.Feed feed;
  final List<ToyServer.Cache> caches = new ArrayList<>();
  ToyServer.Cache first;
  ToyServer.Cache second;
  ToyServer.Cache parent;
  InetSocketAddress address;
  Process gateway;
  int requestCount;
  int descriptors = 1024;

  /** The program's PATH; null for this process's own. */
  String programPath;

  @BeforeEach
  void start() throws Exception {
    feed = new ToyServer.Feed(0);
    for (int i = 0; i < 4; i++) {
      caches.add(new ToyServer.Cache(0));
    }
    first = caches.get(0);
    second = caches.get(1);
    parent = caches.get(2);
    address = new InetSocketAddress(InetAddress.getLoopbackAddress(), FreePort.find());
    String config =
        Files.readString(Path.of("example/config.json"))
            .replace("127.0.0.1:7000", "127.0.0.1:" + address.getPort())
            .replace("127.0.0.1:7001", "127.0.0.1:" + feed.port());
    for (int i = 0; i < 4; i++) {
      config = config.replace("127.0.0.1:701" + (i + 1), "127.0.0.1:" + caches.get(i).port());
    }
    Files.writeString(folder.resolve("config.json"), config);
    launch();
  }

  void launch() throws Exception {
    gateway = launchProgram(folder.resolve("config.json").toString());
    awaitReady();
  }

  /** Waits until the gateway reports that it is ready. */
  void awaitReady() throws Exception {
    try (ToyServer.Client front = awaitListener()) {
      for (int tag = 1; ; tag++) {
        front.send("RPC.HEALTH", tag, "");
        if (status(front.readResponse()).equals("GREEN")) {
          return;
        }
        TimeUnit.MILLISECONDS.sleep(20);
      }
    }
  }

  Process launchProgram(String config) throws IOException {
    Matcher run =
        Pattern.compile("(?m)^run = \"(.*)\" *#")
            .matcher(Files.readString(Path.of("deploy/balancer.toml")));
    assertThat(run.find()).isTrue();
    ProcessBuilder builder =
        new ProcessBuilder("/bin/sh", "-c", "ulimit -n " + descriptors + "; " + run.group(1));
    builder.environment().put("EDGE_CONFIG", config);
    if (programPath != null) {
      builder.environment().put("PATH", programPath);
    }
    builder
        .redirectOutput(folder.resolve("out.log").toFile())
        .redirectError(folder.resolve("err.log").toFile());
    return builder.start();
  }

  ToyServer.Client awaitListener() throws Exception {
    while (true) {
      assertThat(gateway.isAlive()).isTrue();
      try {
        return client();
      } catch (SocketException e) {
        TimeUnit.MILLISECONDS.sleep(20);
      }
    }
  }

  @AfterEach
  void stop() throws Exception {
    gateway.destroyForcibly().waitFor();
    feed.close();
    for (ToyServer.Cache cache : caches) {
      cache.close();
    }
  }

  ToyServer.Client client() throws IOException {
    return new ToyServer.Client(address);
  }

  String callFields(String object, int budget) {
    return "rid="
        + paddedHex(Integer.toHexString(0x1000 + ++requestCount))
        + ",budget="
        + budget
        + ",obj="
        + paddedHex(object)
        + ",piece=0,lot=17,mem=1";
  }

  static String status(List<byte[]> response) {
    return new String(response.get(1), StandardCharsets.UTF_8);
  }

  static String tag(List<byte[]> response) {
    return new String(response.get(0), StandardCharsets.UTF_8);
  }

  List<byte[]> call(ToyServer.Client client, String tag, String object) throws IOException {
    client.call(tag, "clip", callFields(object, 2000), "");
    return client.readResponse();
  }

  /** The next command that starts with a text; others are skipped. */
  static String nextCommand(BlockingQueue<String> seen, String start) throws InterruptedException {
    while (true) {
      String command = seen.poll(10, TimeUnit.SECONDS);
      assertThat(command).as("a command that starts with " + start).isNotNull();
      if (command.startsWith(start)) {
        return command;
      }
    }
  }

  void setMode(CacheBehavior mode) {
    first.behavior = mode;
    second.behavior = mode;
  }

  void sendHangUp() throws Exception {
    assertThat(new ProcessBuilder("kill", "-HUP", String.valueOf(gateway.pid())).start().waitFor())
        .isZero();
  }

  String awaitLogged(String text) throws Exception {
    for (int i = 0; i < 500 && !Files.readString(folder.resolve("out.log")).contains(text); i++) {
      TimeUnit.MILLISECONDS.sleep(20);
    }
    assertThat(Files.readString(folder.resolve("out.log"))).contains(text);
    return text;
  }

  long processStatus(String name) throws IOException {
    return Files.readAllLines(Path.of("/proc/" + gateway.pid() + "/status")).stream()
        .filter(line -> line.startsWith(name))
        .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")))
        .findFirst()
        .orElseThrow();
  }

  void restartWithMinimumMemory() throws Exception {
    gateway.destroyForcibly().waitFor();
    Path config = folder.resolve("config.json");
    Files.writeString(
        config,
        Files.readString(config)
            .replace("\"memory_mb\": 192", "\"memory_mb\": 32")
            .replace("\"sockets\": 1024", "\"sockets\": " + descriptors));
    launch();
  }

  /** Commands seen by the cache that was asked first. */
  BlockingQueue<String> seenAnywhere() throws InterruptedException {
    while (first.receivedCommands.isEmpty() && second.receivedCommands.isEmpty()) {
      TimeUnit.MILLISECONDS.sleep(1);
    }
    return first.receivedCommands.isEmpty() ? second.receivedCommands : first.receivedCommands;
  }

  /** Entry of an edge in the list of caches. */
  static String edgeEntry(int number, int port) {
    return "{\"id\":\"s-%08x\",\"addr\":\"127.0.0.1:%d\",\"zone\":\"shed\",\"kind\":\"edge\",\"cell\":0,\"state\":\"ready\","
            .formatted(0x1000 + number, port)
        + "\"weight\":40,\"started_ms\":0}";
  }

  /** Entries of edges of these numbers, at the addresses of the first two caches in turn. */
  String edgeEntries(int from, int to) {
    return IntStream.range(from, to)
        .mapToObj(i -> edgeEntry(i, (i % 2 == 0 ? first : second).port()))
        .collect(Collectors.joining(","));
  }

  /** Replaces a text of the configuration file, which has to hold it. */
  void rewriteConfiguration(String old, String now) throws IOException {
    Path config = folder.resolve("config.json");
    String text = Files.readString(config);
    assertThat(text).contains(old);
    Files.writeString(config, text.replace(old, now));
  }

  /** Asserts that five requests are served. */
  void assertServes(String object) throws IOException {
    try (ToyServer.Client client = client()) {
      for (int tag = 1; tag <= 5; tag++) {
        assertThat(status(call(client, String.valueOf(tag), object + tag))).isEqualTo("ACK");
      }
    }
  }
}
