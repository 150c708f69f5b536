package tamarindroute.dns;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Message;
import org.xbill.DNS.NSRecord;
import org.xbill.DNS.Name;
import org.xbill.DNS.OPTRecord;
import org.xbill.DNS.Record;
import org.xbill.DNS.SOARecord;
import org.xbill.DNS.Section;
import org.xbill.DNS.Type;
import tamarindroute.decision.Cache;

/**
 * What measurements outside of this package need of it: the real decisions over a fleet in told
 * time.
 */
public final class DnsFixture {

  private DnsFixture() {}

  /** Answers for one location of so many warm edges. */
  public static Responder responder(int edges) throws IOException {
    TwoLocationDirectory directory = new TwoLocationDirectory(edges);
    directory.feedReadAt = Duration.ofDays(1);
    DnsSettings.SteeringSettings steer = directory.steer(1, 0.001, Duration.ZERO, 1);
    Name origin = steer.origin();
    ZoneData zone =
        new ZoneData(
            origin,
            List.of(
                new SOARecord(origin, DClass.IN, 300, origin, origin, 1, 1, 1, 1, 5),
                new NSRecord(origin, DClass.IN, 300, origin)));
    DnsSettings settings =
        new DnsSettings(
            null,
            List.of(zone),
            steer,
            new DnsSettings.Limits(1232, 0, 0, 1, Duration.ofSeconds(1), 1),
            null,
            null,
            List.of(),
            null);
    return new Responder(
        settings,
        directory.steering(steer),
        new ServerCookies(new DnsSettings.CookieKeys(new byte[16], null)),
        new ResponseRateLimiter(0, 0),
        new QueryCounters());
  }

  /** A question as resolvers send it. */
  public static byte[] query(Random random) throws IOException {
    String name = random.nextInt(4) == 0 ? "shed-1" : "p" + random.nextInt(16) + ".shed-1";
    Message message =
        Message.newQuery(
            Record.newRecord(Name.fromString(name + ".sheds.example."), Type.A, DClass.IN));
    message.addRecord(new OPTRecord(1232, 0, 0), Section.ADDITIONAL);
    return message.toWire();
  }

  /**
   * A location's edges, by their numbers, and the instances that answer for them; times in seconds.
   */
  public static final class Fleet {

    private final TwoLocationDirectory directory;
    private final List<Cache> edges;
    private final List<Steering> instances = new ArrayList<>();
    private double ttl;

    /** Creates a location of warm edges and instances that each steer on their own. */
    public Fleet(int count, int instances) {
      directory = new TwoLocationDirectory(count);
      edges = directory.edges(0);
      for (int i = 0; i < instances; i++) {
        this.instances.add(directory.steering(directory.steer(instances, 1, Duration.ZERO, 1)));
      }
    }

    private static Duration at(double seconds) {
      return Duration.ofMillis(Math.round(seconds * 1000));
    }

    /** Records that the feed sent something. */
    public void heard(double now) {
      directory.feedReadAt = at(now);
    }

    /** Sets the weight of an edge as a multiple of the usual one. */
    public void weigh(int cache, double times) {
      edges.get(cache).weight = times * TwoLocationDirectory.WEIGHT;
    }

    /** Returns whether an edge takes new requests. */
    public boolean ready(int cache) {
      return edges.get(cache).availability == Cache.Availability.READY;
    }

    /** Removes an edge from the list. */
    public void gone(int cache, double now) {
      edges.get(cache).availability = Cache.Availability.GONE;
      directory.publishList(at(now));
    }

    /** Lists an edge again, restarted at this time. */
    public void back(int cache, double now) {
      directory.restart(edges.get(cache), at(now));
    }

    /** The load that pushes it over. */
    public double bound(int cache, double now) {
      return TwoLocationDirectory.bound(edges.get(cache), at(now));
    }

    /** Its fair share of the location's load. */
    public double share(int cache) {
      return edges.get(cache).weight / edges.stream().mapToDouble(c -> c.weight).sum();
    }

    /** Whom this instance answers with; below 0 for nobody of this location. */
    public int choose(int instance, double now) {
      SteeringDecision choice =
          instances
              .get(instance)
              .choose(new SteeringTarget.AnyCache(directory.first), 1, address -> true, at(now));
      ttl = choice.ttl().toMillis() / 1000.0;
      return choice.addresses().isEmpty()
          ? -1
          : edges.indexOf(directory.cacheOf(choice.addresses().get(0)));
    }

    /** How long the last answer may be kept. */
    public double ttl() {
      return ttl;
    }
  }
}
