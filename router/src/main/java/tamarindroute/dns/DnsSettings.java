package tamarindroute.dns;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.xbill.DNS.Name;
import tamarindroute.decision.RequestClass;

/** What the DNS front is told by its settings, checked before it gets here. */
public record DnsSettings(
    InetSocketAddress listen,
    List<ZoneData> zones,
    SteeringSettings steering,
    Limits limits,
    CookieKeys cookies,
    HealthCheckSettings healthChecks,
    List<ForwardedZone> forwardedZones,
    String identity) {

  public DnsSettings {
    zones = List.copyOf(zones);
    forwardedZones = List.copyOf(forwardedZones);
  }

  /**
   * The names that are answered by the module's decisions, below one zone's origin.
   *
   * @param instances all instances that steer or send work to the same caches; they share what a
   *     cold one bears
   * @param loadPerAnswer the load, in transfers under way, that one answer brings at the most where
   *     no network tells
   * @param minResolverCacheTime how long resolvers keep an answer though its TTL is shorter
   * @param maxAddresses caches named in one answer, where none of them is cold
   * @param maxListAge how long the last list is answered from after the feed fell silent
   * @param edgeBypassAllowed whether what is not kept may go to the origin past the edges
   */
  public record SteeringSettings(
      Name origin,
      List<Location> locations,
      String nearestLabel,
      String cachesLabel,
      Map<String, RequestClass> requestClasses,
      String partitionPrefix,
      int partitionCount,
      int instances,
      double loadPerAnswer,
      Duration minTtl,
      Duration maxTtl,
      Duration minResolverCacheTime,
      int maxAddresses,
      Duration maxListAge,
      boolean edgeBypassAllowed) {

    public SteeringSettings {
      locations = List.copyOf(locations);
      requestClasses = Map.copyOf(requestClasses);
    }
  }

  /**
   * @param maxDatagramBytes the largest answer in one datagram, so that none comes in fragments
   * @param answersPerSecond answers a second to one network before some are held back
   * @param slip of those held back, each so many is answered with an invitation to TCP; 0 for none
   * @param maxConnections TCP connections at once
   * @param idleTimeout after which a TCP connection is closed
   * @param maxPipelinedQueries queries of one TCP connection that are worked on at once
   */
  public record Limits(
      int maxDatagramBytes,
      double answersPerSecond,
      int slip,
      int maxConnections,
      Duration idleTimeout,
      int maxPipelinedQueries) {}

  /**
   * The secret that answers' cookies are made with, the same at all instances, and the one before
   * it, or null.
   */
  public record CookieKeys(byte[] secret, byte[] previous) {}

  /** Each cache is probed every so often, but no more than so many probes go out a second. */
  public record HealthCheckSettings(Duration interval, double maxPerSecond, Duration timeout) {}

  /** A zone that another installation's router answers for. */
  public record ForwardedZone(
      Name zone, List<InetSocketAddress> upstreams, Duration timeout, Duration maxStaleness) {
    public ForwardedZone {
      upstreams = List.copyOf(upstreams);
    }
  }

  /** Where clients reach a cache. */
  public record CacheAddress(String id, InetAddress host, int port) {

    /** What resolvers keep of it: another cache may have the address later, under another id. */
    InetSocketAddress socketAddress() {
      return new InetSocketAddress(host, port);
    }
  }
}
