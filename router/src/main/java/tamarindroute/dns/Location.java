package tamarindroute.dns;

import java.net.InetAddress;
import java.util.List;

/**
 * A location that has names: its label, its place among the settings' zones, who stands in when it
 * has nobody, and the networks whose clients are its own.
 */
public record Location(
    String label, int zoneIndex, List<String> neighbours, List<ClientNetwork> clientNetworks) {

  /**
   * A network and the load, in transfers under way, that one answer to a resolver there brings at
   * the most.
   */
  public record ClientNetwork(Subnet subnet, double loadPerAnswer) {}

  public Location {
    neighbours = List.copyOf(neighbours);
    clientNetworks = List.copyOf(clientNetworks);
  }

  /** The narrowest of its networks that holds this address; null for none. */
  public ClientNetwork narrowestNetworkOf(InetAddress client) {
    ClientNetwork best = null;
    for (ClientNetwork one : clientNetworks) {
      if (one.subnet().contains(client)
          && (best == null || one.subnet().bits() > best.subnet().bits())) {
        best = one;
      }
    }
    return best;
  }
}
