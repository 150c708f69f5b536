package tamarindroute.members;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import tamarindroute.config.Element;
import tamarindroute.config.Fault;
import tamarindroute.config.ServiceSettings;
import tamarindroute.config.UnusableException;
import tamarindroute.membership.Address;
import tamarindroute.membership.MembershipSettings;
import tamarindroute.protocol.MessageAuthenticator;

/**
 * Reads the XML settings of a member. Collects all faults and goes on reading after each, so that
 * one run reports everything.
 */
final class MemberConfigurationReader {

  private static final String SCHEMA = "members.xsd";

  /** The default probe timeout is at most this part of the probe period. */
  private static final int PROBE_TIMEOUT_DIVISOR = 8;

  private static final String KEY_PATTERN = "([0-9a-fA-F]{2}){16,64}";

  /** The longest key, a line end and some space. */
  private static final int MAX_KEY_FILE_BYTES = 256;

  /** Stands for an address that can't be read. */
  private static final InetSocketAddress PLACEHOLDER =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);

  private final Path file;
  private final List<Fault> faults;

  private MemberConfigurationReader(Path file, List<Fault> faults) {
    this.file = file;
    this.faults = faults;
  }

  static MemberConfiguration read(Path file) throws UnusableException {
    List<Fault> faults = new ArrayList<>();
    Element root = Element.read(file, MemberConfigurationReader.class.getResource(SCHEMA), faults);
    if (root == null) {
      throw new UnusableException(faults);
    }
    MemberConfiguration configuration =
        new MemberConfigurationReader(file, faults).readConfiguration(root);
    if (!faults.isEmpty()) {
      throw new UnusableException(faults);
    }
    return configuration;
  }

  private MemberConfiguration readConfiguration(Element root) {
    InetSocketAddress listenAddress = readAddress(root, "listen");
    Address self = readAdvertisedAddress(root, listenAddress);
    MessageAuthenticator authenticator = readKeys(root.all("key"));
    List<Address> seeds = readAddresses(root, "seed");
    seeds.remove(self);
    List<Address> voters = readAddresses(root, "voter");
    Map<Address, InetSocketAddress> addressOverrides = readAddressOverrides(root);
    MembershipSettings membershipSettings = readMembershipSettings(root);
    Path incarnationFile = root.text("state") == null ? null : resolve(root.text("state"));
    if (incarnationFile == null && voters.contains(self)) {
      addFault(root, "a voter needs a state file, as it stores the agreed view beside it");
    }
    return new MemberConfiguration(
        listenAddress,
        self,
        incarnationFile,
        authenticator,
        seeds,
        voters,
        addressOverrides,
        membershipSettings);
  }

  private Address readAdvertisedAddress(Element root, InetSocketAddress listenAddress) {
    InetSocketAddress address =
        root.text("name") == null ? listenAddress : readAddress(root, "name");
    if (address.getAddress().isAnyLocalAddress()) {
      addFault(root, "others can't reach " + address + ": a name is needed");
    }
    return MemberConfiguration.toAddress(address);
  }

  private Map<Address, InetSocketAddress> readAddressOverrides(Element root) {
    Map<Address, InetSocketAddress> overrides = new HashMap<>();
    for (Element way : root.all("way")) {
      Address member = MemberConfiguration.toAddress(readAddress(way, "to"));
      if (overrides.put(member, readAddress(way, "by")) != null) {
        addFault(way, "a second way to " + way.text("to"));
      }
    }
    return overrides;
  }

  private InetSocketAddress readAddress(Element element, String attribute) {
    try {
      InetSocketAddress address = ServiceSettings.address(element.text(attribute));
      if (address.isUnresolved() || address.getPort() == 0) {
        throw new IllegalArgumentException("a numeric address with a port is needed");
      }
      return address;
    } catch (RuntimeException e) {
      addFault(element, attribute + " \"" + element.text(attribute) + "\": " + e.getMessage());
      return PLACEHOLDER;
    }
  }

  private List<Address> readAddresses(Element root, String kind) {
    Set<Address> addresses = new LinkedHashSet<>();
    for (Element element : root.all(kind)) {
      if (!addresses.add(MemberConfiguration.toAddress(readAddress(element, "address")))) {
        addFault(element, "the " + kind + " " + element.text("address") + " is there twice");
      }
    }
    return new ArrayList<>(addresses);
  }

  private MessageAuthenticator readKeys(List<Element> keys) {
    Map<Integer, byte[]> keysById = new HashMap<>();
    for (Element key : keys) {
      if (keysById.put(key.whole("id"), readKey(key)) != null) {
        addFault(key, "the key " + key.text("id") + " is there twice");
      }
    }
    return new MessageAuthenticator(keysById, keys.get(0).whole("id"));
  }

  private byte[] readKey(Element key) {
    Path keyFile = resolve(key.text("file"));
    try {
      String text =
          Files.size(keyFile) > MAX_KEY_FILE_BYTES ? "" : Files.readString(keyFile).strip();
      if (text.matches(KEY_PATTERN)) {
        return HexFormat.of().parseHex(text);
      }
      addFault(key, keyFile + " does not hold 32 to 128 hexadecimal digits");
    } catch (IOException e) {
      addFault(key, keyFile + " can't be read: " + e);
    }
    return new byte[1];
  }

  private MembershipSettings readMembershipSettings(Element root) {
    MembershipSettings defaults = MembershipSettings.DEFAULTS;
    Element timing = root.one("timing");
    Element limits = root.one("limits");
    Duration probePeriod = readDuration(timing, "probe", defaults.probePeriod());
    Duration probeTimeout = readDuration(timing, "timeout", defaultProbeTimeout(probePeriod));
    Duration toleratedPause = readDuration(timing, "pause", defaults.toleratedPause());
    try {
      return new MembershipSettings(
          probePeriod,
          probeTimeout,
          toleratedPause,
          defaults.indirectProbes(),
          defaults.suspectProbers(),
          defaults.lowWatermark(),
          defaults.highWatermark(),
          defaults.maxUpdatesPerMessage(),
          limits == null ? defaults.maxBytesPerSecond() : limits.whole("bytes"),
          limits == null ? defaults.maxMembers() : limits.whole("members"),
          defaults.guards());
    } catch (IllegalArgumentException e) {
      addFault(timing == null ? root : timing, e.getMessage());
      return defaults;
    }
  }

  private static Duration defaultProbeTimeout(Duration probePeriod) {
    Duration longest = probePeriod.dividedBy(PROBE_TIMEOUT_DIVISOR);
    Duration usual = MembershipSettings.DEFAULTS.probeTimeout();
    return longest.compareTo(usual) < 0 ? longest : usual;
  }

  private static Duration readDuration(Element element, String attribute, Duration defaultValue) {
    return element == null || element.text(attribute) == null
        ? defaultValue
        : Duration.parse(element.text(attribute));
  }

  private Path resolve(String name) {
    return file.toAbsolutePath().resolveSibling(name);
  }

  private void addFault(Element element, String description) {
    faults.add(new Fault(file.toString(), element.line, element.column, description));
  }
}
