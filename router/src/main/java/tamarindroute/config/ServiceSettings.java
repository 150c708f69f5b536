package tamarindroute.config;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.xbill.DNS.Master;
import org.xbill.DNS.Name;
import org.xbill.DNS.Record;
import org.xbill.DNS.TextParseException;
import tamarindroute.decision.RequestClass;
import tamarindroute.dns.DnsSettings;
import tamarindroute.dns.Location;
import tamarindroute.dns.Subnet;
import tamarindroute.dns.ZoneData;
import tamarindroute.host.PlatformConfiguration;
import tamarindroute.settings.MalformedSettingsException;
import tamarindroute.settings.SettingsReader;

/**
 * What a settings file says, with the files that it names, all read and checked.
 *
 * @param platform the instance's configuration in the platform's form: its feed, its list, its
 *     settings
 * @param feed where the feed is, HOST:PORT, where the file says so; null for the platform's
 * @param resolvers whom to ask for names in these settings
 */
public record ServiceSettings(
    PlatformConfiguration platform,
    String feed,
    int instances,
    List<InetSocketAddress> resolvers,
    Duration resolveTimeout,
    DnsSettings dns) {

  /** No zone of ours is as large; a file of more is a mistake. */
  private static final long LARGEST_ZONE = 16 << 20;

  private static final Duration LEAST_WITHIN = Duration.ofMillis(10);

  /** Reads a file; throws with all that is wrong in it and in the files that it names. */
  public static ServiceSettings read(Path file) throws InvalidSettingsException {
    List<SettingsFault> faults = new ArrayList<>();
    XmlElement root = XmlElement.read(file, faults);
    ServiceSettings settings = root == null ? null : new Binder(file, faults).bind(root);
    if (!faults.isEmpty() || settings == null) {
      throw new InvalidSettingsException(faults);
    }
    return settings;
  }

  /** Turns elements into values; whatever can't be goes to the faults, and the reading goes on. */
  private static final class Binder {

    private final Path file;
    private final List<SettingsFault> faults;

    Binder(Path file, List<SettingsFault> faults) {
      this.file = file;
      this.faults = faults;
    }

    private void fault(XmlElement at, String what) {
      faults.add(new SettingsFault(file.toString(), at.line, at.column, what));
    }

    /** The value, or the one given and a fault, where it makes no sense. */
    private <T> T value(XmlElement at, String attribute, T otherwise, Function<String, T> read) {
      String text = at.attribute(attribute);
      if (text == null) {
        return otherwise;
      }
      try {
        return read.apply(text);
      } catch (RuntimeException e) {
        fault(at, attribute + " \"" + text + "\": " + e.getMessage());
        return otherwise;
      }
    }

    private Duration span(XmlElement at, String attribute) {
      return value(at, attribute, Duration.ofSeconds(1), Duration::parse);
    }

    private Name name(XmlElement at, String attribute) {
      return value(
          at,
          attribute,
          Name.root,
          text -> {
            try {
              return Name.fromString(text);
            } catch (TextParseException e) {
              throw new IllegalArgumentException(e.getMessage());
            }
          });
    }

    private InetSocketAddress address(XmlElement at, String attribute) {
      return value(at, attribute, null, Binder::parse);
    }

    private static InetSocketAddress parse(String text) {
      int colon = text.lastIndexOf(':');
      String host = text.substring(0, colon).replace("[", "").replace("]", "");
      return new InetSocketAddress(
          Subnet.parse(host).address(), Integer.parseInt(text.substring(colon + 1)));
    }

    ServiceSettings bind(XmlElement root) {
      XmlElement instance = root.child("instance");
      PlatformConfiguration platform = null;
      Path json = file.toAbsolutePath().resolveSibling(instance.attribute("settings"));
      try {
        platform = PlatformConfiguration.read(json.toString());
      } catch (MalformedSettingsException e) {
        fault(instance, e.getMessage());
      }
      XmlElement resolvers = root.child("resolvers");
      List<InetSocketAddress> servers =
          resolvers == null
              ? List.of()
              : resolvers.children("upstream").stream()
                  .map(one -> address(one, "address"))
                  .toList();
      if (instance.attribute("feed") != null
          && !isNumericAddress(instance.attribute("feed"))
          && servers.isEmpty()) {
        fault(
            instance,
            "feed \"" + instance.attribute("feed") + "\" is a name, and no resolvers are told");
      }
      DnsSettings dns = dns(root.child("dns"), platform, instance.integer("instances"));
      return faults.isEmpty()
          ? new ServiceSettings(
              platform,
              instance.attribute("feed"),
              instance.integer("instances"),
              servers,
              resolvers == null ? Duration.ofSeconds(3) : span(resolvers, "within"),
              dns)
          : null;
    }

    private DnsSettings dns(XmlElement dns, PlatformConfiguration platform, int instances) {
      List<ZoneData> zones = new ArrayList<>();
      Set<Name> origins = new HashSet<>();
      for (XmlElement zone : dns.children("zone")) {
        Name origin = name(zone, "name");
        if (!origins.add(origin)) {
          fault(zone, "the zone " + origin + " is there twice");
        }
        ZoneData data = zone(zone, origin);
        if (data != null) {
          zones.add(data);
        }
      }
      DnsSettings.SteeringSettings steer =
          dns.child("steer") == null
              ? null
              : steer(dns.child("steer"), platform, instances, zones, origins);
      List<DnsSettings.ForwardedZone> forwarded = new ArrayList<>();
      Set<Name> handed = new HashSet<>();
      for (XmlElement one : dns.children("forward")) {
        Name zone = name(one, "zone");
        if (!handed.add(zone) || origins.contains(zone)) {
          fault(one, "the zone " + zone + " is there twice, or one of this server's own");
        }
        within(one);
        forwarded.add(
            new DnsSettings.ForwardedZone(
                zone,
                one.children("upstream").stream()
                    .map(upstream -> address(upstream, "address"))
                    .toList(),
                span(one, "within"),
                span(one, "stale-for")));
      }
      return new DnsSettings(
          address(dns, "listen"),
          zones,
          steer,
          limits(dns.child("limits")),
          cookies(dns.child("cookies")),
          probing(dns.child("probing")),
          forwarded,
          dns.attribute("identity"));
    }

    private void within(XmlElement at) {
      if (span(at, "within").compareTo(LEAST_WITHIN) < 0) {
        fault(at, "within is under 10 ms");
      }
    }

    private DnsSettings.Limits limits(XmlElement limits) {
      if (limits == null) {
        return new DnsSettings.Limits(1232, 100, 2, 128, Duration.ofSeconds(10), 32);
      }
      if (span(limits, "idle").isZero()) {
        fault(limits, "idle is no time at all");
      }
      return new DnsSettings.Limits(
          limits.integer("datagram"),
          limits.integer("answers-per-second"),
          limits.integer("slip"),
          limits.integer("connections"),
          span(limits, "idle"),
          limits.integer("pipelined"));
    }

    /** Untold, each start has a secret of its own; null stands for that. */
    private DnsSettings.CookieKeys cookies(XmlElement cookies) {
      return cookies == null
          ? null
          : new DnsSettings.CookieKeys(
              HexFormat.of().parseHex(cookies.attribute("secret")),
              cookies.attribute("previous") == null
                  ? null
                  : HexFormat.of().parseHex(cookies.attribute("previous")));
    }

    private DnsSettings.HealthCheckSettings probing(XmlElement probing) {
      if (probing == null) {
        return null;
      }
      within(probing);
      if (span(probing, "every").compareTo(LEAST_WITHIN) < 0) {
        fault(probing, "every is under 10 ms");
      }
      return new DnsSettings.HealthCheckSettings(
          span(probing, "every"), probing.integer("most-per-second"), span(probing, "within"));
    }

    /** A zone file in the master format, without includes. */
    private ZoneData zone(XmlElement at, Name origin) {
      Path path = file.toAbsolutePath().resolveSibling(at.attribute("file"));
      try {
        if (Files.size(path) > LARGEST_ZONE) {
          fault(at, path + " is larger than " + LARGEST_ZONE + " bytes");
          return null;
        }
        List<Record> records = new ArrayList<>();
        try (InputStream in = Files.newInputStream(path);
            Master master = new Master(in, origin)) {
          master.disableIncludes(true);
          for (Record record = master.nextRecord(); record != null; record = master.nextRecord()) {
            records.add(record);
          }
        }
        return new ZoneData(origin, records);
      } catch (IOException | RuntimeException e) {
        // dnsjava names the file's line where there is one.
        fault(at, path + ": " + e.getMessage());
        return null;
      }
    }

    private DnsSettings.SteeringSettings steer(
        XmlElement steer,
        PlatformConfiguration platform,
        int instances,
        List<ZoneData> zones,
        Set<Name> origins) {
      Name origin = name(steer, "zone");
      if (!origins.contains(origin)) {
        fault(steer, "zone " + origin + " is none of this server's");
      }
      Duration least = span(steer, "ttl-least");
      Duration most = span(steer, "ttl-most");
      if (least.compareTo(most) > 0) {
        fault(steer, "ttl-least is over ttl-most");
      }
      if (most.compareTo(Duration.ofHours(1)) > 0) {
        fault(
            steer, "ttl-most is over an hour: a cache that restarts meanwhile could not be spared");
      }
      List<String> places = platform == null ? List.of() : platform.settings().zones();
      Set<String> labels =
          steer.children("location").stream()
              .map(one -> one.attribute("label"))
              .collect(Collectors.toSet());
      List<Location> locations = new ArrayList<>();
      for (XmlElement one : steer.children("location")) {
        int place = places.indexOf(SettingsReader.normalizeName(one.attribute("place")));
        if (place < 0 && platform != null) {
          fault(
              one,
              "place \""
                  + one.attribute("place")
                  + "\" is none of the instance's settings: "
                  + String.join(", ", places));
        }
        List<String> neighbours =
            Stream.of(one.attribute("neighbours").strip().split("\\s+"))
                .filter(label -> !label.isEmpty())
                .toList();
        neighbours.stream()
            .filter(label -> !labels.contains(label) || label.equals(one.attribute("label")))
            .forEach(label -> fault(one, "neighbour \"" + label + "\" is no other location"));
        List<Location.ClientNetwork> clients = new ArrayList<>();
        for (XmlElement network : one.children("clients")) {
          Subnet subnet = value(network, "subnet", null, Subnet::parse);
          clients.add(
              new Location.ClientNetwork(
                  subnet,
                  Double.parseDouble(
                      network.attribute("carries") == null
                          ? steer.attribute("carries")
                          : network.attribute("carries"))));
        }
        locations.add(new Location(one.attribute("label"), place, neighbours, clients));
      }
      Map<String, RequestClass> profiles = profiles(steer, platform);
      for (String label :
          Stream.of(steer.attribute("nearest"), steer.attribute("caches")).toList()) {
        if (labels.contains(label)) {
          fault(steer, "the label \"" + label + "\" is a location's and has another use too");
        }
      }
      taken(steer, origin, labels, zones);
      return new DnsSettings.SteeringSettings(
          origin,
          locations,
          steer.attribute("nearest"),
          steer.attribute("caches"),
          profiles,
          steer.attribute("part"),
          steer.integer("parts"),
          instances,
          Double.parseDouble(steer.attribute("carries")),
          least,
          most,
          span(steer, "kept-at-least"),
          steer.integer("records"),
          span(steer, "stale-for"),
          direct(platform));
    }

    private Map<String, RequestClass> profiles(XmlElement steer, PlatformConfiguration platform) {
      Map<String, RequestClass> profiles = new HashMap<>();
      try {
        List<String> names = platform == null ? List.of() : platform.settings().requestClassNames();
        for (XmlElement one : steer.children("profile")) {
          int place = names.indexOf(SettingsReader.normalizeName(one.attribute("name")));
          if (place < 0 && platform != null) {
            fault(
                one,
                "profile \""
                    + one.attribute("name")
                    + "\" is none of the instance's settings: "
                    + String.join(", ", names));
          } else if (platform != null) {
            profiles.put(one.attribute("label"), platform.settings().requestClasses().get(place));
          }
        }
      } catch (MalformedSettingsException e) {
        fault(steer, e.getMessage());
      }
      return profiles;
    }

    private boolean direct(PlatformConfiguration platform) {
      try {
        return platform != null
            && platform.settings().settings(platform.seed()).edgeBypassAllowed();
      } catch (MalformedSettingsException e) {
        faults.add(new SettingsFault(file.toString(), 0, 0, e.getMessage()));
        return false;
      }
    }

    /** Records as written that stand where steered names are would never be answered. */
    private void taken(XmlElement steer, Name origin, Set<String> labels, List<ZoneData> zones) {
      List<String> all = new ArrayList<>(labels);
      all.add(steer.attribute("nearest"));
      all.add(steer.attribute("caches"));
      for (ZoneData zone : zones) {
        for (String label : zone.origin().equals(origin) ? all : List.<String>of()) {
          try {
            if (zone.hasRecordsAt(new Name(label, origin))) {
              fault(
                  steer,
                  "the zone's file has records under "
                      + label
                      + "."
                      + origin
                      + ", which is steered");
            }
          } catch (TextParseException e) {
            fault(steer, e.getMessage());
          }
        }
      }
    }
  }

  /** Whether HOST:PORT names the host by its address. */
  public static boolean isNumericAddress(String address) {
    return address.matches("(\\d{1,3}(\\.\\d{1,3}){3}|\\[[0-9a-fA-F:.]+\\]):\\d{1,5}");
  }

  /** An address with its port, as numeric says it. */
  public static InetSocketAddress parseAddress(String text) {
    return Binder.parse(text);
  }
}
