package tamarindroute.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static tamarindroute.example.ToyServer.id;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import tamarindroute.example.ToyServer;
import tamarindroute.example.ToyServer.Mode;

/**
 * What a large fleet asks of one gateway: how it starts and stops, long lists, scarce descriptors,
 * many neighbours.
 */
@Timeout(60)
class FleetIT extends GatewayHarness {

  private static final String SERVERS = "\"servers\": [";

  private static String edge(int number, int port) {
    return "{\"id\":\"s-%08x\",\"addr\":\"127.0.0.1:%d\",\"zone\":\"shed\",\"kind\":\"edge\",\"cell\":0,\"state\":\"ready\","
            .formatted(0x1000 + number, port)
        + "\"weight\":40,\"started_ms\":0}";
  }

  private String edges(int from, int to) {
    return IntStream.range(from, to)
        .mapToObj(i -> edge(i, (i % 2 == 0 ? first : second).port()))
        .collect(Collectors.joining(","));
  }

  private void rewrite(String old, String now) throws IOException {
    Path config = folder.resolve("config.json");
    String text = Files.readString(config);
    assertThat(text).contains(old);
    Files.writeString(config, text.replace(old, now));
  }

  private void serves(String object) throws IOException {
    try (ToyServer.Client client = client()) {
      for (int tag = 1; tag <= 5; tag++) {
        assertThat(status(call(client, String.valueOf(tag), object + tag))).isEqualTo("ACK");
      }
    }
  }

  /**
   * Where a process may start no other, a script that asks sed or dirname never comes to its end.
   */
  @Test
  void startsAndServesWhereNoOtherProgramCanBeStarted() throws Exception {
    gateway.destroyForcibly().waitFor();
    Path only = Files.createDirectory(folder.resolve("bin"));
    Files.createSymbolicLink(
        only.resolve("java"), Path.of(System.getProperty("java.home"), "bin", "java"));
    programPath = only.toString();
    launch();
    serves("a");
    assertThat(Files.readAllLines(folder.resolve("err.log"))).isEmpty();
    Path process = Path.of("/proc/" + gateway.pid());
    assertThat(Files.readString(process.resolve("comm")).strip()).isEqualTo("java");
    assertThat(Files.readString(process.resolve("task/" + gateway.pid() + "/children"))).isBlank();
    // The page faults of children that were waited for, since before the shell gave way: there
    // never was one.
    String[] stat =
        Files.readString(process.resolve("stat")).replaceAll("\\(.*\\)", "x").split(" ");
    assertThat(stat[10]).isEqualTo("0");
  }

  /** A limit that can't be read keeps nobody from starting; one far down a long file is found. */
  @Test
  void theMemoryIsReadHoweverTheFileIsLaidOut() throws Exception {
    rewrite("\"limits\": {\"cores\": 1.0, \"memory_mb\": 192, \"sockets\": 1024},", "");
    rewrite(SERVERS, SERVERS + edges(0, 1024) + ",");
    rewrite(
        "\"settings\": {",
        "\"limits\":\n{ \"sockets\":1024 ,\n\"memory_mb\" :\n64,\"cores\":1.0},\"settings\": {");
    gateway.destroyForcibly().waitFor();
    launch();
    assertThat(Files.readString(Path.of("/proc/" + gateway.pid() + "/cmdline")))
        .contains("-Xmx42m");
    serves("a");
    rewrite("\"memory_mb\" :\n64,", "");
    gateway.destroyForcibly().waitFor();
    launch();
    assertThat(Files.readString(Path.of("/proc/" + gateway.pid() + "/cmdline")))
        .contains("-Xmx10m");
    serves("b");
  }

  /**
   * The whole list at the start and in one event, each with as many purges, in the least memory.
   */
  @Test
  void listsOfAThousandCachesAndPurgesFitTheLeastMemory() throws Exception {
    rewrite(SERVERS, SERVERS + edges(0, 1024) + ",");
    restartWithMinimumMemory();
    serves("a");
    for (int i = 0; i < 1024; i++) {
      feed.tell(
          "{\"n\":N,\"purge\":{\"key\":\""
              + id(Integer.toHexString(0x5000 + i))
              + "\",\"at\":"
              + System.currentTimeMillis()
              + "}}");
    }
    feed.tell(
        "{\"n\":N,\"members\":{\"version\":3,\"full\":false,\"servers\":["
            + edges(1024, 2000)
            + "]}}");
    feed.tell(
        "{\"n\":N,\"members\":{\"version\":4,\"full\":true,\"servers\":["
            + edges(500, 2500)
            + ","
            + "{\"id\":\"s-0000000d\",\"state\":\"ready\"},{\"id\":\"s-0000000c\",\"state\":\"ready\"}]}}");
    nextCommand(feed.asked, "GET /v1/events?SUB=1027");
    serves("b");
    assertThat(Files.readString(folder.resolve("out.log"))).doesNotContain("defect", "unreadable");
    assertThat(processStatus("RssAnon")).isLessThan(32 * 1024);
  }

  /**
   * An answer that the heap can't hold is refused with a line; the old list holds, and later events
   * are taken.
   */
  @Test
  void oversizedFeedResponseLeavesTheOldList() throws Exception {
    restartWithMinimumMemory();
    feed.nonsense = "{\"n\":9,\"events\":[" + "x".repeat(3_000_000) + "]}";
    awaitLogged("a body over");
    serves("a");
    feed.nonsense = null;
    feed.tell(EDGE_EVENT.formatted("s-0000000a", first.port(), "draining"));
    nextCommand(feed.asked, "GET /v1/events?SUB=2");
    first.seen.clear();
    serves("b");
    assertThat(first.seen).isEmpty();
  }

  /**
   * The class archive stays a file's where it is mapped where it was made for; moved, 8 MB of it
   * are the process's own.
   */
  @Test
  void aStartedGatewayLeavesRoomInTheLeastMemory() throws Exception {
    restartWithMinimumMemory();
    serves("a");
    assertThat(processStatus("RssAnon")).isLessThan(23 * 1024);
  }

  /**
   * Connections to caches that carry nothing give way: else the caches that come late are never
   * reached.
   */
  @Test
  void moreCachesThanDescriptorsAreAllReached() throws Exception {
    List<ToyServer.Cache> many = new ArrayList<>();
    for (int i = 0; i < 130; i++) {
      many.add(new ToyServer.Cache(0));
    }
    caches.addAll(many);
    rewrite(
        SERVERS,
        SERVERS
            + IntStream.range(0, many.size())
                .mapToObj(i -> edge(i, many.get(i).port()))
                .collect(Collectors.joining(","))
            + ",");
    descriptors = 256;
    restartWithMinimumMemory();
    try (ToyServer.Client client = client()) {
      for (int tag = 1; tag <= 1500; tag++) {
        assertThat(status(call(client, String.valueOf(tag), Integer.toHexString(0x7000 + tag))))
            .isEqualTo("ACK");
      }
    }
    assertThat(many.stream().filter(cache -> cache.seen.isEmpty()).count()).isLessThan(3);
  }

  /**
   * At a full door one that is half way through a request is not the one to go, though it was idle
   * for longest.
   */
  @Test
  void requestBeingReadKeepsItsConnectionAtAFullListener() throws Exception {
    descriptors = 256;
    restartWithMinimumMemory();
    List<ToyServer.Client> stay = new ArrayList<>();
    try (ToyServer.Client half = client()) {
      assertThat(status(call(half, "1", "a"))).isEqualTo("ACK");
      String fields = callFields("b", 2000);
      String frame =
          "*5\r\n$8\r\nRPC.CALL\r\n$1\r\n2\r\n$4\r\nclip\r\n$"
              + fields.length()
              + "\r\n"
              + fields
              + "\r\n$3\r\nabc\r\n";
      half.socket
          .getOutputStream()
          .write(frame.substring(0, 60).getBytes(StandardCharsets.US_ASCII));
      for (int i = 0; i < 140; i++) {
        stay.add(client());
        assertThat(status(call(stay.get(i), "1", "a"))).isEqualTo("ACK");
      }
      half.socket.getOutputStream().write(frame.substring(60).getBytes(StandardCharsets.US_ASCII));
      assertThat(status(half.read())).isEqualTo("ACK");
    }
    for (ToyServer.Client client : stay) {
      client.close();
    }
  }

  /**
   * One cache of many falls silent, resets or comes late while its neighbours idle: each view still
   * ends well.
   */
  @Test
  void oneBadCacheAmongManyIdleOnesCostsNoRequest() throws Exception {
    rewrite(
        SERVERS,
        SERVERS
            + edges(0, 200).replace("127.0.0.1:" + second.port(), "127.0.0.1:" + first.port())
            + ",");
    gateway.destroyForcibly().waitFor();
    launch();
    try (ToyServer.Client client = client()) {
      int tag = 0;
      for (Mode bad : List.of(Mode.SILENT, Mode.RESET, Mode.LATE)) {
        second.mode = bad;
        for (int i = 0; i < 60; i++) {
          assertThat(status(call(client, String.valueOf(++tag), Integer.toHexString(0x9000 + tag))))
              .isIn("ACK", "NAK");
        }
      }
      second.mode = Mode.SERVE;
      assertThat(status(call(client, String.valueOf(++tag), "c"))).isEqualTo("ACK");
    }
  }

  /**
   * Stopped and started under load, with new configurations between: what was taken in is answered,
   * each time.
   */
  @Test
  void restartsUnderLoadLoseNoAdmittedRequest() throws Exception {
    for (int round = 0; round < 4; round++) {
      int asked = 0;
      try (ToyServer.Client client = client()) {
        for (int i = 0; i < 3; i++) {
          for (int j = 0; j < 10; j++) {
            client.call(String.valueOf(++asked), "clip", callFields("a" + asked, 2000), "");
          }
          if (i < 2) {
            sendHangUp();
          } else {
            gateway.destroy();
          }
        }
        for (int i = 0; i < asked; i++) {
          assertThat(status(client.read())).isEqualTo("ACK");
        }
      }
      assertThat(gateway.waitFor(5, TimeUnit.SECONDS)).isTrue();
      assertThat(gateway.exitValue()).isEqualTo(128 + 15);
      launch();
    }
  }

  /**
   * All gateways of a fleet start at once before one cold cache: together they keep within what it
   * bears.
   */
  @Test
  void aDozenGatewaysRestartedAtOnceSpareOneColdCache() throws Exception {
    gateway.destroyForcibly().waitFor();
    int fleet = 12;
    rewrite("\"ReplicasOfMe\": 1", "\"ReplicasOfMe\": " + fleet);
    rewrite("\"CountByZone\": [0, 1]", "\"CountByZone\": [0, " + fleet + "]");
    rewrite("\"weight\": 40", "\"weight\": 4");
    String text = Files.readString(folder.resolve("config.json"));
    String cold =
        "\"addr\": \"127.0.0.1:"
            + first.port()
            + "\", \"zone\": \"shed\", \"kind\": \"edge\", \"cell\": 0, "
            + "\"state\": \"ready\", \"weight\": 4, \"started_ms\": ";
    assertThat(text).contains(cold + 0);
    long started = System.currentTimeMillis();
    text = text.replace(cold + 0, cold + started);
    List<InetSocketAddress> doors = new ArrayList<>();
    List<Process> gateways = new ArrayList<>();
    List<ToyServer.Client> clients = new ArrayList<>();
    try {
      for (int i = 0; i < fleet; i++) {
        try (ServerSocket free = new ServerSocket(0)) {
          doors.add(new InetSocketAddress("127.0.0.1", free.getLocalPort()));
        }
        Path config = folder.resolve("config" + i + ".json");
        Files.writeString(
            config,
            text.replace("127.0.0.1:" + address.getPort(), "127.0.0.1:" + doors.get(i).getPort()));
        gateways.add(launchProgram(config.toString()));
      }
      for (int i = 0; i < fleet; i++) {
        address = doors.get(i);
        gateway = gateways.get(i);
        awaitReady();
        clients.add(client());
      }
      long from = System.currentTimeMillis();
      // 0.1 s of sending each: 850 of 8,500 KB a second.
      for (int tag = 1; tag <= 30; tag++) {
        for (ToyServer.Client client : clients) {
          client.call(
              String.valueOf(tag),
              "clip",
              callFields(Integer.toHexString(0x100 + requestCount), 2500)
                  .replace("mem=1", "mem=850"),
              "");
        }
      }
      int served = 0;
      for (ToyServer.Client client : clients) {
        for (int tag = 1; tag <= 30; tag++) {
          served += status(client.read()).equals("ACK") ? 1 : 0;
        }
        client.close();
      }
      long asks = first.seen.stream().filter(command -> command.startsWith("ASK")).count();
      // The settings' multiple of what it can do at its age, all the time, in views of 0.1 s.
      double age = (System.currentTimeMillis() - started) / 1000.0;
      double asked = (System.currentTimeMillis() - from) / 1000.0;
      double warmth = COLD_FROM + (1 - COLD_FROM) * age / COLD_SECONDS;
      assertThat(asks * 0.1).isLessThan(FALL_MULTIPLE * 4 * warmth * Math.max(FALL_SECONDS, asked));
      assertThat(served).isGreaterThan(fleet);
    } finally {
      for (Process one : gateways) {
        one.destroyForcibly().waitFor();
      }
    }
  }

  /**
   * The example's settings: what a cold cache can do and until when, how much more pushes it over,
   * over which time.
   */
  private static final double COLD_FROM = 0.22;

  private static final double COLD_SECONDS = 17;
  private static final double FALL_MULTIPLE = 3;
  private static final double FALL_SECONDS = 2;

  @Test
  void addressInUseIsReportedInOneLineAndEndsTheProgram() throws Exception {
    Process other = launchProgram(folder.resolve("config.json").toString());
    assertThat(other.waitFor(10, TimeUnit.SECONDS)).isTrue();
    assertThat(other.exitValue()).isEqualTo(1);
    assertThat(Files.readAllLines(folder.resolve("err.log"))).hasSize(1);
    serves("a");
  }
}
