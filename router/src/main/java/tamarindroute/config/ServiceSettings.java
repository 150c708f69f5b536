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
    Duration resolveWithin,
    DnsSettings dns) {

  /** No zone of ours is as large; a file of more is a mistake. */
  private static final long LARGEST_ZONE = 16 << 20;

  private static final Duration LEAST_WITHIN = Duration.ofMillis(10);

  /** Reads a file; throws with all that is wrong in it and in the files that it names. */
  public static ServiceSettings read(Path file) throws UnusableException {
    List<Fault> faults = new ArrayList<>();
    Element root = Element.read(file, faults);
    ServiceSettings settings = root == null ? null : new Binder(file, faults).bind(root);
    if (!faults.isEmpty() || settings == null) {
      throw new UnusableException(faults);
    }
    return settings;
  }

  /** Turns elements into values; whatever can't be goes to the faults, and the reading goes on. */
  private static final class Binder {

    private final Path file;
    private final List<Fault> faults;

    Binder(Path file, List<Fault> faults) {
      this.file = file;
      this.faults = faults;
    }

    private void fault(Element at, String what) {
      faults.add(new Fault(file.toString(), at.line, at.column, what));
    }

    /** The value, or the one given and a fault, where it makes no sense. */
    private <T> T value(Element at, String attribute, T otherwise, Function<String, T> read) {
      String text = at.text(attribute);
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

    private Duration span(Element at, String attribute) {
      return value(at, attribute, Duration.ofSeconds(1), Duration::parse);
    }

    private Name name(Element at, String attribute) {
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

    private InetSocketAddress address(Element at, String attribute) {
      return value(at, attribute, null, Binder::parse);
    }

    private static InetSocketAddress parse(String text) {
      int colon = text.lastIndexOf(':');
      String host = text.substring(0, colon).replace("[", "").replace("]", "");
      return new InetSocketAddress(
          Subnet.parse(host).address(), Integer.parseInt(text.substring(colon + 1)));
    }

    ServiceSettings bind(Element root) {
      Element instance = root.one("instance");
      PlatformConfiguration platform = null;
      Path json = file.toAbsolutePath().resolveSibling(instance.text("settings"));
      try {
        platform = PlatformConfiguration.read(json.toString());
      } catch (MalformedSettingsException e) {
        fault(instance, e.getMessage());
      }
      Element resolvers = root.one("resolvers");
      List<InetSocketAddress> servers =
          resolvers == null
              ? List.of()
              : resolvers.all("upstream").stream().map(one -> address(one, "address")).toList();
      if (instance.text("feed") != null && !numeric(instance.text("feed")) && servers.isEmpty()) {
        fault(
            instance,
            "feed \"" + instance.text("feed") + "\" is a name, and no resolvers are told");
      }
      DnsSettings dns = dns(root.one("dns"), platform, instance.whole("instances"));
      return faults.isEmpty()
          ? new ServiceSettings(
              platform,
              instance.text("feed"),
              instance.whole("instances"),
              servers,
              resolvers == null ? Duration.ofSeconds(3) : span(resolvers, "within"),
              dns)
          : null;
    }

    private DnsSettings dns(Element dns, PlatformConfiguration platform, int instances) {
      List<ZoneData> zones = new ArrayList<>();
      Set<Name> origins = new HashSet<>();
      for (Element zone : dns.all("zone")) {
        Name origin = name(zone, "name");
        if (!origins.add(origin)) {
          fault(zone, "the zone " + origin + " is there twice");
        }
        ZoneData data = zone(zone, origin);
        if (data != null) {
          zones.add(data);
        }
      }
      DnsSettings.Steer steer =
          dns.one("steer") == null
              ? null
              : steer(dns.one("steer"), platform, instances, zones, origins);
      List<DnsSettings.Forwarded> forwarded = new ArrayList<>();
      Set<Name> handed = new HashSet<>();
      for (Element one : dns.all("forward")) {
        Name zone = name(one, "zone");
        if (!handed.add(zone) || origins.contains(zone)) {
          fault(one, "the zone " + zone + " is there twice, or one of this server's own");
        }
        within(one);
        forwarded.add(
            new DnsSettings.Forwarded(
                zone,
                one.all("upstream").stream().map(upstream -> address(upstream, "address")).toList(),
                span(one, "within"),
                span(one, "stale-for")));
      }
      return new DnsSettings(
          address(dns, "listen"),
          zones,
          steer,
          limits(dns.one("limits")),
          cookies(dns.one("cookies")),
          probing(dns.one("probing")),
          forwarded,
          dns.text("identity"));
    }

    private void within(Element at) {
      if (span(at, "within").compareTo(LEAST_WITHIN) < 0) {
        fault(at, "within is under 10 ms");
      }
    }

    private DnsSettings.Limits limits(Element limits) {
      if (limits == null) {
        return new DnsSettings.Limits(1232, 100, 2, 128, Duration.ofSeconds(10), 32);
      }
      if (span(limits, "idle").isZero()) {
        fault(limits, "idle is no time at all");
      }
      return new DnsSettings.Limits(
          limits.whole("datagram"),
          limits.whole("answers-per-second"),
          limits.whole("slip"),
          limits.whole("connections"),
          span(limits, "idle"),
          limits.whole("pipelined"));
    }

    /** Untold, each start has a secret of its own; null stands for that. */
    private DnsSettings.CookieKeys cookies(Element cookies) {
      return cookies == null
          ? null
          : new DnsSettings.CookieKeys(
              HexFormat.of().parseHex(cookies.text("secret")),
              cookies.text("previous") == null
                  ? null
                  : HexFormat.of().parseHex(cookies.text("previous")));
    }

    private DnsSettings.Probing probing(Element probing) {
      if (probing == null) {
        return null;
      }
      within(probing);
      if (span(probing, "every").compareTo(LEAST_WITHIN) < 0) {
        fault(probing, "every is under 10 ms");
      }
      return new DnsSettings.Probing(
          span(probing, "every"), probing.whole("most-per-second"), span(probing, "within"));
    }

    /** A zone file in the master format, without includes. */
    private ZoneData zone(Element at, Name origin) {
      Path path = file.toAbsolutePath().resolveSibling(at.text("file"));
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

    private DnsSettings.Steer steer(
        Element steer,
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
          steer.all("location").stream().map(one -> one.text("label")).collect(Collectors.toSet());
      List<Location> locations = new ArrayList<>();
      for (Element one : steer.all("location")) {
        int place = places.indexOf(SettingsReader.normalizeName(one.text("place")));
        if (place < 0 && platform != null) {
          fault(
              one,
              "place \""
                  + one.text("place")
                  + "\" is none of the instance's settings: "
                  + String.join(", ", places));
        }
        List<String> neighbours =
            Stream.of(one.text("neighbours").strip().split("\\s+"))
                .filter(label -> !label.isEmpty())
                .toList();
        neighbours.stream()
            .filter(label -> !labels.contains(label) || label.equals(one.text("label")))
            .forEach(label -> fault(one, "neighbour \"" + label + "\" is no other location"));
        List<Location.Clients> clients = new ArrayList<>();
        for (Element network : one.all("clients")) {
          Subnet subnet = value(network, "subnet", null, Subnet::parse);
          clients.add(
              new Location.Clients(
                  subnet,
                  Double.parseDouble(
                      network.text("carries") == null
                          ? steer.text("carries")
                          : network.text("carries"))));
        }
        locations.add(new Location(one.text("label"), place, neighbours, clients));
      }
      Map<String, RequestClass> profiles = profiles(steer, platform);
      for (String label : Stream.of(steer.text("nearest"), steer.text("caches")).toList()) {
        if (labels.contains(label)) {
          fault(steer, "the label \"" + label + "\" is a location's and has another use too");
        }
      }
      taken(steer, origin, labels, zones);
      return new DnsSettings.Steer(
          origin,
          locations,
          steer.text("nearest"),
          steer.text("caches"),
          profiles,
          steer.text("part"),
          steer.whole("parts"),
          instances,
          Double.parseDouble(steer.text("carries")),
          least,
          most,
          span(steer, "kept-at-least"),
          steer.whole("records"),
          span(steer, "stale-for"),
          direct(platform));
    }

    private Map<String, RequestClass> profiles(Element steer, PlatformConfiguration platform) {
      Map<String, RequestClass> profiles = new HashMap<>();
      try {
        List<String> names = platform == null ? List.of() : platform.settings().requestClassNames();
        for (Element one : steer.all("profile")) {
          int place = names.indexOf(SettingsReader.normalizeName(one.text("name")));
          if (place < 0 && platform != null) {
            fault(
                one,
                "profile \""
                    + one.text("name")
                    + "\" is none of the instance's settings: "
                    + String.join(", ", names));
          } else if (platform != null) {
            profiles.put(one.text("label"), platform.settings().requestClasses().get(place));
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
        faults.add(new Fault(file.toString(), 0, 0, e.getMessage()));
        return false;
      }
    }

    /** Records as written that stand where steered names are would never be answered. */
    private void taken(Element steer, Name origin, Set<String> labels, List<ZoneData> zones) {
      List<String> all = new ArrayList<>(labels);
      all.add(steer.text("nearest"));
      all.add(steer.text("caches"));
      for (ZoneData zone : zones) {
        for (String label : zone.origin().equals(origin) ? all : List.<String>of()) {
          try {
            if (zone.has(new Name(label, origin))) {
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
  public static boolean numeric(String address) {
    return address.matches("(\\d{1,3}(\\.\\d{1,3}){3}|\\[[0-9a-fA-F:.]+\\]):\\d{1,5}");
  }

  /** An address with its port, as numeric says it. */
  public static InetSocketAddress address(String text) {
    return Binder.parse(text);
  }
}
