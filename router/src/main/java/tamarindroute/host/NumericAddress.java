package tamarindroute.host;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import tamarindroute.settings.SettingsReader;

/**
 * Parses socket addresses of the form {@code IP:PORT} without name resolution: Java's own parser
 * would look up a host that is no IP address, which blocks the caller.
 */
final class NumericAddress {

  /** The smallest port that can be connected to. */
  static final int MIN_PORT = 1;

  /** The port that stands for any free one where an address is listened on. */
  static final int ANY_FREE_PORT = 0;

  private static final int MAX_OCTET = 255;

  private NumericAddress() {}

  /** Parses an address that can be connected to; see {@link #parse(String, int)}. */
  static InetSocketAddress parse(String text) {
    return parse(text, MIN_PORT);
  }

  /**
   * Parses an address.
   *
   * @param text an IPv4 address, or an IPv6 address in brackets, then a colon and the port
   * @param minPort the smallest port allowed
   * @throws IllegalArgumentException if the text has another form or the port is out of range
   */
  static InetSocketAddress parse(String text, int minPort) {
    int colon = text.lastIndexOf(':');
    int port = colon <= 0 ? -1 : Integer.parseInt(text.substring(colon + 1));
    if (port < minPort) {
      throw malformed(text);
    }
    return new InetSocketAddress(parseHost(text.substring(0, colon)), port);
  }

  private static InetAddress parseHost(String host) {
    try {
      boolean ipv6 = host.indexOf(':') >= 0;
      return ipv6 ? InetAddress.getByName(host) : parseIpv4(host);
    } catch (UnknownHostException e) {
      throw malformed(host);
    }
  }

  private static InetAddress parseIpv4(String host) throws UnknownHostException {
    String[] octets = host.split("\\.", -1);
    byte[] bytes = new byte[octets.length];
    for (int i = 0; i < octets.length; i++) {
      int octet = Integer.parseInt(octets[i]);
      if (octet < 0 || octet > MAX_OCTET) {
        throw malformed(host);
      }
      bytes[i] = (byte) octet;
    }
    return InetAddress.getByAddress(bytes);
  }

  private static IllegalArgumentException malformed(String text) {
    return new IllegalArgumentException(
        "not an address of the form IP:PORT: " + SettingsReader.abbreviate(text));
  }
}
