import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An origin that turns some requests away, and whose first refusal comes a second time some
 * milliseconds late. Judged is how often it runs each request of the class that must never run
 * twice.
 */
public final class Twice {

  private static final int SECONDS = 10;
  private static final int REPORTS_PER_SECOND = 10;
  private static final int PAGES_PER_REPORT = 4;

  /** Of so many new reports the origin turns one away: it never ran. */
  private static final int REFUSED_ONE_IN = 20;

  private static final int SECOND_ANSWER_LATE_MS = 5;
  private static final int RUN_MS = 50;
  private static final int BUDGET_MS = 3000;

  private static final Map<String, AtomicInteger> RUNS = new ConcurrentHashMap<>();
  private static final Map<String, AtomicInteger> ASKS = new ConcurrentHashMap<>();
  private static final AtomicInteger NEW_REPORTS = new AtomicInteger();
  private static final AtomicInteger REFUSALS = new AtomicInteger();

  private static Kit.Record record;

  public static void main(String[] arguments) throws Exception {
    Path root = Path.of(arguments[0]);
    Path folder = Path.of(arguments[1]);
    record = new Kit.Record(Path.of(arguments[2]));
    Kit.Feed feed = new Kit.Feed();
    feed.publish(Kit.members(1, true, caches()));
    int port = Kit.freePort();
    String config =
        Kit.config("n1", port, feed.address(), feed.known(), 192, 1024, Settings.kitaboshi(1));
    Kit.Gateway gateway = new Kit.Gateway(root, folder, "n1", port, config);
    if (!gateway.awaitReady(30_000)) {
      Kit.exit(record, 2, "the gateway was not ready: " + Files.readString(gateway.log));
    }
    Map<String, CompletableFuture<Kit.Answer>> reports = playClient(port);
    judge(reports);
  }

  private static List<String> caches() throws IOException {
    Kit.CacheBehavior sound =
        ask ->
            ask.answerLater(
                20,
                "ACK",
                "why=hit,digest=4be0c1927d55a6f3,dated=" + System.currentTimeMillis(),
                new byte[2000]);
    List<String> entries = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      Kit.Cache edge = new Kit.Cache("s-0000000" + i, sound);
      entries.add(Kit.entry(edge, "station-1", "std-box", i, "ready", 20, 0));
    }
    entries.add(
        Kit.entry(new Kit.Cache("s-0000000a", sound), "north", "parent", 0, "ready", 80, 0));
    entries.add(
        Kit.entry(
            new Kit.Cache("s-0000000b", Twice::origin), "north", "origin", 0, "ready", 200, 0));
    return entries;
  }

  private static void origin(Kit.Ask ask) {
    String id = ask.id();
    String requestClass = ask.fields().get("lane");
    boolean first = ASKS.computeIfAbsent(id, key -> new AtomicInteger()).incrementAndGet() == 1;
    record.line("origin got " + id + " " + requestClass);
    boolean report = requestClass.equals("cook-reports");
    if (report && first && NEW_REPORTS.incrementAndGet() % REFUSED_ONE_IN == 0) {
      ask.answer("AGAIN", "-", new byte[0]);
      record.line("origin answered " + id + " AGAIN: it never ran");
      if (REFUSALS.incrementAndGet() == 1 && Kit.trouble()) {
        Kit.TIMER.schedule(
            () -> {
              ask.answer("AGAIN", "-", new byte[0]);
              record.line("the same answer to " + id + " came a second time");
            },
            SECOND_ANSWER_LATE_MS,
            TimeUnit.MILLISECONDS);
      }
      return;
    }
    int runs = RUNS.computeIfAbsent(id, key -> new AtomicInteger()).incrementAndGet();
    record.line("origin runs " + id + ", run " + runs);
    ask.answerLater(
        RUN_MS, "ACK", "why=hit,dated=" + System.currentTimeMillis(), "noted".getBytes());
  }

  private static Map<String, CompletableFuture<Kit.Answer>> playClient(int port)
      throws IOException {
    Kit.Client client = new Kit.Client(port);
    Map<String, CompletableFuture<Kit.Answer>> reports = new ConcurrentHashMap<>();
    for (int i = 0; i < SECONDS * REPORTS_PER_SECOND; i++) {
      String id = Kit.newId();
      record.line("client sent " + id + " cook-reports");
      reports.put(id, client.call("cook-reports", fields(id), "a report".getBytes()));
      for (int k = 0; k < PAGES_PER_REPORT; k++) {
        client.call("recipe-pages", fields(Kit.newId()), new byte[0]);
        Kit.pause(1000 / REPORTS_PER_SECOND / PAGES_PER_REPORT);
      }
    }
    return reports;
  }

  private static String fields(String id) {
    return "rid="
        + id
        + ",budget="
        + BUDGET_MS
        + ",obj="
        + String.format("%016x", 0x7f3a0000L + ThreadLocalRandom.current().nextInt(200))
        + ",piece=0,lot=17,mem=170";
  }

  private static void judge(Map<String, CompletableFuture<Kit.Answer>> reports) throws Exception {
    List<String> broken = new ArrayList<>();
    for (Map.Entry<String, CompletableFuture<Kit.Answer>> report : reports.entrySet()) {
      String word;
      try {
        word = report.getValue().get(BUDGET_MS + 550, TimeUnit.MILLISECONDS).word();
      } catch (TimeoutException e) {
        word = "(none)";
      }
      AtomicInteger counted = RUNS.get(report.getKey());
      int runs = counted == null ? 0 : counted.get();
      record.line("client got " + word + " for " + report.getKey() + ", which ran " + runs + "x");
      if (runs > 1) {
        broken.add(report.getKey() + " ran " + runs + " times (answered " + word + ")");
      } else if (runs == 1 && word.equals("NAK")) {
        broken.add(report.getKey() + " ran and was refused");
      }
    }
    Kit.exit(
        record,
        broken.isEmpty() ? 0 : 1,
        broken.size() + " of " + reports.size() + " requests broke the rule " + broken);
  }
}
