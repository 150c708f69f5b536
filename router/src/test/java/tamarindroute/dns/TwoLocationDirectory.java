package tamarindroute.dns;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.xbill.DNS.Name;
import tamarindroute.decision.Cache;
import tamarindroute.decision.PolicySettings;
import tamarindroute.decision.RequestClass;
import tamarindroute.decision.RoutingPolicy;
import tamarindroute.policy.RatioTestPolicy;

/** Two locations with edges, an origin, and the real module, in time that the test tells. */
final class TwoLocationDirectory implements CacheDirectory {

  static final Duration LEAST = Duration.ofSeconds(1);
  static final Duration MOST = Duration.ofSeconds(30);

  /** What an edge can do at its start, when it is warm, and how many times that pushes it over. */
  static final PolicySettings.ColdStart COLD =
      new PolicySettings.ColdStart(0.2, Duration.ofSeconds(20), 3, Duration.ofSeconds(2));

  static final double WEIGHT = 40;
  static final RequestClass CACHEABLE =
      new RequestClass(
          RequestClass.Idempotency.IDEMPOTENT,
          RequestClass.DeduplicationScope.ALL,
          Duration.ofSeconds(3),
          Duration.ofSeconds(1),
          1,
          true,
          Duration.ZERO);
  static final RequestClass UNCACHEABLE =
      new RequestClass(
          RequestClass.Idempotency.KEYED,
          RequestClass.DeduplicationScope.ALL,
          Duration.ofSeconds(3),
          Duration.ofSeconds(1),
          0,
          false,
          Duration.ZERO);

  final List<Cache> caches = new ArrayList<>();
  final Map<Cache, DnsSettings.CacheAddress> places = new HashMap<>();
  final Map<Cache, Duration> proven = new HashMap<>();
  final Set<RoutingPolicy> modules = new HashSet<>();
  boolean listed = true;
  Duration feedReadAt = Duration.ZERO;
  final Location first =
      new Location(
          "shed-1",
          0,
          List.of("shed-2"),
          List.of(new Location.ClientNetwork(Subnet.parse("10.1.0.0/16"), 4)));
  final Location second =
      new Location(
          "shed-2",
          1,
          List.of(),
          List.of(new Location.ClientNetwork(Subnet.parse("10.2.0.0/16"), 4)));

  TwoLocationDirectory(int edges) {
    for (int i = 0; i < edges; i++) {
      add(Cache.Tier.EDGE, 0, "10.0.1." + (i + 1));
    }
    for (int i = 0; i < 2; i++) {
      add(Cache.Tier.EDGE, 1, "10.0.2." + (i + 1));
    }
    add(Cache.Tier.ORIGIN, 1, "10.0.9.1");
  }

  private void add(Cache.Tier tier, int zone, String address) {
    Cache cache = new Cache(address.hashCode() * 0x9e3779b9L & 0xffffffffL);
    cache.tier = tier;
    cache.zone = zone;
    cache.weight = WEIGHT;
    caches.add(cache);
    places.put(
        cache,
        new DnsSettings.CacheAddress("c-" + address.replace('.', '-'), address(address), 5050));
  }

  static InetAddress address(String text) {
    try {
      return InetAddress.getByName(text);
    } catch (UnknownHostException e) {
      throw new IllegalArgumentException(e);
    }
  }

  DnsSettings.SteeringSettings steer(
      int instances, double carries, Duration keptAtLeast, int records) {
    try {
      return new DnsSettings.SteeringSettings(
          Name.fromString("sheds.example."),
          List.of(first, second),
          "near",
          "cache",
          Map.of("clip", CACHEABLE, "pick", UNCACHEABLE),
          "p",
          16,
          instances,
          carries,
          LEAST,
          MOST,
          keptAtLeast,
          records,
          Duration.ofSeconds(60),
          true);
    } catch (org.xbill.DNS.TextParseException e) {
      throw new IllegalStateException(e);
    }
  }

  /** One instance's steering, with modules of its own. */
  Steering steering(DnsSettings.SteeringSettings settings) {
    Map<String, RoutingPolicy> own = new HashMap<>();
    for (Location location : settings.locations()) {
      RatioTestPolicy policy =
          new RatioTestPolicy(
              new PolicySettings(
                  7,
                  location.zoneIndex(),
                  settings.instances(),
                  settings.instances(),
                  List.of(0, 0),
                  1000,
                  0,
                  true,
                  true,
                  true,
                  false,
                  true,
                  null,
                  8,
                  COLD,
                  COLD,
                  Duration.ofSeconds(6),
                  PolicySettings.WeightMeaning.ROUGH));
      own.put(location.label(), policy);
      modules.add(policy);
    }
    publishList(Duration.ZERO);
    return new Steering(settings, this, own, null, Duration.ZERO);
  }

  Steering steering() {
    return steering(steer(1, 1, Duration.ZERO, 1));
  }

  /** The list as it is now goes to all modules, as the feed brings it. */
  void publishList(Duration now) {
    feedReadAt = now;
    modules.forEach(module -> module.onEndpoints(caches, now));
  }

  /** The cache's process starts anew. */
  void restart(Cache cache, Duration now) {
    cache.startedAt = now;
    cache.availability = Cache.Availability.READY;
    publishList(now);
  }

  /** The work that pushes a cache of this age over, by the rule's own words. */
  static double bound(Cache cache, Duration now) {
    double age = now.minus(cache.startedAt).toNanos() * 1e-9;
    double warmth =
        Math.min(
            1,
            COLD.initialCapacity()
                + (1 - COLD.initialCapacity()) * age / COLD.warmAfter().toSeconds());
    return COLD.overloadMultiple() * warmth * cache.weight;
  }

  List<Cache> edges(int zone) {
    return caches.stream().filter(c -> c.tier == Cache.Tier.EDGE && c.zone == zone).toList();
  }

  Cache cacheOf(DnsSettings.CacheAddress address) {
    return places.entrySet().stream()
        .filter(e -> e.getValue().equals(address))
        .findFirst()
        .orElseThrow()
        .getKey();
  }

  @Override
  public List<Cache> caches() {
    return caches.stream().filter(c -> c.availability != Cache.Availability.GONE).toList();
  }

  @Override
  public DnsSettings.CacheAddress address(Cache cache) {
    return places.get(cache);
  }

  @Override
  public boolean listReceived() {
    return listed;
  }

  @Override
  public Duration feedSilence(Duration now) {
    return now.minus(feedReadAt);
  }

  @Override
  public boolean isRecentlyReady(Cache cache, Duration now) {
    return proven.containsKey(cache)
        && now.minus(proven.get(cache)).compareTo(Duration.ofSeconds(3)) <= 0;
  }
}
