package tamarindroute.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import tamarindroute.dns.DnsSettings;
import tamarindroute.dns.Subnet;
import tamarindroute.host.PlatformConfiguration;

/**
 * Settings of the name server, read from an XML file and the files that it names.
 *
 * @param platform the instance's configuration in the platform's form
 * @param feed address of the control feed as HOST:PORT; null for the platform's address
 * @param instances number of instances that share the caches
 * @param resolvers servers that resolve host names in these settings
 * @param resolveTimeout time that one resolution may take
 */
public record ServiceSettings(
    PlatformConfiguration platform,
    String feed,
    int instances,
    List<InetSocketAddress> resolvers,
    Duration resolveTimeout,
    DnsSettings dns) {

  private static final String NUMERIC_ADDRESS_PATTERN =
      "(\\d{1,3}(\\.\\d{1,3}){3}|\\[[0-9a-fA-F:.]+\\]):\\d{1,5}";

  /**
   * Reads a settings file and the files that it names.
   *
   * @throws InvalidSettingsException with all faults found
   */
  public static ServiceSettings read(Path file) throws InvalidSettingsException {
    return ServiceSettingsReader.read(file);
  }

  /** Returns whether HOST:PORT gives the host as an IP address rather than by name. */
  public static boolean isNumericAddress(String address) {
    return address.matches(NUMERIC_ADDRESS_PATTERN);
  }

  /**
   * Parses IP:PORT, with an IPv6 address in brackets.
   *
   * @throws IllegalArgumentException if the text has another form
   */
  public static InetSocketAddress parseAddress(String text) {
    int colon = text.lastIndexOf(':');
    String host = text.substring(0, colon).replace("[", "").replace("]", "");
    int port = Integer.parseInt(text.substring(colon + 1));
    return new InetSocketAddress(Subnet.parse(host).address(), port);
  }
}
