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
import tamarindroute.host.Roster;

/**
 * The list as steering sees it: ids as labels, addresses, the feed's silence, what probes prove.
 */
final class Members implements Steering.Fleet {

  /** A label of a name is no longer. */
  private static final int LONGEST_LABEL = 63;

  private final Roster roster;
  private final Probes probes;
  private final Map<Cache, Place> places = new HashMap<>();

  Members(Roster roster, Probes probes) {
    this.roster = roster;
    this.probes = probes;
  }

  /** The list has changed: an address may have, too. */
  void changed() {
    places.clear();
    if (probes != null) {
      probes.listed(roster.caches());
    }
  }

  @Override
  public List<Cache> caches() {
    return roster.caches();
  }

  @Override
  public Place place(Cache cache) {
    return places.computeIfAbsent(
        cache,
        c -> {
          InetSocketAddress address = roster.address(c);
          return new Place(label(roster.id(c)), address.getAddress(), address.getPort());
        });
  }

  /** An id as a label: what can't stand in one becomes a dash. */
  private static String label(String id) {
    String label = id.toLowerCase(Locale.ROOT).replaceAll("[^a-z0-9-]", "-");
    return label.length() > LONGEST_LABEL ? label.substring(0, LONGEST_LABEL) : label;
  }

  @Override
  public boolean listed() {
    return roster.listed();
  }

  @Override
  public Duration silent(Duration now) {
    return roster.heardAt() == null ? now : now.minus(roster.heardAt());
  }

  @Override
  public boolean proven(Cache cache, Duration now) {
    return probes != null && probes.proven(cache, now);
  }
}
