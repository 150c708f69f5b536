package tamarindroute.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static tamarindroute.example.ToyServer.paddedHex;

import java.net.InetAddress;
import java.net.InetSocketAddress;
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
import tamarindroute.example.ToyServer.CacheBehavior;

/** One gateway among many caches and many gateways: long lists, scarce descriptors, restarts. */
@Timeout(60)
class FleetIT extends GatewayHarness {

  /**
   * The example's settings of a cold edge: its capacity at the start, when it is warm, which
   * overload it bears, over which time.
   */
  private static final double COLD_FROM = 0.22;

  private static final double COLD_SECONDS = 17;
  private static final double FALL_MULTIPLE = 3;
  private static final double FALL_SECONDS = 2;

  /**
   * The whole list at the start and in one event, each with as many purges, in the minimum memory.
   */
  @Test
  void listsOfAThousandCachesAndPurgesFitTheLeastMemory() throws Exception {
    rewriteConfiguration(SERVERS_START, SERVERS_START + edgeEntries(0, 1024) + ",");
    restartWithMinimumMemory();
    assertServes("a");
    for (int i = 0; i < 1024; i++) {
      feed.publish(
          "{\"n\":N,\"purge\":{\"key\":\""
              + paddedHex(Integer.toHexString(0x5000 + i))
              + "\",\"at\":"
              + System.currentTimeMillis()
              + "}}");
    }
    feed.publish(
        "{\"n\":N,\"members\":{\"version\":3,\"full\":false,\"servers\":["
            + edgeEntries(1024, 2000)
            + "]}}");
    feed.publish(
        "{\"n\":N,\"members\":{\"version\":4,\"full\":true,\"servers\":["
            + edgeEntries(500, 2500)
            + ","
            + "{\"id\":\"s-0000000d\",\"state\":\"ready\"},{\"id\":\"s-0000000c\",\"state\":\"ready\"}]}}");
    nextCommand(feed.requests, "GET /v1/events?SUB=1027");
    assertServes("b");
    assertThat(Files.readString(folder.resolve("out.log")))
        .doesNotContain("defect", "unreadable", "malformed", "protocol-error");
    assertThat(processStatus("RssAnon")).isLessThan(32 * 1024);
  }

  /** Idle connections to caches are evicted, or the caches used later would never be reached. */
  @Test
  void moreCachesThanDescriptorsAreAllReached() throws Exception {
    List<ToyServer.Cache> many = new ArrayList<>();
    for (int i = 0; i < 130; i++) {
      many.add(new ToyServer.Cache(0));
    }
    caches.addAll(many);
    rewriteConfiguration(
        SERVERS_START,
        SERVERS_START
            + IntStream.range(0, many.size())
                .mapToObj(i -> edgeEntry(i, many.get(i).port()))
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
    assertThat(many.stream().filter(cache -> cache.receivedCommands.isEmpty()).count())
        .isLessThan(3);
  }

  /**
   * At a full listener the connection in the middle of a request is not evicted, though it was idle
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
      assertThat(status(half.readResponse())).isEqualTo("ACK");
    }
    for (ToyServer.Client client : stay) {
      client.close();
    }
  }

  /**
   * One of many idle caches falls silent, resets or is late: each request is still served or
   * rejected.
   */
  @Test
  void oneBadCacheAmongManyIdleOnesCostsNoRequest() throws Exception {
    rewriteConfiguration(
        SERVERS_START,
        SERVERS_START
            + edgeEntries(0, 200).replace("127.0.0.1:" + second.port(), "127.0.0.1:" + first.port())
            + ",");
    gateway.destroyForcibly().waitFor();
    launch();
    try (ToyServer.Client client = client()) {
      int tag = 0;
      for (CacheBehavior bad :
          List.of(CacheBehavior.SILENT, CacheBehavior.RESET, CacheBehavior.DELAY)) {
        second.behavior = bad;
        for (int i = 0; i < 60; i++) {
          assertThat(status(call(client, String.valueOf(++tag), Integer.toHexString(0x9000 + tag))))
              .isIn("ACK", "NAK");
        }
      }
      second.behavior = CacheBehavior.SERVE;
      assertThat(status(call(client, String.valueOf(++tag), "c"))).isEqualTo("ACK");
    }
  }

  /** Reloaded, stopped and started under load: every admitted request is answered. */
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
          assertThat(status(client.readResponse())).isEqualTo("ACK");
        }
      }
      assertThat(gateway.waitFor(5, TimeUnit.SECONDS)).isTrue();
      assertThat(gateway.exitValue()).isEqualTo(128 + 15);
      launch();
    }
  }

  /** A gateway process of a fleet. */
  private record Member(Process process, InetSocketAddress listener) {}

  /**
   * Starts gateways by one configuration, each at a port of its own, and adds them as they start.
   */
  private void startFleet(List<Member> members, int size, String configuration) throws Exception {
    for (int i = 0; i < size; i++) {
      InetSocketAddress listener =
          new InetSocketAddress(InetAddress.getLoopbackAddress(), FreePort.find());
      Path config = folder.resolve("config" + i + ".json");
      Files.writeString(
          config,
          configuration.replace(
              "127.0.0.1:" + address.getPort(), "127.0.0.1:" + listener.getPort()));
      members.add(new Member(launchProgram(config.toString()), listener));
    }
  }

  /** Clients of gateways that are ready, one of each. */
  private List<ToyServer.Client> clientsOf(List<Member> members) throws Exception {
    List<ToyServer.Client> clients = new ArrayList<>();
    for (Member member : members) {
      address = member.listener();
      gateway = member.process();
      awaitReady();
      clients.add(client());
    }
    return clients;
  }

  /** Sends 30 calls by each client, each a transfer of 0.1 s; returns how many are served. */
  private int serveTransfers(List<ToyServer.Client> clients) throws Exception {
    // 850 KB at 8,500 KB a second.
    for (int tag = 1; tag <= 30; tag++) {
      for (ToyServer.Client client : clients) {
        String fields = callFields(Integer.toHexString(0x100 + requestCount), 2500);
        client.call(String.valueOf(tag), "clip", fields.replace("mem=1", "mem=850"), "");
      }
    }
    int served = 0;
    for (ToyServer.Client client : clients) {
      for (int tag = 1; tag <= 30; tag++) {
        served += status(client.readResponse()).equals("ACK") ? 1 : 0;
      }
      client.close();
    }
    return served;
  }

  /** The configuration of a fleet whose first cache has just started. */
  private String configurationWithColdCache(int fleetSize, long startedMillis) throws Exception {
    rewriteConfiguration("\"ReplicasOfMe\": 1", "\"ReplicasOfMe\": " + fleetSize);
    rewriteConfiguration("\"CountByZone\": [0, 1]", "\"CountByZone\": [0, " + fleetSize + "]");
    rewriteConfiguration("\"weight\": 40", "\"weight\": 4");
    String text = Files.readString(folder.resolve("config.json"));
    String coldCache =
        "\"addr\": \"127.0.0.1:"
            + first.port()
            + "\", \"zone\": \"shed\", \"kind\": \"edge\", \"cell\": 0, "
            + "\"state\": \"ready\", \"weight\": 4, \"started_ms\": ";
    assertThat(text).contains(coldCache + 0);
    return text.replace(coldCache + 0, coldCache + startedMillis);
  }

  /**
   * All gateways of a fleet start at once before one cold cache: together they stay within its
   * capacity.
   */
  @Test
  void aDozenGatewaysRestartedAtOnceSpareOneColdCache() throws Exception {
    gateway.destroyForcibly().waitFor();
    int fleetSize = 12;
    long startedMillis = System.currentTimeMillis();
    List<Member> members = new ArrayList<>();
    try {
      startFleet(members, fleetSize, configurationWithColdCache(fleetSize, startedMillis));
      List<ToyServer.Client> clients = clientsOf(members);
      long firstCallMillis = System.currentTimeMillis();
      int served = serveTransfers(clients);
      long attempts =
          first.receivedCommands.stream().filter(command -> command.startsWith("ASK")).count();
      // The settings' multiple of the capacity at the cache's age, in transfers of 0.1 s.
      double age = (System.currentTimeMillis() - startedMillis) / 1000.0;
      double duration = (System.currentTimeMillis() - firstCallMillis) / 1000.0;
      double warmth = COLD_FROM + (1 - COLD_FROM) * age / COLD_SECONDS;
      assertThat(attempts * 0.1)
          .isLessThan(FALL_MULTIPLE * 4 * warmth * Math.max(FALL_SECONDS, duration));
      assertThat(served).isGreaterThan(fleetSize);
    } finally {
      for (Member member : members) {
        member.process().destroyForcibly().waitFor();
      }
    }
  }
}
