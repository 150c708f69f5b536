package tamarindroute.config;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.xbill.DNS.Name;
import tamarindroute.dns.DnsSettings;
import tamarindroute.dns.ZoneData;
import tamarindroute.host.PlatformConfiguration;

/** Reads the {@code dns} element of a settings file. */
final class DnsSettingsReader {

  private static final DnsSettings.Limits DEFAULT_LIMITS =
      new DnsSettings.Limits(1232, 100, 2, 128, Duration.ofSeconds(10), 32);

  private final FaultCollector faults;
  private final Optional<PlatformConfiguration> platform;
  private final int instances;

  /**
   * Creates a reader.
   *
   * @param platform empty if it could not be read, which is a fault already
   */
  DnsSettingsReader(
      FaultCollector faults, Optional<PlatformConfiguration> platform, int instances) {
    this.faults = faults;
    this.platform = platform;
    this.instances = instances;
  }

  DnsSettings read(XmlElement dns) {
    Set<Name> origins = new HashSet<>();
    List<ZoneData> zones = readZones(dns, origins);
    DnsSettings.SteeringSettings steering =
        dns.child("steer")
            .map(
                element ->
                    new SteeringSettingsReader(faults, platform, instances)
                        .read(element, zones, origins))
            .orElse(null);
    List<DnsSettings.ForwardedZone> forwardedZones = readForwardedZones(dns, origins);
    return new DnsSettings(
        faults.address(dns, "listen"),
        zones,
        steering,
        dns.child("limits").map(this::readLimits).orElse(DEFAULT_LIMITS),
        dns.child("cookies").map(DnsSettingsReader::readCookieKeys).orElse(null),
        dns.child("probing").map(this::readHealthChecks).orElse(null),
        forwardedZones,
        dns.optionalAttribute("identity").orElse(null));
  }

  /** Reads the zones that this server is authoritative for and adds their origins to the set. */
  private List<ZoneData> readZones(XmlElement dns, Set<Name> origins) {
    ZoneFileReader zoneFiles = new ZoneFileReader(faults);
    List<ZoneData> zones = new ArrayList<>();
    for (XmlElement zone : dns.children("zone")) {
      Name origin = faults.name(zone, "name");
      if (!origins.add(origin)) {
        faults.add(zone, "zone " + origin + " is defined twice");
      }
      zoneFiles.read(zone, origin).ifPresent(zones::add);
    }
    return zones;
  }

  private List<DnsSettings.ForwardedZone> readForwardedZones(XmlElement dns, Set<Name> origins) {
    List<DnsSettings.ForwardedZone> forwardedZones = new ArrayList<>();
    Set<Name> forwardedNames = new HashSet<>();
    for (XmlElement forward : dns.children("forward")) {
      Name zone = faults.name(forward, "zone");
      if (!forwardedNames.add(zone) || origins.contains(zone)) {
        faults.add(forward, "zone " + zone + " is defined twice, or is one of this server's own");
      }
      Duration timeout = faults.intervalOrTimeout(forward, "within");
      forwardedZones.add(
          new DnsSettings.ForwardedZone(
              zone, faults.upstreams(forward), timeout, faults.duration(forward, "stale-for")));
    }
    return forwardedZones;
  }

  private DnsSettings.Limits readLimits(XmlElement limits) {
    Duration idleTimeout = faults.duration(limits, "idle");
    if (idleTimeout.isZero()) {
      faults.add(limits, "idle is zero");
    }
    return new DnsSettings.Limits(
        limits.integer("datagram"),
        limits.integer("answers-per-second"),
        limits.integer("slip"),
        limits.integer("connections"),
        idleTimeout,
        limits.integer("pipelined"));
  }

  private static DnsSettings.CookieKeys readCookieKeys(XmlElement cookies) {
    return new DnsSettings.CookieKeys(
        HexFormat.of().parseHex(cookies.attribute("secret")),
        cookies.optionalAttribute("previous").map(HexFormat.of()::parseHex).orElse(null));
  }

  private DnsSettings.HealthCheckSettings readHealthChecks(XmlElement probing) {
    Duration timeout = faults.intervalOrTimeout(probing, "within");
    Duration interval = faults.intervalOrTimeout(probing, "every");
    return new DnsSettings.HealthCheckSettings(
        interval, probing.integer("most-per-second"), timeout);
  }
}
