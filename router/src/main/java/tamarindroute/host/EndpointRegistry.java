package tamarindroute.host;

import com.google.gson.JsonObject;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.zip.CRC32;
import tamarindroute.decision.Attempt;
import tamarindroute.decision.Cache;
import tamarindroute.decision.Purge;
import tamarindroute.decision.RoutingPolicy;
import tamarindroute.log.Log;
import tamarindroute.net.CacheConnectionPool;
import tamarindroute.net.ControlFeedClient;
import tamarindroute.protocol.MalformedMessageException;
import tamarindroute.settings.MalformedSettingsException;
import tamarindroute.settings.SettingsReader;

/**
 * Owns the list of caches by their ids, their connections, and the number of the last event read.
 * Each event is taken once, in order, and told to the module; it must never judge a cache, nor drop
 * a list for a bad event.
 */
public final class EndpointRegistry implements ControlFeedClient.FeedListener {

  /** Makes the connections to a cache. */
  public interface ConnectionPoolFactory {
    CacheConnectionPool create(String id, InetSocketAddress address);
  }

  /**
   * The feed tells some gateways later than others, by seconds; past this it counts anew and is not
   * late.
   */
  private static final Duration REPLICATED_EVENT_GRACE = Duration.ofSeconds(10);

  private final List<RoutingPolicy> policies;
  private final EventLoop eventLoop;
  private final ConnectionPoolFactory connectionPoolFactory;
  private final List<String> zones;
  private final List<String> kinds;
  private final int parentKind;
  private final int originKind;
  private final Map<String, Endpoint> endpointsById = new HashMap<>();
  private final Map<Cache, Endpoint> endpointsByCache = new IdentityHashMap<>();
  private long lastEventNumber;

  /** The last that the feed itself told, and when others told one past it; null for never. */
  private long lastFeedEventNumber;

  private Duration lastReplicatedAt;
  private Consumer<String> onFeedRead = text -> {};
  private boolean listReceived;

  /** How often events were missed before the one of this number. */
  private int gapRetries;

  private long numberAfterGap;
  private Runnable onFirstList = () -> {};
  private Runnable onChange = () -> {};
  private List<Cache> caches = List.of();
  private Duration lastFeedReadAt;

  /** A cache, its id and connections, and how many trips that are out name it. */
  private static final class Endpoint {
    final String id;
    final Cache cache;
    CacheConnectionPool connectionPool;
    int attemptsInFlight;

    Endpoint(String id) {
      this.id = id;
      this.cache = new Cache(checksum(id));
    }
  }

  public EndpointRegistry(
      SettingsReader settings,
      List<RoutingPolicy> policies,
      EventLoop eventLoop,
      ConnectionPoolFactory connectionPoolFactory)
      throws MalformedSettingsException {
    this.policies = List.copyOf(policies);
    this.eventLoop = eventLoop;
    this.connectionPoolFactory = connectionPoolFactory;
    this.zones = settings.zones();
    this.kinds = settings.kinds();
    this.parentKind = settings.parentKind();
    this.originKind = settings.originKind();
  }

  public String id(Cache cache) {
    return endpointsByCache.get(cache).id;
  }

  public CacheConnectionPool connectionPool(Cache cache) {
    return endpointsByCache.get(cache).connectionPool;
  }

  /** Where clients of the cache reach it. */
  public InetSocketAddress address(Cache cache) {
    return endpointsByCache.get(cache).connectionPool.address();
  }

  /** The caches on the list, without those that are gone; in the order of their ids' marks. */
  public List<Cache> caches() {
    return caches;
  }

  /** When the feed last gave an answer that could be read; null before. */
  public Duration lastFeedReadAt() {
    return lastFeedReadAt;
  }

  /** Told after each change of the list, once the modules know of it. */
  public void onChange(Runnable task) {
    onChange = task;
  }

  /**
   * A trip goes out, or has come back and been judged: a cache that is gone is forgotten when none
   * is out.
   */
  public void countAttempt(Attempt attempt, int change) {
    endpointsByCache.get(attempt.cache).attemptsInFlight += change;
    endpointsByCache.get(attempt.source).attemptsInFlight += change;
  }

  /** Whether a whole list has come. */
  public boolean listReceived() {
    return listReceived;
  }

  /** Told once, when the first whole list is in. */
  public void onFirstList(Runnable task) {
    onFirstList = task;
  }

  /** Closes the connections to all caches. */
  public void shutDown() {
    endpointsById.values().forEach(entry -> entry.connectionPool.shutDown());
  }

  @Override
  public long lastEventNumber() {
    return lastEventNumber;
  }

  @Override
  public void onEvents(String text) throws MalformedMessageException {
    FeedEventReader events = new FeedEventReader(text);
    boolean behindReplicatedEvents =
        lastReplicatedAt != null
            && events.newestNumber() >= lastFeedEventNumber
            && MonotonicClock.now().minus(lastReplicatedAt).compareTo(REPLICATED_EVENT_GRACE) < 0;
    if (events.newestNumber() < lastEventNumber && !behindReplicatedEvents) {
      // The feed counts anew, or an earlier answer was nonsense: all is read again from the first.
      lastEventNumber = 0;
      throw new MalformedMessageException("the numbers went back");
    }
    events.deliverTo(new EventApplier());
    lastFeedEventNumber = Math.min(lastEventNumber, events.newestNumber());
    lastFeedReadAt = eventLoop.now();
    onFeedRead.accept(text);
  }

  /** Told each text of the feed that was read whole, after it was. */
  public void onFeedRead(Consumer<String> task) {
    onFeedRead = task;
  }

  /**
   * Another gateway's feed told this event: taken if it is the next one. The feed itself is no
   * fresher by it.
   */
  public boolean applyReplicatedEvent(long number, String event) throws MalformedMessageException {
    if (number != lastEventNumber + 1) {
      return false;
    }
    FeedEventReader events =
        new FeedEventReader("{\"n\":" + number + ",\"events\":[" + event + "]}");
    if (!events.containsOnly(number)) {
      throw new MalformedMessageException("not the event " + number + " alone");
    }
    events.deliverTo(new EventApplier());
    lastReplicatedAt = MonotonicClock.now();
    return true;
  }

  /**
   * Takes each event once. What cannot be read is passed over, lest one bad event hide every later
   * drain.
   */
  private final class EventApplier implements FeedEventReader.FeedEventHandler {

    private final Set<String> listedIds = new HashSet<>();

    @Override
    public boolean accepts(long number) throws MalformedMessageException {
      if (number <= lastEventNumber) {
        return false;
      }
      checkGap(number);
      return true;
    }

    @Override
    public void onEndpoint(JsonObject entry) {
      applyLeniently(
          () -> {
            listedIds.add(entry.get("id").getAsString());
            applyEndpoint(entry);
          },
          entry.get("id"));
    }

    @Override
    public void onEndpointsEnd(boolean full) {
      if (full || !listReceived) {
        endpointsById.forEach(
            (id, entry) ->
                entry.cache.availability =
                    listedIds.contains(id) ? entry.cache.availability : Cache.Availability.GONE);
      }
      listedIds.clear();
      publish();
    }

    @Override
    public void onPurge(JsonObject purge) {
      applyLeniently(() -> applyPurge(purge), "a purge");
    }

    /** All that the JSON library and our own reading throw at an entry of another form. */
    private void applyLeniently(Runnable reading, Object what) {
      try {
        reading.run();
      } catch (IllegalArgumentException
          | NullPointerException
          | IllegalStateException
          | ClassCastException
          | UnsupportedOperationException e) {
        Log.info("event-unreadable", what + ": " + e.getMessage());
      }
    }

    @Override
    public void onEventEnd(long number) {
      lastEventNumber = number;
    }
  }

  /**
   * Events that are missing may hold a drain: they are asked for again, then all from the first,
   * and only if they are missing still is what there is taken. The count is the gap's own: events
   * before it that come anew with it must not start it again, or all behind the gap would be asked
   * for, and never taken, for good.
   */
  private void checkGap(long number) throws MalformedMessageException {
    if (number == lastEventNumber + 1) {
      return;
    }
    gapRetries = number == numberAfterGap ? gapRetries + 1 : 1;
    numberAfterGap = number;
    if (gapRetries <= 2) {
      long after = lastEventNumber;
      lastEventNumber = gapRetries == 2 ? 0 : lastEventNumber;
      throw new MalformedMessageException("events are missing between " + after + " and " + number);
    }
  }

  /** The modules hear of the list as it is now. */
  private void publish() {
    List<Cache> all =
        endpointsById.values().stream()
            .sorted(
                Comparator.comparingLong((Endpoint entry) -> entry.cache.stableId)
                    .thenComparing(entry -> entry.id))
            .map(entry -> entry.cache)
            .toList();
    policies.forEach(module -> module.onEndpoints(all, eventLoop.now()));
    // Told once as gone, it is forgotten, or the list would grow with each cache that was ever
    // replaced.
    for (Cache cache : all) {
      Endpoint entry = endpointsByCache.get(cache);
      if (cache.availability == Cache.Availability.GONE) {
        entry.connectionPool.shutDown();
        if (entry.attemptsInFlight == 0) {
          endpointsById.remove(entry.id);
          endpointsByCache.remove(cache);
        }
      }
    }
    caches = all.stream().filter(cache -> cache.availability != Cache.Availability.GONE).toList();
    if (!listReceived) {
      listReceived = true;
      onFirstList.run();
    }
    onChange.run();
  }

  /** Reads an entry whole before it changes anything; what a change leaves out stays as it was. */
  private void applyEndpoint(JsonObject entry) {
    String id = entry.get("id").getAsString();
    Endpoint known = endpointsById.get(id);
    Endpoint of = known == null ? new Endpoint(id) : known;
    Cache cache = of.cache;
    Cache.Availability standing =
        switch (entry.get("state").getAsString()) {
          case "ready" -> Cache.Availability.READY;
          case "draining" -> Cache.Availability.DRAINING;
          case "gone" -> Cache.Availability.GONE;
          default -> throw new IllegalArgumentException("a state of " + entry.get("state"));
        };
    int zone = entry.has("zone") ? indexOf(zones, entry.get("zone").getAsString()) : cache.zone;
    int cell = entry.has("cell") ? entry.get("cell").getAsInt() : cache.cell;
    double told = entry.has("weight") ? entry.get("weight").getAsDouble() : cache.weight;
    // What is no weight would make the cache the first or the last for all; the rest of the entry
    // holds.
    double weight = told > 0 && told < Double.POSITIVE_INFINITY ? told : cache.weight;
    int kind = entry.has("kind") ? indexOf(kinds, entry.get("kind").getAsString()) : -1;
    Cache.Tier tier =
        kind < 0
            ? cache.tier
            : kind == originKind
                ? Cache.Tier.ORIGIN
                : kind == parentKind ? Cache.Tier.PARENT : Cache.Tier.EDGE;
    long up = entry.has("started_ms") ? entry.get("started_ms").getAsLong() : 0;
    CacheConnectionPool connectionPool = of.connectionPool;
    InetSocketAddress address =
        entry.has("addr")
            ? PlatformConfiguration.address(entry.get("addr").getAsString())
            : connectionPool == null ? null : connectionPool.address();
    if (address == null) {
      throw new IllegalArgumentException("no address");
    }
    endpointsById.put(id, of);
    endpointsByCache.put(cache, of);
    cache.availability = standing;
    cache.zone = zone;
    cache.cell = cell;
    cache.weight = weight;
    cache.tier = tier;
    if (entry.has("started_ms")) {
      cache.startedAt = up == 0 ? null : notAfterNow(up);
    }
    if (connectionPool == null
        || !connectionPool.address().equals(address)
        || connectionPool.isShutDown()) {
      if (connectionPool != null) {
        connectionPool.shutDown();
      }
      of.connectionPool = connectionPoolFactory.create(id, address);
    }
  }

  private static int indexOf(List<String> names, String name) {
    int place = names.indexOf(SettingsReader.normalizeName(name));
    if (place < 0) {
      throw new IllegalArgumentException("the settings name no " + name);
    }
    return place;
  }

  /** The same at every gateway and after every restart. */
  private static long checksum(String id) {
    CRC32 crc = new CRC32();
    crc.update(id.getBytes(StandardCharsets.UTF_8));
    return crc.getValue();
  }

  /**
   * What is told has happened; a time to come, or one past all reckoning, would bind for as long.
   */
  private Duration notAfterNow(long unixMillis) {
    Duration now = eventLoop.now();
    Duration at = eventLoop.fromUnixMillis(Math.max(0, unixMillis));
    return at.compareTo(now) < 0 ? at : now;
  }

  private void applyPurge(JsonObject purge) {
    Long object =
        purge.has("key") ? Long.parseUnsignedLong(purge.get("key").getAsString(), 16) : null;
    Purge told =
        new Purge(
            object,
            object == null ? purge.get("group").getAsInt() : -1,
            notAfterNow(purge.get("at").getAsLong()));
    policies.forEach(module -> module.onPurge(told, eventLoop.now()));
  }
}
