package tamarindroute.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import tamarindroute.dns.DnsSettings;
import tamarindroute.host.PlatformConfiguration;
import tamarindroute.settings.MalformedSettingsException;

/** Reads {@link ServiceSettings} from an XML file. */
final class ServiceSettingsReader {

  private static final String SCHEMA = "tamarindroute.xsd";
  private static final Duration DEFAULT_RESOLVE_TIMEOUT = Duration.ofSeconds(3);

  private final FaultCollector faults;

  private ServiceSettingsReader(FaultCollector faults) {
    this.faults = faults;
  }

  static ServiceSettings read(Path file) throws InvalidSettingsException {
    FaultCollector faults = new FaultCollector(file);
    Optional<XmlElement> root =
        XmlFileParser.parse(file, ServiceSettingsReader.class.getResource(SCHEMA), faults.faults());
    Optional<ServiceSettings> settings = root.flatMap(new ServiceSettingsReader(faults)::read);
    if (!faults.isEmpty() || settings.isEmpty()) {
      throw new InvalidSettingsException(faults.faults());
    }
    return settings.get();
  }

  private Optional<ServiceSettings> read(XmlElement root) {
    XmlElement instance = root.child("instance").orElseThrow();
    Optional<PlatformConfiguration> platform = readPlatform(instance);
    Optional<XmlElement> resolvers = root.child("resolvers");
    List<InetSocketAddress> servers = resolvers.map(faults::upstreams).orElse(List.of());
    Optional<String> feed = instance.optionalAttribute("feed");
    if (feed.isPresent() && !ServiceSettings.isNumericAddress(feed.get()) && servers.isEmpty()) {
      faults.add(
          instance, "feed \"" + feed.get() + "\" is a host name, which needs resolvers to be set");
    }
    int instances = instance.integer("instances");
    XmlElement dnsElement = root.child("dns").orElseThrow();
    DnsSettings dns = new DnsSettingsReader(faults, platform, instances).read(dnsElement);
    if (!faults.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(
        new ServiceSettings(
            platform.orElseThrow(),
            feed.orElse(null),
            instances,
            servers,
            resolvers
                .map(element -> faults.duration(element, "within"))
                .orElse(DEFAULT_RESOLVE_TIMEOUT),
            dns));
  }

  private Optional<PlatformConfiguration> readPlatform(XmlElement instance) {
    Path file = faults.resolve(instance.attribute("settings"));
    try {
      return Optional.of(PlatformConfiguration.read(file.toString()));
    } catch (MalformedSettingsException e) {
      faults.add(instance, e.getMessage());
      return Optional.empty();
    }
  }
}
