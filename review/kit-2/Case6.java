import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/** Bad clients come by hundreds, send hundreds of requests each at once, and go; usual clients are served beside them. */
final class Case6 {

  private static final int USUAL_CLIENTS = 20;
  private static final double USUAL_INTERVAL_MILLIS = 400;
  private static final double BUDGET_MILLIS = 2500;

  /** A request that crosses the end of its connection within this time is sent again, and not lost. */
  private static final double CROSSING_MILLIS = 50;

  private static final int RUSHES = 6;
  private static final double RUSH_INTERVAL_MILLIS = 4000;
  private static final int GROUPS_A_RUSH = 3;
  private static final double GROUP_INTERVAL_MILLIS = 200;
  private static final int BAD_CLIENTS_A_GROUP = 250;
  private static final int REQUESTS_AT_ONCE = 300;

  private final World world;
  private final List<World.Call> usualCalls = new CopyOnWriteArrayList<>();
  private final AtomicInteger badConnections = new AtomicInteger();
  private volatile boolean stopped;
  private int port;

  private Case6(World world) {
    this.world = world;
  }

  public static void main(String[] arguments) {
    World.runCase(arguments[0], 6, (world, trouble) -> new Case6(world).run(trouble));
  }

  private boolean run(boolean trouble) throws Exception {
    World.Feed feed = world.new Feed();
    List<World.Cache> caches = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      caches.add(world.new Cache("s-0000000" + i, "edge-1", "standard", i, 12));
    }
    caches.add(world.new Cache("p-00000000", "north", "parent", 10, 40));
    caches.add(world.new Cache("o-00000000", "north", "origin", 20, 100));
    for (World.Cache cache : caches) {
      // All caches hold all objects, so that nothing but the gateway can be at fault.
      cache.behaviour =
          ask -> world.after(3, () -> cache.served(ask, "hit", System.currentTimeMillis()));
    }
    feed.members(true, caches.stream().map(World.Cache::entry).toList());
    port = world.freePort();
    String configuration =
        world.configuration("n1", port, feed.port(), feed.known(), Sites.pickGuide(1), 192);
    World.Gateway gateway = world.new Gateway("n1", port, configuration);
    gateway.awaitReady();
    World.sleep(1500);
    for (int i = 0; i < USUAL_CLIENTS; i++) {
      double delay = i * USUAL_INTERVAL_MILLIS / USUAL_CLIENTS;
      World.start(() -> actAsUsualClient(delay));
    }
    World.sleep(2000);
    Random random = new Random(world.random.nextLong());
    ExecutorService senders = Executors.newFixedThreadPool(BAD_CLIENTS_A_GROUP, World::daemon);
    for (int rush = 0; rush < RUSHES; rush++) {
      double next = world.now() + RUSH_INTERVAL_MILLIS;
      List<byte[]> messages = new ArrayList<>();
      for (int i = 0; i < GROUPS_A_RUSH * BAD_CLIENTS_A_GROUP; i++) {
        messages.add(requestsAtOnce(random));
      }
      World.sleep(next - 3000 - world.now());
      if (trouble) {
        world.note("a rush of bad clients");
        rush(messages, senders);
      }
      World.sleep(next - world.now());
    }
    World.sleep(1000);
    stopped = true;
    World.sleep(BUDGET_MILLIS + 1000);
    return judge(gateway);
  }

  /** Sends a request from time to time on one connection, and opens another when that has ended. */
  private void actAsUsualClient(double delay) {
    World.sleep(delay);
    World.Client client = null;
    while (!stopped) {
      try {
        if (client == null || client.endedAt > 0) {
          client = world.new Client(port);
        }
        usualCalls.add(
            client.call("item-card", world.hex(16), BUDGET_MILLIS, ",piece=0,lot=1,mem=300", new byte[0]));
      } catch (IOException e) {
        world.note("a usual client could not connect: " + e.getMessage());
      }
      World.sleep(USUAL_INTERVAL_MILLIS);
    }
  }

  private void rush(List<byte[]> messages, ExecutorService senders) {
    for (int group = 0; group < GROUPS_A_RUSH; group++) {
      for (int i = 0; i < BAD_CLIENTS_A_GROUP; i++) {
        byte[] message = messages.get(group * BAD_CLIENTS_A_GROUP + i);
        senders.execute(() -> sendAndGo(message));
      }
      World.sleep(GROUP_INTERVAL_MILLIS);
    }
  }

  private void sendAndGo(byte[] message) {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      badConnections.incrementAndGet();
      socket.getOutputStream().write(message);
    } catch (IOException e) {
      // turned away
    }
  }

  static byte[] requestsAtOnce(Random random) {
    StringBuilder text = new StringBuilder(REQUESTS_AT_ONCE * 140);
    for (int tag = 1; tag <= REQUESTS_AT_ONCE; tag++) {
      appendCall(text, tag, random);
    }
    return text.toString().getBytes(StandardCharsets.US_ASCII);
  }

  /** Hundreds of requests of which the client takes each thirty-two back at once. */
  static byte[] requestsTakenBack(Random random, int count) {
    StringBuilder text = new StringBuilder(count * 180);
    for (int tag = 1; tag <= count; tag++) {
      appendCall(text, tag, random);
      if (tag % 32 == 0) {
        for (int back = tag - 31; back <= tag; back++) {
          String number = Integer.toString(back);
          text.append("*2\r\n$10\r\nRPC.CANCEL\r\n$").append(number.length()).append("\r\n").append(number);
          text.append("\r\n");
        }
      }
    }
    return text.toString().getBytes(StandardCharsets.US_ASCII);
  }

  private static void appendCall(StringBuilder text, int tag, Random random) {
    StringBuilder fields = new StringBuilder("rid=");
    appendHex(fields, random.nextLong());
    fields.append(",budget=2000,obj=");
    appendHex(fields, random.nextLong());
    fields.append(",piece=0,lot=1,mem=100");
    String number = Integer.toString(tag);
    text.append("*5\r\n$8\r\nRPC.CALL\r\n$").append(number.length()).append("\r\n").append(number);
    text.append("\r\n$8\r\nbin-clip\r\n$").append(fields.length()).append("\r\n").append(fields);
    text.append("\r\n$0\r\n\r\n");
  }

  private static void appendHex(StringBuilder text, long number) {
    for (int shift = 60; shift >= 0; shift -= 4) {
      text.append(Character.forDigit((int) (number >>> shift & 15), 16));
    }
  }

  /**
   * A request is lost if its connection ended without its answer, or if it got none. Those are left out that the pages
   * excuse: within 50 ms of the end, and the first request on a connection.
   */
  private boolean judge(World.Gateway gateway) {
    int lost = 0;
    int excused = 0;
    int answered = 0;
    for (World.Call call : usualCalls) {
      if (call.word != null) {
        answered++;
        continue;
      }
      World.Client client = call.client;
      double openFor = (client.endedAt > 0 ? client.endedAt : world.now()) - call.writtenAt;
      boolean isFirst = client.calls.values().stream().noneMatch(other -> other.word != null);
      if (isFirst || (client.endedAt > 0 && openFor <= CROSSING_MILLIS)) {
        excused++;
        continue;
      }
      lost++;
      world.note(
          String.format(
              "BROKEN: request %s, written whole at %.1f, was open for %.0f ms when the gateway ended its connection",
              call.rid, call.writtenAt, openFor));
    }
    world.verdict(
        lost + " requests of usual clients lost, " + answered + " answered, " + excused + " excused; "
            + badConnections + " connections of bad clients; the gateway runs: " + gateway.process.isAlive());
    if (answered < 500) {
      throw new IllegalStateException("too few requests were answered");
    }
    return lost == 0;
  }
}
