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
import tamarindroute.membership.Settings;
import tamarindroute.protocol.Seal;

/**
 * The settings of one member, read whole or not at all.
 *
 * @param listen where it takes datagrams in
 * @param name what others know it by; the same words at all of them
 * @param state the file that remembers the last birth; null for none
 * @param ways where datagrams for a member go instead of to its name
 */
public record MembersSettings(
    InetSocketAddress listen,
    Address name,
    Path state,
    Seal seal,
    List<Address> seeds,
    List<Address> voters,
    Map<Address, InetSocketAddress> ways,
    Settings membership) {

  /**
   * A probe is repeated after this part of its period at the latest; the pure part takes a sixth at
   * the most.
   */
  private static final int TIMEOUT_PART = 8;

  private static final String KEY = "([0-9a-fA-F]{2}){16,64}";

  /** The longest key, its line's end and some more. */
  private static final int LARGEST_KEY = 256;

  public MembersSettings {
    seeds = List.copyOf(seeds);
    voters = List.copyOf(voters);
    ways = Map.copyOf(ways);
  }

  /** Reads a file; throws with all that is wrong in it and in the files that it names. */
  public static MembersSettings read(Path file) throws UnusableException {
    List<Fault> faults = new ArrayList<>();
    Element root = Element.read(file, MembersSettings.class.getResource("members.xsd"), faults);
    MembersSettings settings = root == null ? null : new Binder(file, faults).bind(root);
    if (!faults.isEmpty() || settings == null) {
      throw new UnusableException(faults);
    }
    return settings;
  }

  /** Where a voter keeps its part of what is agreed: beside the state file. */
  Path store() {
    return state == null ? null : state.resolveSibling(state.getFileName() + ".agreed");
  }

  /** An address of the settings as members tell it. */
  static Address address(InetSocketAddress address) {
    return new Address(address.getAddress().getHostAddress(), address.getPort());
  }

  /** Turns elements into values; whatever can't be goes to the faults, and the reading goes on. */
  private static final class Binder {

    private static final InetSocketAddress NONE = new InetSocketAddress("127.0.0.1", 1);

    private final Path file;
    private final List<Fault> faults;

    Binder(Path file, List<Fault> faults) {
      this.file = file;
      this.faults = faults;
    }

    private void fault(Element at, String what) {
      faults.add(new Fault(file.toString(), at.line, at.column, what));
    }

    private MembersSettings bind(Element root) {
      InetSocketAddress listen = address(root, "listen");
      InetSocketAddress name = root.text("name") == null ? listen : address(root, "name");
      if (name.getAddress().isAnyLocalAddress()) {
        fault(root, "nobody is found at " + name + ": a name is needed");
      }
      Address own = MembersSettings.address(name);
      Seal seal = seal(root.all("key"));
      List<Address> seeds = places(root, "seed");
      seeds.remove(own);
      List<Address> voters = places(root, "voter");
      Map<Address, InetSocketAddress> ways = new HashMap<>();
      for (Element way : root.all("way")) {
        if (ways.put(MembersSettings.address(address(way, "to")), address(way, "by")) != null) {
          fault(way, "a second way to " + way.text("to"));
        }
      }
      Settings membership = membership(root);
      Path state = root.text("state") == null ? null : beside(root.text("state"));
      if (state == null && voters.contains(own)) {
        fault(
            root, "a voter needs a state file: what it keeps of the agreed view stands beside it");
      }
      return faults.isEmpty()
          ? new MembersSettings(listen, own, state, seal, seeds, voters, ways, membership)
          : null;
    }

    private Path beside(String name) {
      return file.toAbsolutePath().resolveSibling(name);
    }

    private InetSocketAddress address(Element at, String attribute) {
      try {
        InetSocketAddress address = ServiceSettings.address(at.text(attribute));
        if (address.isUnresolved() || address.getPort() == 0) {
          throw new IllegalArgumentException("no address with a port");
        }
        return address;
      } catch (RuntimeException e) {
        fault(at, attribute + " \"" + at.text(attribute) + "\": " + e.getMessage());
        return NONE;
      }
    }

    private List<Address> places(Element root, String kind) {
      Set<Address> places = new LinkedHashSet<>();
      for (Element place : root.all(kind)) {
        if (!places.add(MembersSettings.address(address(place, "address")))) {
          fault(place, "the " + kind + " " + place.text("address") + " is there twice");
        }
      }
      return new ArrayList<>(places);
    }

    private Seal seal(List<Element> keys) {
      Map<Integer, byte[]> bytes = new HashMap<>();
      for (Element key : keys) {
        if (bytes.put(key.whole("id"), key(key)) != null) {
          fault(key, "the key " + key.text("id") + " is there twice");
        }
      }
      return new Seal(bytes, keys.get(0).whole("id"));
    }

    private byte[] key(Element key) {
      Path of = beside(key.text("file"));
      try {
        String text = Files.size(of) > LARGEST_KEY ? "" : Files.readString(of).strip();
        if (text.matches(KEY)) {
          return HexFormat.of().parseHex(text);
        }
        fault(key, of + " does not hold 32 to 128 hexadecimal digits");
      } catch (IOException e) {
        fault(key, of + " can't be read: " + e);
      }
      return new byte[1];
    }

    private Settings membership(Element root) {
      Settings usual = Settings.USUAL;
      Element timing = root.one("timing");
      Element limits = root.one("limits");
      Duration probe = timing == null ? usual.period() : span(timing, "probe", usual.period());
      Duration part = probe.dividedBy(TIMEOUT_PART);
      Duration timeout = part.compareTo(usual.timeout()) < 0 ? part : usual.timeout();
      try {
        return new Settings(
            probe,
            timing == null ? timeout : span(timing, "timeout", timeout),
            timing == null ? usual.pause() : span(timing, "pause", usual.pause()),
            usual.indirect(),
            usual.observers(),
            usual.low(),
            usual.high(),
            usual.rumours(),
            limits == null ? usual.bytes() : limits.whole("bytes"),
            limits == null ? usual.members() : limits.whole("members"),
            usual.guards());
      } catch (IllegalArgumentException e) {
        fault(timing == null ? root : timing, e.getMessage());
        return usual;
      }
    }

    private Duration span(Element at, String attribute, Duration otherwise) {
      return at.text(attribute) == null ? otherwise : Duration.parse(at.text(attribute));
    }
  }
}
