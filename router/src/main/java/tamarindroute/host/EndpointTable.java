package tamarindroute.host;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongFunction;
import tamarindroute.decision.Cache;
import tamarindroute.net.CacheConnectionPool;
import tamarindroute.settings.MalformedSettingsException;
import tamarindroute.settings.SettingsReader;

/** The endpoints by their ids and by their caches, and the application of updates to them. */
final class EndpointTable {

  private static final Comparator<Endpoint> BY_STABLE_ID =
      Comparator.comparingLong((Endpoint endpoint) -> endpoint.cache.stableId)
          .thenComparing(endpoint -> endpoint.id);

  private final LongFunction<Duration> pastTime;
  private final EndpointRegistry.ConnectionPoolFactory connectionPoolFactory;
  private final List<String> zones;
  private final List<String> kinds;
  private final int parentKind;
  private final int originKind;
  private final Map<String, Endpoint> endpointsById = new HashMap<>();

  // Caches are entities, which are told apart by identity.
  @SuppressWarnings("IdentityHashMapUsage")
  private final Map<Cache, Endpoint> endpointsByCache = new IdentityHashMap<>();

  /**
   * Creates an empty table.
   *
   * @param settings that name the zones and the kinds of machines
   * @param pastTime converts a Unix time in milliseconds to the event loop's time, at the latest
   *     now
   * @param connectionPoolFactory creates the connections to each cache
   * @throws MalformedSettingsException if the settings' kinds of parents or origins are not numbers
   */
  EndpointTable(
      SettingsReader settings,
      LongFunction<Duration> pastTime,
      EndpointRegistry.ConnectionPoolFactory connectionPoolFactory)
      throws MalformedSettingsException {
    this.pastTime = pastTime;
    this.connectionPoolFactory = connectionPoolFactory;
    this.zones = settings.zones();
    this.kinds = settings.kinds();
    this.parentKind = settings.parentKind();
    this.originKind = settings.originKind();
  }

  /** The endpoint of a cache that is listed or has attempts in flight. */
  Endpoint get(Cache cache) {
    return endpointsByCache.get(cache);
  }

  /** The caches of all endpoints, ordered by their stable ids. */
  List<Cache> sortedCaches() {
    return endpointsById.values().stream()
        .sorted(BY_STABLE_ID)
        .map(endpoint -> endpoint.cache)
        .toList();
  }

  /** Closes the connections to all caches. */
  void shutDown() {
    endpointsById.values().forEach(endpoint -> endpoint.connectionPool.shutDown());
  }

  /** Marks all caches as gone whose ids are not among these. */
  void markOthersAsGone(Set<String> listedIds) {
    for (Endpoint endpoint : endpointsById.values()) {
      if (!listedIds.contains(endpoint.id)) {
        endpoint.cache.availability = Cache.Availability.GONE;
      }
    }
  }

  /**
   * Closes the connections to a cache that is gone, and forgets it unless attempts still refer to
   * it.
   */
  void retire(Cache cache) {
    Endpoint endpoint = endpointsByCache.get(cache);
    endpoint.connectionPool.shutDown();
    if (endpoint.attemptsInFlight == 0) {
      endpointsById.remove(endpoint.id);
      endpointsByCache.remove(cache);
    }
  }

  /**
   * Applies an update; one that is malformed has no effect.
   *
   * @throws IllegalArgumentException if the settings do not name its zone or kind, or a new cache
   *     has no address
   */
  void apply(EndpointUpdate update) {
    Endpoint known = endpointsById.get(update.id());
    Endpoint endpoint = known == null ? new Endpoint(update.id()) : known;
    Cache cache = endpoint.cache;
    int zone = update.zone() == null ? cache.zone : indexOf(zones, update.zone());
    Cache.Tier tier = update.kind() == null ? cache.tier : tier(indexOf(kinds, update.kind()));
    InetSocketAddress address = address(update, endpoint);

    endpointsById.put(endpoint.id, endpoint);
    endpointsByCache.put(cache, endpoint);
    cache.availability = update.availability();
    cache.zone = zone;
    cache.tier = tier;
    if (update.cell() != null) {
      cache.cell = update.cell();
    }
    if (update.weight() != null && isUsableWeight(update.weight())) {
      cache.weight = update.weight();
    }
    if (update.startedMillis() != null) {
      cache.startedAt = update.startedMillis() == 0 ? null : pastTime.apply(update.startedMillis());
    }
    connect(endpoint, address);
  }

  private static int indexOf(List<String> names, String name) {
    int index = names.indexOf(SettingsReader.normalizeName(name));
    if (index < 0) {
      throw new IllegalArgumentException("\"" + name + "\" is not among the settings' " + names);
    }
    return index;
  }

  private Cache.Tier tier(int kind) {
    if (kind == originKind) {
      return Cache.Tier.ORIGIN;
    }
    return kind == parentKind ? Cache.Tier.PARENT : Cache.Tier.EDGE;
  }

  private static InetSocketAddress address(EndpointUpdate update, Endpoint endpoint) {
    if (update.address() != null) {
      return update.address();
    }
    if (endpoint.connectionPool == null) {
      throw new IllegalArgumentException("a new cache has no address");
    }
    return endpoint.connectionPool.address();
  }

  /** Any other weight would make the cache the first or the last choice of all; it is ignored. */
  private static boolean isUsableWeight(double weight) {
    return weight > 0 && weight < Double.POSITIVE_INFINITY;
  }

  private void connect(Endpoint endpoint, InetSocketAddress address) {
    CacheConnectionPool current = endpoint.connectionPool;
    if (current != null && current.address().equals(address) && !current.isShutDown()) {
      return;
    }
    if (current != null) {
      current.shutDown();
    }
    endpoint.connectionPool = connectionPoolFactory.create(endpoint.id, address);
  }
}
