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
    Shed shed = new Shed(edges);
    shed.heardAt = Duration.ofDays(1);
    DnsSettings.Steer steer = shed.steer(1, 0.001, Duration.ZERO, 1);
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
        shed.steering(steer),
        new Cookies(new DnsSettings.CookieKeys(new byte[16], null)),
        new RateLimit(0, 0),
        new Tally());
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

    private final Shed shed;
    private final List<Cache> edges;
    private final List<Steering> instances = new ArrayList<>();
    private double ttl;

    public Fleet(int count, int instances) {
      shed = new Shed(count);
      edges = shed.edges(0);
      for (int i = 0; i < instances; i++) {
        this.instances.add(shed.steering(shed.steer(instances, 1, Duration.ZERO, 1)));
      }
    }

    private static Duration at(double seconds) {
      return Duration.ofMillis(Math.round(seconds * 1000));
    }

    public void heard(double now) {
      shed.heardAt = at(now);
    }

    public void weigh(int cache, double times) {
      edges.get(cache).weight = times * Shed.WEIGHT;
    }

    public boolean ready(int cache) {
      return edges.get(cache).availability == Cache.Availability.READY;
    }

    public void gone(int cache, double now) {
      edges.get(cache).availability = Cache.Availability.GONE;
      shed.tell(at(now));
    }

    public void back(int cache, double now) {
      shed.restart(edges.get(cache), at(now));
    }

    /** The load that pushes it over. */
    public double bound(int cache, double now) {
      return Shed.bound(edges.get(cache), at(now));
    }

    /** Its fair share of the location's load. */
    public double share(int cache) {
      return edges.get(cache).weight / edges.stream().mapToDouble(c -> c.weight).sum();
    }

    /** Whom this instance answers with; below 0 for nobody of this location. */
    public int choose(int instance, double now) {
      Choice choice =
          instances.get(instance).choose(new Wish.AnyOf(shed.first), 1, place -> true, at(now));
      ttl = choice.ttl().toMillis() / 1000.0;
      return choice.places().isEmpty() ? -1 : edges.indexOf(shed.cacheOf(choice.places().get(0)));
    }

    /** How long the last answer may be kept. */
    public double ttl() {
      return ttl;
    }
  }
}
