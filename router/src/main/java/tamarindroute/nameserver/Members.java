package tamarindroute.nameserver;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import tamarindroute.decision.Cache;
import tamarindroute.dns.DnsSettings.Place;
import tamarindroute.dns.Probes;
import tamarindroute.dns.Steering;
import tamarindroute.host.EndpointRegistry;

/**
 * The list as steering sees it: ids as labels, addresses, the feed's silence, what probes prove.
 */
final class Members implements Steering.Fleet {

  /** A label of a name is no longer. */
  private static final int LONGEST_LABEL = 63;

  private final EndpointRegistry endpoints;
  private final Probes probes;
  private final Map<Cache, Place> places = new HashMap<>();

  Members(EndpointRegistry endpoints, Probes probes) {
    this.endpoints = endpoints;
    this.probes = probes;
  }

  /** The list has changed: an address may have, too. */
  void changed() {
    places.clear();
    if (probes != null) {
      probes.listed(endpoints.caches());
    }
  }

  @Override
  public List<Cache> caches() {
    return endpoints.caches();
  }

  @Override
  public Place place(Cache cache) {
    return places.computeIfAbsent(
        cache,
        c -> {
          InetSocketAddress address = endpoints.address(c);
          return new Place(label(endpoints.id(c)), address.getAddress(), address.getPort());
        });
  }

  /** An id as a label: what can't stand in one becomes a dash. */
  private static String label(String id) {
    String label = id.toLowerCase(Locale.ROOT).replaceAll("[^a-z0-9-]", "-");
    return label.length() > LONGEST_LABEL ? label.substring(0, LONGEST_LABEL) : label;
  }

  @Override
  public boolean listed() {
    return endpoints.listReceived();
  }

  @Override
  public Duration silent(Duration now) {
    return endpoints.lastFeedReadAt() == null ? now : now.minus(endpoints.lastFeedReadAt());
  }

  @Override
  public boolean proven(Cache cache, Duration now) {
    return probes != null && probes.proven(cache, now);
  }
}
