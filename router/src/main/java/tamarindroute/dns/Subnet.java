package tamarindroute.dns;

import java.net.InetAddress;
import java.util.Arrays;
import org.xbill.DNS.Address;

/** The addresses that share their first bits. */
public record Subnet(InetAddress address, int bits) {

  public Subnet {
    byte[] bytes = address.getAddress();
    if (bits < 0 || bits > bytes.length * 8) {
      throw new IllegalArgumentException(bits + " bits of an address of " + bytes.length * 8);
    }
    address = Address.truncate(address, bits);
  }

  /** ADDRESS/BITS, or an address alone. */
  public static Subnet parse(String text) {
    int slash = text.indexOf('/');
    String address = slash < 0 ? text : text.substring(0, slash);
    byte[] bytes = Address.toByteArray(address, Address.IPv4);
    bytes = bytes != null ? bytes : Address.toByteArray(address, Address.IPv6);
    if (bytes == null) {
      throw new IllegalArgumentException("no address: " + address);
    }
    try {
      return new Subnet(
          InetAddress.getByAddress(bytes),
          slash < 0 ? bytes.length * 8 : Integer.parseInt(text.substring(slash + 1)));
    } catch (java.net.UnknownHostException | NumberFormatException e) {
      throw new IllegalArgumentException("no subnet: " + text);
    }
  }

  /** Of so many bits, whatever more the address has. */
  public static Subnet of(InetAddress address, int bitsOf4, int bitsOf6) {
    return new Subnet(address, address.getAddress().length == 4 ? bitsOf4 : bitsOf6);
  }

  public boolean contains(InetAddress other) {
    return other.getAddress().length == address.getAddress().length
        && Arrays.equals(Address.truncate(other, bits).getAddress(), address.getAddress());
  }

  @Override
  public String toString() {
    return address.getHostAddress() + "/" + bits;
  }
}
