package tamarindroute.rig.play;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import tamarindroute.example.ToyServer;
import tamarindroute.rig.journal.Journal;
import tamarindroute.rig.journal.LinkEvent;
import tamarindroute.rig.proxy.ProxyNetwork;
import tamarindroute.rig.schedule.ProcessSettings;
import tamarindroute.rig.schedule.Schedule;

/**
 * The feeds and caches around the gateways. Each gateway has a feed of its own, and each cache a
 * server of its own for each gateway, behind a proxy: so the sender of a request is known.
 */
final class FakeServers implements Closeable {

  private static final String EXAMPLE_CONFIGURATION = "example/config.json";
  private static final String EXAMPLE_LISTENER = "127.0.0.1:7000";
  private static final String EXAMPLE_FEED = "127.0.0.1:7001";
  private static final String SERVERS = "\"servers\": [";
  private static final String SERVERS_END = "]}}";
  private static final int FIRST_CACHE_ID = 10;

  /** Answers after which the request was certainly not executed. */
  private static final List<ToyServer.CacheBehavior> NOT_EXECUTED =
      List.of(ToyServer.CacheBehavior.MISS, ToyServer.CacheBehavior.OVER_CAPACITY);

  private final Schedule schedule;
  private final ProcessSettings settings;
  private final Journal journal;
  private final ProxyPorts proxyPorts;

  /** By gateway. */
  private final Map<String, ToyServer.Feed> feeds = new HashMap<>();

  /** By the link from gateway to cache. */
  private final Map<String, ToyServer.Cache> cacheServers = new HashMap<>();

  /** The last announced entries by link: a restarted gateway is configured with these. */
  private final Map<String, String> announced = new ConcurrentHashMap<>();

  private final List<Thread> readers = new ArrayList<>();

  FakeServers(Schedule schedule, Journal journal, ProxyNetwork proxies) throws IOException {
    this.schedule = schedule;
    this.journal = journal;
    settings = schedule.settings();
    proxyPorts = new ProxyPorts(proxies);
    for (String gateway : schedule.processNames()) {
      startFeed(gateway);
      for (String cache : schedule.caches()) {
        startCache(gateway, cache);
      }
    }
  }

  private void startFeed(String gateway) throws IOException {
    ToyServer.Feed feed = new ToyServer.Feed(0);
    feeds.put(gateway, feed);
    proxyPorts.open(gateway, Schedule.FEED, feed.port());
  }

  private void startCache(String gateway, String cache) throws IOException {
    ToyServer.Cache server = new ToyServer.Cache(0);
    cacheServers.put(LinkEvent.nameOf(gateway, cache), server);
    proxyPorts.open(gateway, cache, server.port());
    Thread reader =
        new Thread(
            () -> recordRequests(gateway, cache, server),
            "requests of " + gateway + " to " + cache);
    reader.setDaemon(true);
    reader.start();
    readers.add(reader);
  }

  private void recordRequests(String gateway, String cache, ToyServer.Cache server) {
    try {
      while (true) {
        journal.add(cache, describe(gateway, server.receivedCommands.take(), server));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** A request's command, sender, fields, whether it was executed, and its fill source by name. */
  private String describe(String gateway, String request, ToyServer.Cache server) {
    String[] words = request.split(" ", 4);
    String text = words[0] + " from=" + gateway;
    if (!words[0].equals("ASK")) {
      return text;
    }
    boolean executed = !NOT_EXECUTED.contains(server.behavior);
    text += " rid=" + words[1] + " executed=" + executed + " " + words[2].replace(',', ' ');
    for (String source : schedule.caches()) {
      text = text.replace("parent=" + id(source), "source=" + source);
    }
    return text;
  }

  /** The cache's id in lists, as in the example: s-0000000a is the first. */
  private String id(String cache) {
    return "s-%08x".formatted(schedule.caches().indexOf(cache) + FIRST_CACHE_ID);
  }

  private String entry(String gateway, String cache, String state, long startedMillis) {
    boolean edge = cache.length() == 1;
    String sender = settings.sharedAddresses() ? schedule.processNames().get(0) : gateway;
    return ("{\"id\":\"%s\",\"addr\":\"%s\",\"zone\":\"%s\",\"kind\":\"%s\",\"cell\":%d,"
            + "\"state\":\"%s\",\"weight\":%s,\"started_ms\":%d}")
        .formatted(
            id(cache),
            Loopback.text(proxyPorts.get(sender, cache)),
            edge ? "shed" : "hub",
            edge ? "edge" : cache,
            edge ? schedule.caches().indexOf(cache) % 2 : 0,
            state,
            settings.weight(),
            startedMillis);
  }

  /** Writes a gateway's configuration, with the proxies' addresses. */
  Path writeConfiguration(String gateway, int port, Path folder) throws IOException {
    int gatewayCount = settings.gatewayCount().orElse(schedule.processCount());
    String text =
        Files.readString(Path.of(EXAMPLE_CONFIGURATION))
            .replace(EXAMPLE_LISTENER, Loopback.text(port))
            .replace(EXAMPLE_FEED, Loopback.text(proxyPorts.get(gateway, Schedule.FEED)))
            .replace("\"CountByZone\": [0, 1]", "\"CountByZone\": [0, " + gatewayCount + "]")
            .replace("\"ReplicasOfMe\": 1", "\"ReplicasOfMe\": " + gatewayCount)
            .replace("\"memory_mb\": 192", "\"memory_mb\": 64");
    int from = text.indexOf(SERVERS) + SERVERS.length();
    String configuration =
        text.substring(0, from)
            + String.join(",", entries(gateway))
            + text.substring(text.indexOf(SERVERS_END, from));
    return Files.writeString(folder.resolve("config-" + gateway + ".json"), configuration);
  }

  private List<String> entries(String gateway) {
    return schedule.caches().stream()
        .map(
            cache ->
                announced.getOrDefault(
                    LinkEvent.nameOf(gateway, cache), entry(gateway, cache, "ready", 0)))
        .toList();
  }

  /** Announces a cache's state by the gateways' feeds; cold is ready, started now. */
  void announce(String cache, String state, List<String> gateways) {
    boolean cold = state.equals("cold");
    long startedMillis = cold ? System.currentTimeMillis() : 0;
    for (String gateway : gateways) {
      String entry = entry(gateway, cache, cold ? "ready" : state, startedMillis);
      announced.put(LinkEvent.nameOf(gateway, cache), entry);
      feeds
          .get(gateway)
          .publish(
              "{\"n\":N,\"members\":{\"version\":2,\"full\":false,\"servers\":[" + entry + "]}}");
      journal.add(
          Schedule.FEED,
          "gateway=%s cache=%s state=%s weight=%s"
              .formatted(gateway, cache, state, settings.weight()));
    }
  }

  /** Sets how a cache answers all gateways. */
  void setMode(String cache, String mode) {
    for (String gateway : schedule.processNames()) {
      cacheServers.get(LinkEvent.nameOf(gateway, cache)).behavior =
          ToyServer.CacheBehavior.ofWord(mode);
    }
    journal.add(cache, "mode=" + mode);
  }

  @Override
  public void close() throws IOException {
    readers.forEach(Thread::interrupt);
    for (ToyServer.Feed feed : feeds.values()) {
      feed.close();
    }
    for (ToyServer.Cache server : cacheServers.values()) {
      server.close();
    }
  }
}
