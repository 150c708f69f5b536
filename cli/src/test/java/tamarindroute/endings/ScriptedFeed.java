package tamarindroute.endings;

import static tamarindroute.endings.Journal.Kind.*;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The control feed of a play: numbers its events from the configuration's on, and falls silent,
 * breaks or leaves some out as it is told. It owns the events and must never give one number to
 * two.
 */
final class ScriptedFeed implements AutoCloseable {

  /** How it answers for now. */
  enum Mood {
    WELL,
    SILENT,
    CLOSE,
    HALF,
    OMIT
  }

  private record Numbered(int number, String text) {}

  private final World world;
  private final List<Numbered> events = new ArrayList<>();
  private int last = 1;
  private volatile Mood mood = Mood.WELL;
  private volatile ServerSocket server;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

  ScriptedFeed(World world) throws IOException {
    this.world = world;
    open();
  }

  int port() {
    return server.getLocalPort();
  }

  private void open() throws IOException {
    ServerSocket fresh = new ServerSocket();
    fresh.bind(new InetSocketAddress("127.0.0.1", 0), 32);
    server = fresh;
    World.thread(
        "feed",
        () -> {
          while (!fresh.isClosed()) {
            try {
              Socket socket = fresh.accept();
              sockets.add(socket);
              World.thread("feed", () -> serve(socket, fresh));
            } catch (IOException e) {
              World.sleep(5);
            }
          }
        });
  }

  /** Adds an event, its number in place of N; fields are for the journal. */
  synchronized void tell(String text, Object... fields) {
    last++;
    events.add(new Numbered(last, text.replace("N", String.valueOf(last))));
    Object[] all = new Object[fields.length + 2];
    all[0] = "n";
    all[1] = last;
    System.arraycopy(fields, 0, all, 2, fields.length);
    world.journal.add(MADE, "", "feed", all);
    notifyAll();
  }

  void mood(Mood now) {
    mood = now;
    world.journal.add(NOTE, "", "feed", "mood", now);
    if (now == Mood.CLOSE) {
      sockets.forEach(Wire::reset);
    }
  }

  /** Listens elsewhere; what is connected here hears nothing more, and nobody else comes. */
  void move() throws IOException {
    ServerSocket old = server;
    open();
    old.close();
  }

  private synchronized List<Numbered> after(int known, long wait) throws InterruptedException {
    long end = System.currentTimeMillis() + wait;
    while (last <= known && System.currentTimeMillis() < end && !world.over) {
      wait(Math.max(1, end - System.currentTimeMillis()));
    }
    return events.stream().filter(e -> e.number > known).toList();
  }

  private void serve(Socket socket, ServerSocket of) {
    try (socket) {
      socket.setTcpNoDelay(true);
      BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream()));
      OutputStream out = socket.getOutputStream();
      while (true) {
        String request = in.readLine();
        for (String line = request; line != null && !line.isEmpty(); line = in.readLine()) {
          continue;
        }
        if (request == null) {
          return;
        }
        String[] numbers = request.replaceAll("[^0-9]+", " ").strip().split(" ");
        List<Numbered> news = after(Integer.parseInt(numbers[1]), Long.parseLong(numbers[2]));
        // Silence takes in what is asked and says nothing; a feed that has moved does for good.
        if (mood == Mood.SILENT || of.isClosed()) {
          while (in.read() >= 0) {
            continue;
          }
          return;
        }
        List<Numbered> told = new ArrayList<>(news);
        boolean omits = mood == Mood.OMIT && !told.isEmpty();
        if (omits) {
          told.remove(0);
          mood = Mood.WELL;
        }
        int n = news.isEmpty() ? last : news.get(news.size() - 1).number;
        String body =
            "{\"n\":"
                + n
                + ",\"events\":["
                + String.join(",", told.stream().map(Numbered::text).toList())
                + "]}";
        byte[] answer =
            ("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                    + body.length()
                    + "\r\n\r\n"
                    + body)
                .getBytes(StandardCharsets.UTF_8);
        if (mood == Mood.HALF && !told.isEmpty()) {
          out.write(answer, 0, answer.length - Math.max(1, body.length() / 2));
          out.flush();
          World.sleep(20);
          return;
        }
        out.write(answer);
        // Behind a gap an event is not told: a reader may want all in order, and asks again.
        (omits ? List.<Numbered>of() : told)
            .forEach(event -> world.journal.add(FED, "", "feed", "n", event.number));
      }
    } catch (IOException | InterruptedException e) {
      // It is over.
    } finally {
      sockets.remove(socket);
    }
  }

  /** The troubles of a play, by the seed: the feed's own and what it tells. */
  void script(SplittableRandom chance, List<ScriptedCache> caches, Runnable moved) {
    List<ScriptedCache> edges =
        new ArrayList<>(caches.stream().filter(c -> !c.kind.equals("origin")).toList());
    int drained = 0;
    Fault[] some = world.faults.stream().filter(Fault.FEED::contains).toArray(Fault[]::new);
    while (!world.over && some.length > 0) {
      World.sleep(chance.nextInt(60, 500));
      if (world.over) {
        return;
      }
      switch (some[chance.nextInt(some.length)]) {
        case FEED_SILENT -> {
          mood(Mood.SILENT);
          world.after(chance.nextInt(300, 2500), () -> mood(Mood.WELL));
        }
        case FEED_CLOSE -> {
          mood(Mood.CLOSE);
          mood(Mood.WELL);
        }
        case FEED_HALF -> {
          mood(Mood.HALF);
          world.after(chance.nextInt(100, 900), () -> mood(Mood.WELL));
        }
        case FEED_OMIT -> mood(Mood.OMIT);
        case FEED_MOVE -> {
          try {
            move();
            world.journal.add(NOTE, "", "feed", "moved", port());
            moved.run();
          } catch (IOException e) {
            world.journal.add(NOTE, "", "feed", "cannot", e.getMessage());
          }
        }
        case DRAIN -> {
          // At most half of them: somebody has to serve.
          if (drained < (caches.size() - 1) / 2) {
            drained++;
            ScriptedCache cache = edges.remove(chance.nextInt(edges.size()));
            drain(cache, chance.nextInt(4) == 0 ? "gone" : "draining");
            if (chance.nextBoolean()) {
              world.after(chance.nextInt(100, 1500), () -> drain(cache, "gone"));
            }
          }
        }
        case PURGE -> purge(chance);
        case RESTART -> {
          ScriptedCache cache = edges.get(chance.nextInt(edges.size()));
          tell(member(cache, "ready", System.currentTimeMillis()), "restarted", cache.id);
        }
        default -> {}
      }
    }
  }

  private void drain(ScriptedCache cache, String state) {
    tell(member(cache, state, 0), "drain", cache.id, "state", state);
  }

  private void purge(SplittableRandom chance) {
    List<String> objects = World.objects();
    String object = objects.get(chance.nextInt(objects.size()));
    long made = System.currentTimeMillis();
    if (chance.nextInt(3) > 0) {
      world.renew(object);
      tell(
          "{\"n\":N,\"purge\":{\"key\":\"" + object + "\",\"at\":" + made + "}}",
          "obj",
          object,
          "made",
          made,
          "age",
          System.currentTimeMillis() - made);
    } else {
      int lot = World.lot(object);
      objects.stream().filter(o -> World.lot(o) == lot).forEach(world::renew);
      tell(
          "{\"n\":N,\"purge\":{\"group\":" + lot + ",\"at\":" + made + "}}",
          "lot",
          lot,
          "made",
          made,
          "age",
          System.currentTimeMillis() - made);
    }
  }

  private int version = 1;

  private synchronized String member(ScriptedCache cache, String state, long started) {
    return "{\"n\":N,\"members\":{\"version\":"
        + ++version
        + ",\"full\":false,\"servers\":["
        + entry(cache, state, started)
        + "]}}";
  }

  static String entry(ScriptedCache cache, String state, long started) {
    boolean edge = cache.kind.equals("edge");
    return "{\"id\":\""
        + cache.id
        + "\",\"addr\":\"127.0.0.1:"
        + cache.port
        + "\",\"zone\":\""
        + (edge ? "shed" : "hub")
        + "\",\"kind\":\""
        + cache.kind
        + "\",\"cell\":"
        + Math.floorMod(cache.id.hashCode(), 2)
        + ",\"state\":\""
        + state
        + "\",\"weight\":40,\"started_ms\":"
        + started
        + "}";
  }

  @Override
  public void close() throws IOException {
    server.close();
    sockets.forEach(Wire::reset);
  }
}
