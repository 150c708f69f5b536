import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Usual clients that send as many requests at once as a connection may have open, for the largest
 * objects, and read the answers steadily. Judged is whether each request gets its one answer.
 */
public final class Pipeline {

  private static final int MEMORY_MB = 192;
  private static final int SOCKETS = 1024;
  private static final int CLIENTS = 8;

  /** As many as a connection may have open. */
  private static final int AT_ONCE = 32;

  /** Objects hold so many bytes at most. */
  private static final int OBJECT_BYTES = 240_000;

  /** 32 answers are read in 1.3 s. */
  private static final double BYTES_PER_SECOND = 5.9e6;

  private static final int ROUNDS = 5;
  private static final int ROUND_MS = 4000;
  private static final int BUDGET_MS = 5000;

  /** Up to half a second after its time an answer only earns nothing; 50 ms are the sockets'. */
  private static final int LOST_AFTER_MS = BUDGET_MS + 550;

  private record Sent(int client, String id, long at, CompletableFuture<Kit.Answer> answer) {}

  public static void main(String[] arguments) throws Exception {
    Path root = Path.of(arguments[0]);
    Path folder = Path.of(arguments[1]);
    Kit.Record record = new Kit.Record(Path.of(arguments[2]));
    Kit.Feed feed = new Kit.Feed();
    feed.publish(Kit.members(1, true, caches()));
    int port = Kit.freePort();
    String config =
        Kit.config(
            "n1", port, feed.address(), feed.known(), MEMORY_MB, SOCKETS, Settings.kitaboshi(1));
    Kit.Gateway gateway = new Kit.Gateway(root, folder, "n1", port, config);
    if (!gateway.awaitReady(30_000)) {
      Kit.exit(record, 2, "the gateway was not ready: " + Files.readString(gateway.log));
    }
    List<Sent> sent = new ArrayList<>();
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      int number = i;
      Thread thread = Kit.daemon(() -> playClient(number, port, record, sent));
      thread.start();
      threads.add(thread);
    }
    for (Thread thread : threads) {
      thread.join();
    }
    judge(record, gateway, sent);
  }

  private static List<String> caches() throws IOException {
    Kit.CacheBehavior sound =
        ask ->
            ask.answerLater(
                48,
                "ACK",
                "why=hit,digest=4be0c1927d55a6f3,dated=" + System.currentTimeMillis(),
                new byte[OBJECT_BYTES]);
    List<String> entries = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      Kit.Cache edge = new Kit.Cache("s-0000000" + i, sound);
      entries.add(Kit.entry(edge, "station-1", "std-box", i, "ready", 7, 0));
    }
    entries.add(
        Kit.entry(new Kit.Cache("s-0000000a", sound), "north", "parent", 0, "ready", 40, 0));
    entries.add(
        Kit.entry(new Kit.Cache("s-0000000b", sound), "north", "origin", 0, "ready", 100, 0));
    return entries;
  }

  /** Each round has the same requests: at once, or without the disruption spread over it. */
  private static void playClient(int number, int port, Kit.Record record, List<Sent> sent) {
    try {
      Kit.Client client = new Kit.Client(port, BYTES_PER_SECOND);
      for (int round = 0; round < ROUNDS; round++) {
        long start = System.currentTimeMillis();
        if (client.ended) {
          client = new Kit.Client(port, BYTES_PER_SECOND);
        }
        for (int i = 0; i < AT_ONCE; i++) {
          if (!Kit.trouble()) {
            Kit.pause(start + (long) i * ROUND_MS / AT_ONCE - System.currentTimeMillis());
          }
          String id = Kit.newId();
          String fields =
              "rid="
                  + id
                  + ",budget="
                  + BUDGET_MS
                  + ",obj="
                  + String.format("%016x", 0x7f3a0000L + ThreadLocalRandom.current().nextInt(500))
                  + ",piece=0,lot=17,mem=412.5";
          Sent request =
              new Sent(
                  number,
                  id,
                  System.currentTimeMillis(),
                  client.call("video-parts", fields, new byte[0]));
          synchronized (sent) {
            sent.add(request);
          }
          record.line("client " + number + " sent " + id);
        }
        Kit.pause(start + ROUND_MS - System.currentTimeMillis());
      }
    } catch (IOException e) {
      record.line("client " + number + ": " + e.getMessage());
    }
  }

  private static void judge(Kit.Record record, Kit.Gateway gateway, List<Sent> sent)
      throws Exception {
    Map<String, Integer> words = new TreeMap<>();
    int lost = 0;
    long slowest = 0;
    for (Sent request : sent) {
      long left = request.at + LOST_AFTER_MS - System.currentTimeMillis();
      String word;
      long took = 0;
      try {
        Kit.Answer answer = request.answer.get(Math.max(1, left), TimeUnit.MILLISECONDS);
        took = answer.at() - request.at;
        word = took > LOST_AFTER_MS ? "(too late)" : answer.word();
      } catch (TimeoutException e) {
        word = "(none)";
      }
      record.line(
          "client " + request.client + "'s " + request.id + " got " + word + " after " + took
              + " ms");
      words.merge(word, 1, Integer::sum);
      lost += word.startsWith("(") ? 1 : 0;
      slowest = Math.max(slowest, took);
    }
    Files.readAllLines(gateway.log).forEach(line -> record.line("gateway's log: " + line));
    Kit.exit(
        record,
        lost > 0 ? 1 : 0,
        lost + " of " + sent.size() + " requests lost " + words + ", slowest answer " + slowest
            + " ms of " + BUDGET_MS);
  }
}
