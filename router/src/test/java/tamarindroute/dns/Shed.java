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
final class Shed implements Steering.Fleet {

  static final Duration LEAST = Duration.ofSeconds(1);
  static final Duration MOST = Duration.ofSeconds(30);

  /** What an edge can do at its start, when it is warm, and how many times that pushes it over. */
  static final PolicySettings.ColdStart COLD =
      new PolicySettings.ColdStart(0.2, Duration.ofSeconds(20), 3, Duration.ofSeconds(2));

  static final double WEIGHT = 40;
  static final RequestClass KEPT =
      new RequestClass(
          RequestClass.Idempotency.IDEMPOTENT,
          RequestClass.DeduplicationScope.ALL,
          Duration.ofSeconds(3),
          Duration.ofSeconds(1),
          1,
          true,
          Duration.ZERO);
  static final RequestClass PASSED =
      new RequestClass(
          RequestClass.Idempotency.KEYED,
          RequestClass.DeduplicationScope.ALL,
          Duration.ofSeconds(3),
          Duration.ofSeconds(1),
          0,
          false,
          Duration.ZERO);

  final List<Cache> caches = new ArrayList<>();
  final Map<Cache, DnsSettings.Place> places = new HashMap<>();
  final Map<Cache, Duration> proven = new HashMap<>();
  final Set<RoutingPolicy> modules = new HashSet<>();
  boolean listed = true;
  Duration heardAt = Duration.ZERO;
  final Location first =
      new Location(
          "shed-1",
          0,
          List.of("shed-2"),
          List.of(new Location.Clients(Subnet.parse("10.1.0.0/16"), 4)));
  final Location second =
      new Location(
          "shed-2", 1, List.of(), List.of(new Location.Clients(Subnet.parse("10.2.0.0/16"), 4)));

  Shed(int edges) {
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
        cache, new DnsSettings.Place("c-" + address.replace('.', '-'), address(address), 5050));
  }

  static InetAddress address(String text) {
    try {
      return InetAddress.getByName(text);
    } catch (UnknownHostException e) {
      throw new IllegalArgumentException(e);
    }
  }

  DnsSettings.Steer steer(int instances, double carries, Duration keptAtLeast, int records) {
    try {
      return new DnsSettings.Steer(
          Name.fromString("sheds.example."),
          List.of(first, second),
          "near",
          "cache",
          Map.of("clip", KEPT, "pick", PASSED),
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
  Steering steering(DnsSettings.Steer settings) {
    Map<String, RoutingPolicy> own = new HashMap<>();
    for (Location location : settings.locations()) {
      RatioTestPolicy policy =
          new RatioTestPolicy(
              new PolicySettings(
                  7,
                  location.place(),
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
    tell(Duration.ZERO);
    return new Steering(settings, this, own, null, Duration.ZERO);
  }

  Steering steering() {
    return steering(steer(1, 1, Duration.ZERO, 1));
  }

  /** The list as it is now goes to all modules, as the feed brings it. */
  void tell(Duration now) {
    heardAt = now;
    modules.forEach(module -> module.onEndpoints(caches, now));
  }

  /** The cache's process starts anew. */
  void restart(Cache cache, Duration now) {
    cache.startedAt = now;
    cache.availability = Cache.Availability.READY;
    tell(now);
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

  Cache cacheOf(DnsSettings.Place place) {
    return places.entrySet().stream()
        .filter(e -> e.getValue().equals(place))
        .findFirst()
        .orElseThrow()
        .getKey();
  }

  @Override
  public List<Cache> caches() {
    return caches.stream().filter(c -> c.availability != Cache.Availability.GONE).toList();
  }

  @Override
  public DnsSettings.Place place(Cache cache) {
    return places.get(cache);
  }

  @Override
  public boolean listed() {
    return listed;
  }

  @Override
  public Duration silent(Duration now) {
    return now.minus(heardAt);
  }

  @Override
  public boolean proven(Cache cache, Duration now) {
    return proven.containsKey(cache)
        && now.minus(proven.get(cache)).compareTo(Duration.ofSeconds(3)) <= 0;
  }
}
