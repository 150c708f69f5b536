package tamarindroute.rig.play;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import tamarindroute.example.ToyServer;
import tamarindroute.rig.journal.Journal;
import tamarindroute.rig.proxy.Proxies;
import tamarindroute.rig.schedule.Schedule;

/**
 * The feeds and caches round the gateways. Each gateway has a feed of its own, and each cache a
 * door of its own for each gateway, behind a proxy: so what comes is known by its sender without
 * asking it.
 */
final class Town implements AutoCloseable {

  private static final String FIRST = "127.0.0.1:7001";
  private static final String SERVERS = "\"servers\": [";

  /** Answers after which the request certainly did not run. */
  private static final List<ToyServer.CacheBehavior> NOT_RUN =
      List.of(ToyServer.CacheBehavior.MISS, ToyServer.CacheBehavior.OVER_CAPACITY);

  private final Schedule schedule;
  private final Journal journal;
  private final Proxies proxies;
  private final Map<String, ToyServer.Feed> feeds = new HashMap<>();

  /** By the gateway's number and the cache's name, as "1 a". */
  private final Map<String, ToyServer.Cache> doors = new HashMap<>();

  private final Map<String, Integer> ports = new HashMap<>();

  /**
   * The entries as last told, by gateway and cache: a gateway that starts anew is given the list of
   * that time.
   */
  private final Map<String, String> entries = new ConcurrentHashMap<>();

  private final List<Thread> readers = new ArrayList<>();
  private double weight = 40;
  private int sharers;

  /**
   * Whether all are told the same addresses, as by one feed; then what comes is not known by its
   * sender.
   */
  private boolean alike;

  Town(Schedule schedule, Journal journal, Proxies proxies) throws IOException {
    this.schedule = schedule;
    this.journal = journal;
    this.proxies = proxies;
    sharers = schedule.processes;
    for (List<String> words : schedule.settings) {
      weight = words.get(0).equals("weight") ? Double.parseDouble(words.get(1)) : weight;
      alike |= words.get(0).equals("alike");
      sharers = words.get(0).equals("sharers") ? Integer.parseInt(words.get(1)) : sharers;
    }
    for (String gateway : schedule.numbers()) {
      ToyServer.Feed feed = new ToyServer.Feed(0);
      feeds.put(gateway, feed);
      ports.put(gateway + " feed", proxies.open(gateway, "feed", local(feed.port())));
      for (String cache : schedule.caches) {
        ToyServer.Cache door = new ToyServer.Cache(0);
        doors.put(gateway + " " + cache, door);
        ports.put(gateway + " " + cache, proxies.open(gateway, cache, local(door.port())));
        Thread reader =
            new Thread(() -> read(gateway, cache, door), "door of " + cache + " for " + gateway);
        reader.setDaemon(true);
        reader.start();
        readers.add(reader);
      }
    }
  }

  private static InetSocketAddress local(int port) {
    return new InetSocketAddress("127.0.0.1", port);
  }

  /**
   * What came to a cache: its fields as words, who sent it, whether it ran, and the source by its
   * name.
   */
  private void read(String gateway, String cache, ToyServer.Cache door) {
    try {
      while (true) {
        String[] words = door.receivedCommands.take().split(" ", 4);
        String text = words[0] + " from=" + gateway;
        if (words[0].equals("ASK")) {
          text +=
              " rid="
                  + words[1]
                  + " ran="
                  + !NOT_RUN.contains(door.behavior)
                  + " "
                  + words[2].replace(',', ' ');
          for (String source : schedule.caches) {
            text = text.replace("parent=" + id(source), "source=" + source);
          }
        }
        journal.add(cache, text);
      }
    } catch (InterruptedException e) {
      // The play is over.
    }
  }

  /** As in the example: s-0000000a is the first. */
  String id(String cache) {
    return "s-%08x".formatted(schedule.caches.indexOf(cache) + 10);
  }

  private String entry(String gateway, String cache, String state, long started) {
    boolean edge = cache.length() == 1;
    return ("{\"id\":\"%s\",\"addr\":\"127.0.0.1:%d\",\"zone\":\"%s\",\"kind\":\"%s\",\"cell\":%d,\"state\":\"%s\","
            + "\"weight\":%s,\"started_ms\":%d}")
        .formatted(
            id(cache),
            ports.get((alike ? schedule.numbers().get(0) : gateway) + " " + cache),
            edge ? "shed" : "hub",
            edge ? "edge" : cache,
            edge ? schedule.caches.indexOf(cache) % 2 : 0,
            state,
            weight,
            started);
  }

  /** Writes a gateway's configuration, its peers' ports those of the proxies. */
  Path configure(String gateway, int port, Path folder) throws IOException {
    String text =
        Files.readString(Path.of("example/config.json"))
            .replace("127.0.0.1:7000", "127.0.0.1:" + port)
            .replace(FIRST, "127.0.0.1:" + ports.get(gateway + " feed"))
            .replace("\"CountByZone\": [0, 1]", "\"CountByZone\": [0, " + sharers + "]")
            .replace("\"ReplicasOfMe\": 1", "\"ReplicasOfMe\": " + sharers)
            .replace("\"memory_mb\": 192", "\"memory_mb\": 64");
    List<String> list =
        schedule.caches.stream()
            .map(
                cache ->
                    entries.getOrDefault(gateway + " " + cache, entry(gateway, cache, "ready", 0)))
            .toList();
    int from = text.indexOf(SERVERS) + SERVERS.length();
    text =
        text.substring(0, from)
            + String.join(",", list)
            + text.substring(text.indexOf("]}}", from));
    return Files.writeString(folder.resolve("config-" + gateway + ".json"), text);
  }

  void tell(String cache, String state, List<String> gateways) {
    boolean cold = state.equals("cold");
    long started = cold ? System.currentTimeMillis() : 0;
    for (String gateway : gateways) {
      String entry = entry(gateway, cache, cold ? "ready" : state, started);
      entries.put(gateway + " " + cache, entry);
      feeds
          .get(gateway)
          .publish(
              "{\"n\":N,\"members\":{\"version\":2,\"full\":false,\"servers\":[" + entry + "]}}");
      journal.add(
          "feed", "told=" + gateway + " cache=" + cache + " state=" + state + " weight=" + weight);
    }
  }

  void mode(String cache, String mode) {
    for (String gateway : schedule.numbers()) {
      doors.get(gateway + " " + cache).behavior = ToyServer.CacheBehavior.ofWord(mode);
    }
    journal.add(cache, "mode=" + mode);
  }

  @Override
  public void close() throws IOException {
    readers.forEach(Thread::interrupt);
    for (ToyServer.Feed feed : feeds.values()) {
      feed.close();
    }
    for (ToyServer.Cache door : doors.values()) {
      door.close();
    }
  }
}
