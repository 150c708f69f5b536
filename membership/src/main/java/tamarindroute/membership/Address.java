package tamarindroute.membership;

/** Where a member is told to be found; the same words at every member, whatever way leads there. */
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
