package tamarindroute.membership;

/**
 * Network address that identifies a member. All members have to use the same spelling of the host,
 * even if they reach it by different routes, because addresses are compared as text.
 *
 * @param host numeric IPv4 or IPv6 address
 * @param port UDP port, 1 to 65,535; not checked here
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
