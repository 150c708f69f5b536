package tamarindroute.rig.play;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import tamarindroute.example.ToyServer;
import tamarindroute.rig.journal.Journal;
import tamarindroute.rig.proxy.Chance;

/**
 * Clients that send at their rate whatever comes back, in turn to each gateway, and write down each
 * request and each answer. A connection carries 32 open requests as the protocol allows; more are
 * not sent.
 */
final class Clients implements AutoCloseable {

  private static final int OPEN = 32;
  private static final int BUDGET_MILLIS = 1500;

  /** The toy caches' answers. */
  private static final int BYTES = 2000;

  private static final int OBJECTS = 200;

  /** 850 KB at the settings' pace of 8,500 KB/s: a sending time of 0.1 s each. */
  private static final String SIZE = "850";

  /** One connection to one gateway, made anew when it has ended. */
  private final class Line {

    final String gateway;
    final InetSocketAddress address;
    final Map<String, String> open = new ConcurrentHashMap<>();
    volatile ToyServer.Client client;
    int tag;

    Line(String gateway, InetSocketAddress address) {
      this.gateway = gateway;
      this.address = address;
    }

    void send(String rid, String lane, String fields) {
      try {
        if (client == null) {
          client = new ToyServer.Client(address);
          ToyServer.Client mine = client;
          // A client waits for its answers as long as the play lasts: the checkers say what is
          // late.
          mine.socket.setSoTimeout(0);
          Thread reader = new Thread(() -> read(mine), "answers of " + gateway);
          reader.setDaemon(true);
          reader.start();
        }
        if (open.size() >= OPEN) {
          journal.add("client", "skipped gateway=" + gateway);
          return;
        }
        String mine = String.valueOf(++tag);
        open.put(mine, rid);
        objects.put(rid, fields.replaceAll(".*obj=([0-9a-f]+).*", "$1"));
        journal.add(
            "client",
            "sent rid="
                + rid
                + " gateway="
                + gateway
                + " lane="
                + lane
                + " budget="
                + BUDGET_MILLIS);
        client.call(mine, lane, fields, lane.equals("clip") ? "" : "x");
      } catch (IOException e) {
        if (client == null) {
          journal.add("client", "unreached gateway=" + gateway);
        }
      }
    }

    void read(ToyServer.Client mine) {
      try {
        while (true) {
          answer(mine.readResponse());
        }
      } catch (SocketTimeoutException e) {
        journal.add("client", "unread gateway=" + gateway);
      } catch (IOException | RuntimeException e) {
        open.forEach(
            (tag, rid) -> journal.add("client", "broken rid=" + rid + " gateway=" + gateway));
        open.clear();
        client = null;
      }
    }

    void answer(List<byte[]> answer) {
      String answered = new String(answer.get(0), StandardCharsets.UTF_8);
      String word = new String(answer.get(1), StandardCharsets.UTF_8);
      String rid = open.remove(answered);
      String object = rid == null ? null : objects.remove(rid);
      boolean whole =
          !word.equals("ACK")
              || object != null && Arrays.equals(answer.get(3), ToyServer.contentOf(object, BYTES));
      // An answer to nothing that is open is a second one, or astray.
      journal.add(
          "client",
          "answer rid=" + rid + " gateway=" + gateway + " word=" + word + " whole=" + whole);
    }
  }

  private final Journal journal;
  private final Map<String, Line> lines = new LinkedHashMap<>();
  private final Map<String, String> objects = new ConcurrentHashMap<>();
  private final Chance chance;
  private volatile boolean over;
  private int count;

  Clients(Journal journal, long seed, Map<String, InetSocketAddress> gateways) {
    this.journal = journal;
    this.chance = new Chance(seed, "clients");
    gateways.forEach((name, address) -> lines.put(name, new Line(name, address)));
  }

  void start(ScheduledExecutorService timer, double rate) {
    timer.scheduleAtFixedRate(this::one, 0, (long) (1e9 / rate), TimeUnit.NANOSECONDS);
  }

  private void one() {
    if (over) {
      return;
    }
    List<Line> all = List.copyOf(lines.values());
    Line line = all.get(count++ % all.size());
    String rid = ToyServer.paddedHex(Integer.toHexString(0x100000 + count));
    double of = chance.draw();
    String lane = of < 0.7 ? "clip" : of < 0.85 ? "pick" : "once";
    // Squared: some objects are asked for far more often than others.
    double place = chance.draw();
    String object =
        ToyServer.paddedHex(Integer.toHexString(0x1000 + (int) (place * place * OBJECTS)));
    String fields =
        "rid="
            + rid
            + ",budget="
            + BUDGET_MILLIS
            + ",obj="
            + object
            + ",piece=0,lot=17,mem="
            + SIZE
            + (lane.equals("pick")
                ? ",token=" + ToyServer.paddedHex(Integer.toHexString(count)).repeat(2)
                : "");
    line.send(rid, lane, fields);
  }

  /** Sends no more and waits for what is open, up to its time. */
  void finish(long millis) throws InterruptedException {
    over = true;
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    while (lines.values().stream().anyMatch(line -> !line.open.isEmpty())
        && System.nanoTime() < end) {
      TimeUnit.MILLISECONDS.sleep(10);
    }
    journal.add("client", "finished");
  }

  @Override
  public void close() throws IOException {
    over = true;
    for (Line line : lines.values()) {
      ToyServer.Client client = line.client;
      if (client != null) {
        client.close();
      }
    }
  }
}
