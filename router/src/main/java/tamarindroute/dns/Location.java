package tamarindroute.dns;

import java.net.InetAddress;
import java.util.List;
import java.util.Optional;

/**
 * A location with names of its own.
 *
 * @param zoneIndex index among the zones of the instance's settings
 * @param neighbours labels of the locations that stand in for it, in order
 * @param clientNetworks networks whose clients belong to it
 */
public record Location(
    String label, int zoneIndex, List<String> neighbours, List<ClientNetwork> clientNetworks) {

  /**
   * A network of clients.
   *
   * @param loadPerAnswer the most concurrent transfers that an answer to a resolver there brings
   */
  public record ClientNetwork(Subnet subnet, double loadPerAnswer) {}

  /** Copies the lists. */
  public Location {
    neighbours = List.copyOf(neighbours);
    clientNetworks = List.copyOf(clientNetworks);
  }

  /** Returns the narrowest network that contains an address. */
  public Optional<ClientNetwork> narrowestNetworkOf(InetAddress client) {
    ClientNetwork best = null;
    for (ClientNetwork network : clientNetworks) {
      if (network.subnet().contains(client)
          && (best == null || network.subnet().bits() > best.subnet().bits())) {
        best = network;
      }
    }
    return Optional.ofNullable(best);
  }
}
