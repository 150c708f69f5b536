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

/** The registered endpoints as steering needs them, with their ids as labels of domain names. */
final class EndpointDirectory implements CacheDirectory {

  /** Longest label of a domain name in octets (RFC 1035, 2.3.4). */
  private static final int MAX_LABEL_LENGTH = 63;

  private final EndpointRegistry endpoints;
  private final HealthCheckScheduler healthChecks;
  private final Map<Cache, CacheAddress> addresses = new HashMap<>();

  EndpointDirectory(EndpointRegistry endpoints, HealthCheckScheduler healthChecks) {
    this.endpoints = endpoints;
    this.healthChecks = healthChecks;
  }

  /** Called when the list of caches has changed, and with it perhaps addresses. */
  void onChange() {
    addresses.clear();
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
    return addresses.computeIfAbsent(
        cache,
        added -> {
          InetSocketAddress address = endpoints.address(added);
          return new CacheAddress(
              label(endpoints.id(added)), address.getAddress(), address.getPort());
        });
  }

  /** Returns an id as a label: in lower case, with dashes for what a label cannot contain. */
  private static String label(String id) {
    String label = id.toLowerCase(Locale.ROOT).replaceAll("[^a-z0-9-]", "-");
    return label.length() > MAX_LABEL_LENGTH ? label.substring(0, MAX_LABEL_LENGTH) : label;
  }

  @Override
  public boolean listReceived() {
    return endpoints.listReceived();
  }

  @Override
  public Duration feedSilence(Duration now) {
    Duration lastReadAt = endpoints.lastFeedReadAt();
    return lastReadAt == null ? now : now.minus(lastReadAt);
  }

  @Override
  public boolean isRecentlyReady(Cache cache, Duration now) {
    return healthChecks != null && healthChecks.isRecentlyReady(cache, now);
  }
}
