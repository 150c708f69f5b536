import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Bad clients that send hundreds of requests at once, beside usual clients, at a gateway of the
 * least memory. Judged is whether each request of the usual clients gets its one final answer.
 */
public final class Crowd {

  private static final int MEMORY_MB = 32;
  private static final int SOCKETS = 1024;
  private static final int USUAL_CLIENTS = 40;
  private static final int BAD_CLIENTS = 300;
  private static final int REQUESTS_AT_ONCE = 250;
  private static final int REQUESTS_PER_SECOND = 100;
  private static final int BUDGET_MS = 2000;

  /** Up to half a second after its time an answer only earns nothing; 50 ms are the sockets'. */
  private static final int LOST_AFTER_MS = BUDGET_MS + 550;

  private static final int LENGTH_SECONDS = 24;
  private static final int WAVES = 5;

  private record Sent(String id, long at, java.util.concurrent.CompletableFuture<Kit.Answer> answer) {}

  public static void main(String[] arguments) throws Exception {
    Path root = Path.of(arguments[0]);
    Path folder = Path.of(arguments[1]);
    Kit.Record record = new Kit.Record(Path.of(arguments[2]));
    Kit.Feed feed = new Kit.Feed();
    feed.record = record;
    feed.publish(Kit.members(1, true, caches()));
    int port = Kit.freePort();
    String config =
        Kit.config(
            "n1", port, feed.address(), feed.known(), MEMORY_MB, SOCKETS, Settings.kitaboshi(1));
    Kit.Gateway gateway = new Kit.Gateway(root, folder, "n1", port, config);
    if (!gateway.awaitReady(30_000)) {
      Kit.exit(record, 2, "the gateway was not ready: " + Files.readString(gateway.log));
    }
    if (Kit.trouble()) {
      Kit.daemon(() -> playBadClients(port, record)).start();
    }
    List<Sent> sent = playUsualClients(port, record);
    judge(record, gateway, port, sent);
  }

  private static List<String> caches() throws IOException {
    Kit.CacheBehavior sound =
        ask ->
            ask.answerLater(
                30,
                "ACK",
                "why=hit,digest=4be0c1927d55a6f3,dated=" + System.currentTimeMillis(),
                new byte[2000]);
    List<String> entries = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      Kit.Cache edge = new Kit.Cache("s-0000000" + i, sound);
      entries.add(Kit.entry(edge, "station-1", "std-box", i, "ready", 40, 0));
    }
    entries.add(
        Kit.entry(new Kit.Cache("s-0000000a", sound), "north", "parent", 0, "ready", 160, 0));
    entries.add(
        Kit.entry(new Kit.Cache("s-0000000b", sound), "north", "origin", 0, "ready", 400, 0));
    return entries;
  }

  /** Requests at a steady rate, in turn on each of the usual clients' connections. */
  private static List<Sent> playUsualClients(int port, Kit.Record record) throws Exception {
    List<Kit.Client> clients = new ArrayList<>();
    for (int i = 0; i < USUAL_CLIENTS; i++) {
      clients.add(new Kit.Client(port));
    }
    List<Sent> sent = new ArrayList<>();
    long start = System.nanoTime();
    for (int i = 0; i < REQUESTS_PER_SECOND * LENGTH_SECONDS; i++) {
      long due = start + i * 1_000_000_000L / REQUESTS_PER_SECOND;
      while (System.nanoTime() < due) {
        Kit.pause(1);
      }
      Kit.Client client = clients.get(i % USUAL_CLIENTS);
      if (client.ended) {
        // A gateway may close a connection on which no request is open.
        client = new Kit.Client(port);
        clients.set(i % USUAL_CLIENTS, client);
      }
      String id = Kit.newId();
      long at = System.currentTimeMillis();
      try {
        sent.add(new Sent(id, at, client.call(i % 2 == 0 ? "video-parts" : "recipe-pages",
            requestFields(id, BUDGET_MS, 300), new byte[0])));
        record.line("usual client sent " + id);
      } catch (IOException e) {
        record.line("usual client could not send " + id + ": " + e.getMessage());
      }
    }
    return sent;
  }

  private static String requestFields(String id, int budget, int objects) {
    return "rid="
        + id
        + ",budget="
        + budget
        + ",obj="
        + String.format("%016x", 0x7f3a0000L + ThreadLocalRandom.current().nextInt(objects))
        + ",piece=0,lot=17,mem=412.5";
  }

  /** Each wave: all bad clients connect, then each sends its requests at once, reads, and goes. */
  private static void playBadClients(int port, Kit.Record record) {
    Kit.pause(2000);
    for (int wave = 1; wave <= WAVES; wave++) {
      try {
        List<Socket> sockets = new ArrayList<>();
        List<byte[]> requests = new ArrayList<>();
        for (int i = 0; i < BAD_CLIENTS; i++) {
          requests.add(manyRequests());
        }
        for (int i = 0; i < BAD_CLIENTS; i++) {
          Socket socket = new Socket();
          socket.connect(new InetSocketAddress("127.0.0.1", port), 2000);
          socket.setTcpNoDelay(true);
          sockets.add(socket);
          Kit.daemon(() -> readToEnd(socket)).start();
        }
        record.line(BAD_CLIENTS + " bad clients send " + REQUESTS_AT_ONCE + " requests each");
        for (int i = 0; i < BAD_CLIENTS; i++) {
          Socket socket = sockets.get(i);
          byte[] bytes = requests.get(i);
          Kit.daemon(() -> send(socket, bytes)).start();
        }
        Kit.pause(1500);
        for (Socket socket : sockets) {
          socket.close();
        }
        record.line("the bad clients are gone");
      } catch (IOException e) {
        record.line("bad clients: " + e.getMessage());
      }
      Kit.pause(1500);
    }
  }

  private static byte[] manyRequests() {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    for (int tag = 1; tag <= REQUESTS_AT_ONCE; tag++) {
      bytes.writeBytes(
          Kit.frame(
              "RPC.CALL", tag, "video-parts", requestFields(Kit.newId(), 3000, 100_000), ""));
    }
    return bytes.toByteArray();
  }

  private static void send(Socket socket, byte[] bytes) {
    try {
      socket.getOutputStream().write(bytes);
    } catch (IOException e) {
      // The gateway has closed the connection, as it may.
    }
  }

  private static void readToEnd(Socket socket) {
    try {
      socket.getInputStream().transferTo(OutputStream.nullOutputStream());
    } catch (IOException e) {
      // The connection has ended.
    }
  }

  private static void judge(Kit.Record record, Kit.Gateway gateway, int port, List<Sent> sent)
      throws Exception {
    Map<String, Integer> words = new TreeMap<>();
    int lost = 0;
    for (Sent request : sent) {
      long left = request.at + LOST_AFTER_MS - System.currentTimeMillis();
      String word;
      try {
        Kit.Answer answer = request.answer.get(Math.max(1, left), TimeUnit.MILLISECONDS);
        boolean late = answer.at() > request.at + LOST_AFTER_MS;
        word = late ? "(too late)" : answer.word();
      } catch (TimeoutException e) {
        word = "(none)";
      }
      record.line("usual client's " + request.id + ", sent at " + request.at + ", got " + word);
      words.merge(word, 1, Integer::sum);
      lost += word.startsWith("(") ? 1 : 0;
    }
    String health;
    try {
      health = new Kit.Client(port).health().get(5, TimeUnit.SECONDS).word();
    } catch (TimeoutException | IOException e) {
      health = "no answer within 5 s";
    }
    record.line("gateway alive: " + gateway.process.isAlive() + "; HEALTH: " + health);
    Files.readAllLines(gateway.log).forEach(line -> record.line("gateway's log: " + line));
    String summary =
        words + ", process alive: " + gateway.process.isAlive() + ", HEALTH: " + health;
    Kit.exit(
        record,
        lost > 0 || !gateway.process.isAlive() ? 1 : 0,
        lost + " of " + sent.size() + " requests of usual clients lost " + summary);
  }
}
