package tamarindroute.resolver;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import org.xbill.DNS.Name;

/**
 * Where and how questions for a zone are sent.
 *
 * @param zone only records within it are accepted from these upstreams
 * @param timeout time that one question may take
 * @param maxStaleness time for which answers are used past their TTL while no upstream answers
 * @param recursive whether the upstreams are resolvers rather than servers of the zone
 */
public record ForwardingRoute(
    Name zone,
    UpstreamSelector upstreams,
    Duration timeout,
    Duration maxStaleness,
    boolean recursive) {

  /** Most questions in flight at one upstream. */
  private static final int MAX_IN_FLIGHT = 32;

  private static final Duration RESOLVER_MAX_STALENESS = Duration.ofDays(1);

  /** Creates a route to the servers of a zone. */
  public static ForwardingRoute toServers(
      Name zone,
      List<InetSocketAddress> servers,
      Duration timeout,
      Duration maxStaleness,
      long seed) {
    UpstreamSelector upstreams = new UpstreamSelector(servers, MAX_IN_FLIGHT, seed);
    return new ForwardingRoute(zone, upstreams, timeout, maxStaleness, false);
  }

  /** Creates a route to resolvers, for any name. */
  public static ForwardingRoute toResolvers(
      List<InetSocketAddress> resolvers, Duration timeout, long seed) {
    UpstreamSelector upstreams = new UpstreamSelector(resolvers, MAX_IN_FLIGHT, seed);
    return new ForwardingRoute(Name.root, upstreams, timeout, RESOLVER_MAX_STALENESS, true);
  }
}
