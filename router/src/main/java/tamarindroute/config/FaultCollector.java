package tamarindroute.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.xbill.DNS.Name;
import org.xbill.DNS.TextParseException;

/**
 * Converts attributes of one file and collects faults with their positions. A conversion that fails
 * adds a fault and yields a placeholder, so that reading continues and finds further faults.
 */
final class FaultCollector {

  private static final Duration PLACEHOLDER_DURATION = Duration.ofSeconds(1);
  private static final Duration MIN_INTERVAL = Duration.ofMillis(10);

  private final Path file;
  private final List<SettingsFault> faults = new ArrayList<>();

  FaultCollector(Path file) {
    this.file = file;
  }

  /** Returns the modifiable list of faults. */
  List<SettingsFault> faults() {
    return faults;
  }

  boolean isEmpty() {
    return faults.isEmpty();
  }

  /** Adds a fault at an element. */
  void add(XmlElement element, String description) {
    faults.add(new SettingsFault(file.toString(), element.line(), element.column(), description));
  }

  /** Adds a fault that concerns the whole file. */
  void addForFile(String description) {
    faults.add(SettingsFault.ofFile(file, description));
  }

  /** Returns the path of a file that an attribute names relative to the settings file. */
  Path resolve(String relativePath) {
    return file.toAbsolutePath().resolveSibling(relativePath);
  }

  /** Converts an attribute; adds a fault and returns the placeholder if it has no valid value. */
  <T> T convert(
      XmlElement element, String attribute, T placeholder, Function<String, T> converter) {
    String text = element.attribute(attribute);
    try {
      return converter.apply(text);
    } catch (RuntimeException e) {
      add(element, attribute + " \"" + text + "\": " + e.getMessage());
      return placeholder;
    }
  }

  Duration duration(XmlElement element, String attribute) {
    return convert(element, attribute, PLACEHOLDER_DURATION, Duration::parse);
  }

  /** Converts a duration that must be at least 10 ms. */
  Duration intervalOrTimeout(XmlElement element, String attribute) {
    Duration duration = duration(element, attribute);
    if (duration.compareTo(MIN_INTERVAL) < 0) {
      add(element, attribute + " is under 10 ms");
    }
    return duration;
  }

  Name name(XmlElement element, String attribute) {
    return convert(element, attribute, Name.root, FaultCollector::parseName);
  }

  private static Name parseName(String text) {
    try {
      return Name.fromString(text);
    } catch (TextParseException e) {
      throw new IllegalArgumentException(e.getMessage(), e);
    }
  }

  /** Converts IP:PORT; null if it is not valid. */
  InetSocketAddress address(XmlElement element, String attribute) {
    return convert(element, attribute, null, ServiceSettings::parseAddress);
  }

  List<InetSocketAddress> upstreams(XmlElement element) {
    return element.children("upstream").stream()
        .map(upstream -> address(upstream, "address"))
        .toList();
  }
}
