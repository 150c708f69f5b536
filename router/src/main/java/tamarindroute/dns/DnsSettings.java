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
    Steer steer,
    Limits limits,
    CookieKeys cookies,
    Probing probing,
    List<Forwarded> forwarded,
    String identity) {

  public DnsSettings {
    zones = List.copyOf(zones);
    forwarded = List.copyOf(forwarded);
  }

  /**
   * The names that are answered by the module's decisions, below one zone's origin.
   *
   * @param instances all instances that steer or send work to the same caches; they share what a
   *     cold one bears
   * @param carries the load, in transfers under way, that one answer brings at the most where no
   *     network tells
   * @param keptAtLeast how long resolvers keep an answer though its TTL is shorter
   * @param records caches named in one answer, where none of them is cold
   * @param staleFor how long the last list is answered from after the feed fell silent
   * @param direct whether what is not kept may go to the origin past the edges
   */
  public record Steer(
      Name origin,
      List<Location> locations,
      String nearest,
      String caches,
      Map<String, RequestClass> profiles,
      String part,
      int parts,
      int instances,
      double carries,
      Duration leastTtl,
      Duration mostTtl,
      Duration keptAtLeast,
      int records,
      Duration staleFor,
      boolean direct) {

    public Steer {
      locations = List.copyOf(locations);
      profiles = Map.copyOf(profiles);
    }
  }

  /**
   * @param datagram the largest answer in one datagram, so that none comes in fragments
   * @param perSecond answers a second to one network before some are held back
   * @param slip of those held back, each so many is answered with an invitation to TCP; 0 for none
   * @param connections TCP connections at once
   * @param idle after which a TCP connection is closed
   * @param pipelined queries of one TCP connection that are worked on at once
   */
  public record Limits(
      int datagram, double perSecond, int slip, int connections, Duration idle, int pipelined) {}

  /**
   * The secret that answers' cookies are made with, the same at all instances, and the one before
   * it, or null.
   */
  public record CookieKeys(byte[] secret, byte[] previous) {}

  /** Each cache is probed every so often, but no more than so many probes go out a second. */
  public record Probing(Duration every, double mostPerSecond, Duration within) {}

  /** A zone that another installation's router answers for. */
  public record Forwarded(
      Name zone, List<InetSocketAddress> upstreams, Duration within, Duration staleFor) {
    public Forwarded {
      upstreams = List.copyOf(upstreams);
    }
  }

  /** Where clients reach a cache. */
  public record Place(String id, InetAddress host, int port) {

    /** What resolvers keep of it: another cache may have the address later, under another id. */
    InetSocketAddress address() {
      return new InetSocketAddress(host, port);
    }
  }
}
