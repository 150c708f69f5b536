package tamarindroute.members;

import java.io.IOException;
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
 * The settings of one member, read whole or not at all.
 *
 * @param listenAddress where it takes datagrams in
 * @param advertisedAddress what others know it by; the same words at all of them
 * @param incarnationFile the file that remembers the last birth; null for none
 * @param addressOverrides where datagrams for a member go instead of to its name
 */
public record MemberConfiguration(
    InetSocketAddress listenAddress,
    Address advertisedAddress,
    Path incarnationFile,
    MessageAuthenticator seal,
    List<Address> seeds,
    List<Address> voters,
    Map<Address, InetSocketAddress> addressOverrides,
    MembershipSettings membershipSettings) {

  /**
   * A probe is repeated after this part of its period at the latest; the pure part takes a sixth at
   * the most.
   */
  private static final int PROBE_TIMEOUT_DIVISOR = 8;

  private static final String KEY_PATTERN = "([0-9a-fA-F]{2}){16,64}";

  /** The longest key, its line's end and some more. */
  private static final int MAX_KEY_FILE_BYTES = 256;

  public MemberConfiguration {
    seeds = List.copyOf(seeds);
    voters = List.copyOf(voters);
    addressOverrides = Map.copyOf(addressOverrides);
  }

  /** Reads a file; throws with all that is wrong in it and in the files that it names. */
  public static MemberConfiguration read(Path file) throws UnusableException {
    List<Fault> faults = new ArrayList<>();
    Element root = Element.read(file, MemberConfiguration.class.getResource("members.xsd"), faults);
    MemberConfiguration configuration =
        root == null ? null : new Reader(file, faults).readAll(root);
    if (!faults.isEmpty() || configuration == null) {
      throw new UnusableException(faults);
    }
    return configuration;
  }

  /** Where a voter keeps its part of what is agreed: beside the state file. */
  Path voterStore() {
    return incarnationFile == null
        ? null
        : incarnationFile.resolveSibling(incarnationFile.getFileName() + ".agreed");
  }

  /** An address of the settings as members tell it. */
  static Address toAddress(InetSocketAddress address) {
    return new Address(address.getAddress().getHostAddress(), address.getPort());
  }

  /** Turns elements into values; whatever can't be goes to the faults, and the reading goes on. */
  private static final class Reader {

    private static final InetSocketAddress PLACEHOLDER = new InetSocketAddress("127.0.0.1", 1);

    private final Path file;
    private final List<Fault> faults;

    Reader(Path file, List<Fault> faults) {
      this.file = file;
      this.faults = faults;
    }

    private void addFault(Element element, String description) {
      faults.add(new Fault(file.toString(), element.line, element.column, description));
    }

    private MemberConfiguration readAll(Element root) {
      InetSocketAddress listenAddress = readAddress(root, "listen");
      InetSocketAddress name =
          root.text("name") == null ? listenAddress : readAddress(root, "name");
      if (name.getAddress().isAnyLocalAddress()) {
        addFault(root, "nobody is found at " + name + ": a name is needed");
      }
      Address self = MemberConfiguration.toAddress(name);
      MessageAuthenticator seal = readKeys(root.all("key"));
      List<Address> seeds = readAddresses(root, "seed");
      seeds.remove(self);
      List<Address> voters = readAddresses(root, "voter");
      Map<Address, InetSocketAddress> addressOverrides = new HashMap<>();
      for (Element override : root.all("way")) {
        if (addressOverrides.put(
                MemberConfiguration.toAddress(readAddress(override, "to")),
                readAddress(override, "by"))
            != null) {
          addFault(override, "a second way to " + override.text("to"));
        }
      }
      MembershipSettings membershipSettings = readMembershipSettings(root);
      Path incarnationFile = root.text("state") == null ? null : resolve(root.text("state"));
      if (incarnationFile == null && voters.contains(self)) {
        addFault(
            root, "a voter needs a state file: what it keeps of the agreed view stands beside it");
      }
      return faults.isEmpty()
          ? new MemberConfiguration(
              listenAddress,
              self,
              incarnationFile,
              seal,
              seeds,
              voters,
              addressOverrides,
              membershipSettings)
          : null;
    }

    private Path resolve(String name) {
      return file.toAbsolutePath().resolveSibling(name);
    }

    private InetSocketAddress readAddress(Element element, String attribute) {
      try {
        InetSocketAddress address = ServiceSettings.address(element.text(attribute));
        if (address.isUnresolved() || address.getPort() == 0) {
          throw new IllegalArgumentException("no address with a port");
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
      Duration probePeriod =
          timing == null
              ? defaults.probePeriod()
              : readDuration(timing, "probe", defaults.probePeriod());
      Duration defaultTimeout = probePeriod.dividedBy(PROBE_TIMEOUT_DIVISOR);
      Duration probeTimeout =
          defaultTimeout.compareTo(defaults.probeTimeout()) < 0
              ? defaultTimeout
              : defaults.probeTimeout();
      try {
        return new MembershipSettings(
            probePeriod,
            timing == null ? probeTimeout : readDuration(timing, "timeout", probeTimeout),
            timing == null
                ? defaults.toleratedPause()
                : readDuration(timing, "pause", defaults.toleratedPause()),
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

    private Duration readDuration(Element element, String attribute, Duration defaultValue) {
      return element.text(attribute) == null
          ? defaultValue
          : Duration.parse(element.text(attribute));
    }
  }
}
