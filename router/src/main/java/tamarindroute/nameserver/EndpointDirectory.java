package tamarindroute.nameserver;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import tamarindroute.decision.Cache;
import tamarindroute.dns.CacheDirectory;
import tamarindroute.dns.DnsSettings.CacheAddress;
import tamarindroute.dns.HealthCheckScheduler;
import tamarindroute.host.EndpointRegistry;

/**
 * The list as steering sees it: ids as labels, addresses, the feed's silence, what probes prove.
 */
final class EndpointDirectory implements CacheDirectory {

  /** A label of a name is no longer. */
  private static final int LONGEST_LABEL = 63;

  private final EndpointRegistry endpoints;
  private final HealthCheckScheduler healthChecks;
  private final Map<Cache, CacheAddress> places = new HashMap<>();

  EndpointDirectory(EndpointRegistry endpoints, HealthCheckScheduler healthChecks) {
    this.endpoints = endpoints;
    this.healthChecks = healthChecks;
  }

  /** The list has changed: an address may have, too. */
  void changed() {
    places.clear();
    if (healthChecks != null) {
      healthChecks.onCacheList(endpoints.caches());
    }
  }

  @Override
  public List<Cache> caches() {
    return endpoints.caches();
  }

  @Override
  public CacheAddress address(Cache cache) {
    return places.computeIfAbsent(
        cache,
        c -> {
          InetSocketAddress address = endpoints.address(c);
          return new CacheAddress(label(endpoints.id(c)), address.getAddress(), address.getPort());
        });
  }

  /** An id as a label: what can't stand in one becomes a dash. */
  private static String label(String id) {
    String label = id.toLowerCase(Locale.ROOT).replaceAll("[^a-z0-9-]", "-");
    return label.length() > LONGEST_LABEL ? label.substring(0, LONGEST_LABEL) : label;
  }

  @Override
  public boolean listReceived() {
    return endpoints.listReceived();
  }

  @Override
  public Duration feedSilence(Duration now) {
    return endpoints.lastFeedReadAt() == null ? now : now.minus(endpoints.lastFeedReadAt());
  }

  @Override
  public boolean isRecentlyReady(Cache cache, Duration now) {
    return healthChecks != null && healthChecks.isRecentlyReady(cache, now);
  }
}
