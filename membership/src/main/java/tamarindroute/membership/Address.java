package tamarindroute.membership;

/**
 * Network address under which a member is known. All members use the same spelling of the host,
 * whatever route leads there.
 *
 * @param host numeric IPv4 or IPv6 address
 * @param port UDP port
 */
public record Address(String host, int port) implements Comparable<Address> {

  @Override
  public int compareTo(Address other) {
    int byHost = host.compareTo(other.host);
    return byHost != 0 ? byHost : Integer.compare(port, other.port);
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
