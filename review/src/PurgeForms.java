import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * A control feed whose answers end with the connection, as HTTP/1.1 allows, in place of a length.
 * Judged is whether what is sent after a purge was told is answered from a copy older than it.
 */
public final class PurgeForms {

  private static final int GRACE_MS = 500 + 50;

  /** Caches drop older copies by themselves within 6 s of a purge. */
  private static final int DROPPED_AFTER_MS = 5900;

  private static final int BUDGET_MS = 2000;
  private static final int PURGES = 3;
  private static final int BETWEEN_PURGES_MS = 8000;

  /** When the copies of each edge left the origin, by object. */
  private static final Map<String, Long> DATED = new ConcurrentHashMap<>();

  private static final Map<String, Long> PURGED = new ConcurrentHashMap<>();

  private record Sent(String id, String object, long at, CompletableFuture<Kit.Answer> answer) {}

  private static Kit.Record record;

  public static void main(String[] arguments) throws Exception {
    Path root = Path.of(arguments[0]);
    Path folder = Path.of(arguments[1]);
    record = new Kit.Record(Path.of(arguments[2]));
    Kit.Feed feed = new Kit.Feed();
    feed.record = record;
    feed.endByClose = Kit.trouble();
    List<String> entries = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      int number = i;
      Kit.Cache edge = new Kit.Cache("s-0000000" + i, ask -> edge(number, ask));
      entries.add(Kit.entry(edge, "station-1", "std-box", i, "ready", 20, 0));
    }
    entries.add(
        Kit.entry(
            new Kit.Cache("s-0000000a", PurgeForms::fresh), "north", "parent", 0, "ready", 80, 0));
    entries.add(
        Kit.entry(
            new Kit.Cache("s-0000000b", PurgeForms::fresh), "north", "origin", 0, "ready", 200, 0));
    feed.publish(Kit.members(1, true, entries));
    int port = Kit.freePort();
    String config =
        Kit.config("n1", port, feed.address(), feed.known(), 192, 1024, Settings.kitaboshi(1));
    Kit.Gateway gateway = new Kit.Gateway(root, folder, "n1", port, config);
    if (!gateway.awaitReady(30_000)) {
      Kit.exit(record, 2, "the gateway was not ready: " + Files.readString(gateway.log));
    }
    List<Sent> sent = new ArrayList<>();
    Kit.Client client = new Kit.Client(port);
    for (int purge = 0; purge < PURGES; purge++) {
      String object = String.format("%016x", 0x7f3a0000L + purge);
      long purgeAt = System.currentTimeMillis() + 1500;
      long end = purgeAt + BETWEEN_PURGES_MS;
      boolean purged = false;
      while (System.currentTimeMillis() < end) {
        if (!purged && System.currentTimeMillis() >= purgeAt) {
          purged = true;
          PURGED.put(object, System.currentTimeMillis());
          record.line("purge of " + object);
          feed.publish(
              "{\"n\":N,\"purge\":{\"key\":\"" + object + "\",\"at\":" + PURGED.get(object) + "}}");
        }
        String id = Kit.newId();
        long at = System.currentTimeMillis();
        sent.add(
            new Sent(
                id,
                object,
                at,
                client.call(
                    "video-parts",
                    "rid=" + id + ",budget=2000,obj=" + object + ",piece=0,lot=17,mem=412.5",
                    new byte[0])));
        Kit.pause(100);
      }
    }
    judge(sent, feed);
  }

  private static void edge(int number, Kit.Ask ask) {
    String object = ask.fields().get("name");
    String key = number + " " + object;
    long now = System.currentTimeMillis();
    Long purged = PURGED.get(object);
    Long dated = DATED.get(key);
    if (dated != null && purged != null && dated < purged && now - purged > DROPPED_AFTER_MS) {
      DATED.remove(key);
      dated = null;
    }
    String accept = ask.fields().get("accept");
    boolean goodEnough =
        dated != null && (accept == null || now - dated <= Long.parseLong(accept));
    if (!goodEnough && ask.fields().get("parent") == null) {
      ask.answer("NOENT", "-", new byte[0]);
      return;
    }
    if (!goodEnough) {
      dated = now;
      DATED.put(key, dated);
    }
    String fields =
        "why=" + (goodEnough ? "hit" : "filled") + ",digest=" + tag(dated) + ",dated=" + dated;
    record.line("edge " + number + " answered " + ask.id() + " " + fields);
    ask.answerLater(20, "ACK", fields, new byte[2000]);
  }

  private static void fresh(Kit.Ask ask) {
    long now = System.currentTimeMillis();
    ask.answerLater(30, "ACK", "why=hit,digest=" + tag(now) + ",dated=" + now, new byte[2000]);
  }

  /** The tag of a copy tells when it left the origin. */
  private static String tag(long dated) {
    return String.format("%016x", dated);
  }

  private static void judge(List<Sent> sent, Kit.Feed feed) throws Exception {
    int stale = 0;
    for (Sent request : sent) {
      Kit.Answer answer;
      try {
        answer = request.answer.get(BUDGET_MS + 1000, TimeUnit.MILLISECONDS);
      } catch (TimeoutException e) {
        continue;
      }
      Long purged = PURGED.get(request.object);
      Long told = feed.toldAt.get("\"key\":\"" + request.object + "\"");
      if (purged == null || told == null || !answer.word().equals("ACK")) {
        continue;
      }
      long dated = Long.parseLong(answer.fields().get("ver"), 16);
      if (request.at > told + GRACE_MS && dated < purged) {
        stale++;
        record.line(
            request.id + " sent " + (request.at - told) + " ms after the purge was told got a copy "
                + (purged - dated) + " ms older than the purge");
      }
    }
    Kit.exit(record, stale > 0 ? 1 : 0,
        stale + " of " + sent.size() + " requests were answered from a purged copy");
  }
}
