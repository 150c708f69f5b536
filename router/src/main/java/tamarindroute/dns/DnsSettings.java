package tamarindroute.dns;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.xbill.DNS.Name;
import tamarindroute.decision.RequestClass;

/**
 * Settings of the DNS server, already validated.
 *
 * @param listen address for UDP and TCP
 * @param zones zones that this server is authoritative for
 * @param steering null for no steered names
 * @param cookies null for a secret of each start's own
 * @param healthChecks null for none
 * @param forwardedZones zones whose questions go to other installations' routers
 * @param identity answer to the question for this server's identity; null to refuse it
 */
public record DnsSettings(
    InetSocketAddress listen,
    List<ZoneData> zones,
    SteeringSettings steering,
    Limits limits,
    CookieKeys cookies,
    HealthCheckSettings healthChecks,
    List<ForwardedZone> forwardedZones,
    String identity) {

  /** Copies the lists. */
  public DnsSettings {
    zones = List.copyOf(zones);
    forwardedZones = List.copyOf(forwardedZones);
  }

  /**
   * Settings of the steered names, which lie below the origin of one zone.
   *
   * @param nearestLabel label that stands for the client's own location
   * @param cachesLabel label below which single caches have names
   * @param requestClasses request classes by the labels that stand for them
   * @param partitionPrefix prefix of the labels of partitions of the objects
   * @param partitionCount number of partitions
   * @param instances number of instances that share the caches, and so what cold ones can take
   * @param loadPerAnswer the most concurrent transfers that an answer brings, for clients outside
   *     of all networks
   * @param minResolverCacheTime time for which resolvers cache answers whatever their TTL
   * @param maxAddresses most caches in one answer
   * @param maxListAge silence of the feed after which the last list is used no longer
   * @param edgeBypassAllowed whether uncacheable requests may go straight to the origin
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

    /** Copies the collections. */
    public SteeringSettings {
      locations = List.copyOf(locations);
      requestClasses = Map.copyOf(requestClasses);
    }
  }

  /**
   * Limits on resources and on rates.
   *
   * @param maxDatagramBytes largest response in one datagram, small enough to avoid fragments
   * @param answersPerSecond responses per second to one network before some are withheld
   * @param slip one in this many withheld responses is sent truncated; 0 for none
   * @param maxConnections TCP connections at once
   * @param idleTimeout time after which an idle TCP connection is closed
   * @param maxPipelinedQueries queries of one TCP connection that are answered at once
   */
  public record Limits(
      int maxDatagramBytes,
      double answersPerSecond,
      int slip,
      int maxConnections,
      Duration idleTimeout,
      int maxPipelinedQueries) {}

  /** Secrets for server cookies, the same at all instances. */
  public static final class CookieKeys {

    private final byte[] secret;
    private final byte[] previous;

    /**
     * Creates keys.
     *
     * @param previous secret whose cookies are still accepted; null for none
     */
    public CookieKeys(byte[] secret, byte[] previous) {
      this.secret = secret.clone();
      this.previous = previous == null ? null : previous.clone();
    }

    /** Returns the secret that cookies are made with. */
    public byte[] secret() {
      return secret.clone();
    }

    /** Returns the previous secret; null for none. */
    public byte[] previous() {
      return previous == null ? null : previous.clone();
    }
  }

  /**
   * Settings of health checks.
   *
   * @param interval time between checks of one cache
   * @param maxPerSecond most checks per second, of all caches together
   * @param timeout time that one check may take
   */
  public record HealthCheckSettings(Duration interval, double maxPerSecond, Duration timeout) {}

  /**
   * A zone that another installation's router answers for.
   *
   * @param upstreams addresses of that router
   * @param timeout time that one question may take
   * @param maxStaleness time for which answers are used past their TTL while no upstream answers
   */
  public record ForwardedZone(
      Name zone, List<InetSocketAddress> upstreams, Duration timeout, Duration maxStaleness) {

    /** Copies the list. */
    public ForwardedZone {
      upstreams = List.copyOf(upstreams);
    }
  }

  /**
   * Where clients reach a cache.
   *
   * @param id the cache's id as a label of a domain name
   */
  public record CacheAddress(String id, InetAddress host, int port) {

    /** Returns host and port, which a later cache of another id may use as well. */
    InetSocketAddress socketAddress() {
      return new InetSocketAddress(host, port);
    }
  }
}
