package tamarindroute.config;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.xbill.DNS.Name;
import org.xbill.DNS.TextParseException;
import tamarindroute.decision.RequestClass;
import tamarindroute.dns.DnsSettings;
import tamarindroute.dns.Location;
import tamarindroute.dns.Subnet;
import tamarindroute.dns.ZoneData;
import tamarindroute.host.PlatformConfiguration;
import tamarindroute.settings.MalformedSettingsException;
import tamarindroute.settings.SettingsReader;

/** Reads the {@code steer} element of a settings file: the names that are answered with caches. */
final class SteeringSettingsReader {

  /** A cache that restarts needs all answers that name it to expire within a bounded time. */
  private static final Duration LONGEST_MAX_TTL = Duration.ofHours(1);

  private final FaultCollector faults;
  private final Optional<PlatformConfiguration> platform;
  private final int instances;

  SteeringSettingsReader(
      FaultCollector faults, Optional<PlatformConfiguration> platform, int instances) {
    this.faults = faults;
    this.platform = platform;
    this.instances = instances;
  }

  DnsSettings.SteeringSettings read(XmlElement steer, List<ZoneData> zones, Set<Name> origins) {
    Name origin = faults.name(steer, "zone");
    if (!origins.contains(origin)) {
      faults.add(steer, "zone " + origin + " is not one of this server's zones");
    }
    Duration minTtl = faults.duration(steer, "ttl-least");
    Duration maxTtl = faults.duration(steer, "ttl-most");
    checkTtls(steer, minTtl, maxTtl);
    Set<String> labels =
        steer.children("location").stream()
            .map(location -> location.attribute("label"))
            .collect(Collectors.toSet());
    List<Location> locations = readLocations(steer, labels);
    Map<String, RequestClass> requestClasses = readRequestClasses(steer);
    checkReservedLabels(steer, labels);
    checkNoRecordsAtSteeredNames(steer, origin, labels, zones);
    return new DnsSettings.SteeringSettings(
        origin,
        locations,
        steer.attribute("nearest"),
        steer.attribute("caches"),
        requestClasses,
        steer.attribute("part"),
        steer.integer("parts"),
        instances,
        Double.parseDouble(steer.attribute("carries")),
        minTtl,
        maxTtl,
        faults.duration(steer, "kept-at-least"),
        steer.integer("records"),
        faults.duration(steer, "stale-for"),
        readEdgeBypassAllowed());
  }

  private void checkTtls(XmlElement steer, Duration minTtl, Duration maxTtl) {
    if (minTtl.compareTo(maxTtl) > 0) {
      faults.add(steer, "ttl-least is over ttl-most");
    }
    if (maxTtl.compareTo(LONGEST_MAX_TTL) > 0) {
      faults.add(
          steer, "ttl-most is over an hour, so that a restarted cache could not be relieved");
    }
  }

  private List<Location> readLocations(XmlElement steer, Set<String> labels) {
    List<String> zoneNames =
        platform.map(configuration -> configuration.settings().zones()).orElse(List.of());
    List<Location> locations = new ArrayList<>();
    for (XmlElement element : steer.children("location")) {
      String label = element.attribute("label");
      int zoneIndex = zoneNames.indexOf(SettingsReader.normalizeName(element.attribute("place")));
      if (zoneIndex < 0 && platform.isPresent()) {
        addUndefined(element, "place", zoneNames);
      }
      List<String> neighbours = readNeighbours(element, labels);
      locations.add(new Location(label, zoneIndex, neighbours, readClientNetworks(steer, element)));
    }
    return locations;
  }

  private List<String> readNeighbours(XmlElement location, Set<String> labels) {
    List<String> neighbours =
        Stream.of(location.attribute("neighbours").strip().split("\\s+"))
            .filter(label -> !label.isEmpty())
            .toList();
    for (String neighbour : neighbours) {
      if (!labels.contains(neighbour) || neighbour.equals(location.attribute("label"))) {
        faults.add(location, "neighbour \"" + neighbour + "\" is not another location");
      }
    }
    return neighbours;
  }

  private List<Location.ClientNetwork> readClientNetworks(XmlElement steer, XmlElement location) {
    List<Location.ClientNetwork> networks = new ArrayList<>();
    for (XmlElement clients : location.children("clients")) {
      Subnet subnet = faults.convert(clients, "subnet", null, Subnet::parse);
      String load =
          clients.optionalAttribute("carries").orElseGet(() -> steer.attribute("carries"));
      networks.add(new Location.ClientNetwork(subnet, Double.parseDouble(load)));
    }
    return networks;
  }

  private Map<String, RequestClass> readRequestClasses(XmlElement steer) {
    Map<String, RequestClass> requestClasses = new HashMap<>();
    if (platform.isEmpty()) {
      return requestClasses;
    }
    try {
      List<String> names = platform.get().settings().requestClassNames();
      for (XmlElement profile : steer.children("profile")) {
        int index = names.indexOf(SettingsReader.normalizeName(profile.attribute("name")));
        if (index < 0) {
          addUndefined(profile, "name", names);
        } else {
          requestClasses.put(
              profile.attribute("label"), platform.get().settings().requestClasses().get(index));
        }
      }
    } catch (MalformedSettingsException e) {
      faults.add(steer, e.getMessage());
    }
    return requestClasses;
  }

  private void addUndefined(XmlElement element, String attribute, List<String> defined) {
    faults.add(
        element,
        element.name()
            + " "
            + attribute
            + " \""
            + element.attribute(attribute)
            + "\" is not defined in the instance's settings, which have: "
            + String.join(", ", defined));
  }

  private boolean readEdgeBypassAllowed() {
    if (platform.isEmpty()) {
      return false;
    }
    try {
      long seed = platform.get().seed();
      return platform.get().settings().settings(seed).edgeBypassAllowed();
    } catch (MalformedSettingsException e) {
      faults.addForFile(e.getMessage());
      return false;
    }
  }

  private void checkReservedLabels(XmlElement steer, Set<String> labels) {
    for (String attribute : List.of("nearest", "caches")) {
      String label = steer.attribute(attribute);
      if (labels.contains(label)) {
        faults.add(steer, "the label \"" + label + "\" of a location is also that of " + attribute);
      }
    }
  }

  /** Records in a zone file at a steered name would never be served. */
  private void checkNoRecordsAtSteeredNames(
      XmlElement steer, Name origin, Set<String> labels, List<ZoneData> zones) {
    List<String> steeredLabels = new ArrayList<>(labels);
    steeredLabels.add(steer.attribute("nearest"));
    steeredLabels.add(steer.attribute("caches"));
    for (ZoneData zone : zones) {
      if (zone.origin().equals(origin)) {
        steeredLabels.forEach(label -> checkNoRecordsAt(steer, zone, label));
      }
    }
  }

  private void checkNoRecordsAt(XmlElement steer, ZoneData zone, String label) {
    try {
      if (zone.hasRecordsAt(new Name(label, zone.origin()))) {
        String name = label + "." + zone.origin();
        faults.add(steer, "the zone's file has records at " + name + ", which is steered");
      }
    } catch (TextParseException e) {
      faults.add(steer, e.getMessage());
    }
  }
}
