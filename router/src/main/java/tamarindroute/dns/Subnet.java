package tamarindroute.dns;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.Arrays;
import org.xbill.DNS.Address;

/**
 * A range of IP addresses with a common prefix.
 *
 * @param bits length of the prefix
 */
public record Subnet(InetAddress address, int bits) {

  /** Clears the bits after the prefix. */
  public Subnet {
    int maxBits = address.getAddress().length * Byte.SIZE;
    if (bits < 0 || bits > maxBits) {
      throw new IllegalArgumentException(
          bits + " bits are not between 0 and " + maxBits + ", the length of the address");
    }
    address = Address.truncate(address, bits);
  }

  /**
   * Parses ADDRESS/BITS, or an address for itself alone.
   *
   * @throws IllegalArgumentException if the text has another form
   */
  public static Subnet parse(String text) {
    int slash = text.indexOf('/');
    String address = slash < 0 ? text : text.substring(0, slash);
    byte[] bytes = Address.toByteArray(address, Address.IPv4);
    bytes = bytes != null ? bytes : Address.toByteArray(address, Address.IPv6);
    if (bytes == null) {
      throw new IllegalArgumentException("\"" + address + "\" is not an IP address");
    }
    try {
      return new Subnet(
          InetAddress.getByAddress(bytes),
          slash < 0 ? bytes.length * 8 : Integer.parseInt(text.substring(slash + 1)));
    } catch (UnknownHostException | NumberFormatException e) {
      throw new IllegalArgumentException("\"" + text + "\" is not of the form ADDRESS/BITS");
    }
  }

  /** Returns the subnet of an address with a prefix length by its family. */
  public static Subnet of(InetAddress address, int ipv4Bits, int ipv6Bits) {
    return new Subnet(address, address.getAddress().length == 4 ? ipv4Bits : ipv6Bits);
  }

  /** Returns whether an address lies in this subnet. */
  public boolean contains(InetAddress other) {
    return other.getAddress().length == address.getAddress().length
        && Arrays.equals(Address.truncate(other, bits).getAddress(), address.getAddress());
  }

  @Override
  public String toString() {
    return address.getHostAddress() + "/" + bits;
  }
}
