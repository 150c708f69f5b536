package tamarindroute.dns;

import java.net.InetAddress;
import java.util.List;

/**
 * A location that has names: its label, its place among the settings' zones, who stands in when it
 * has nobody, and the networks whose clients are its own.
 */
public record Location(String label, int place, List<String> neighbours, List<Clients> clients) {

  /**
   * A network and the load, in transfers under way, that one answer to a resolver there brings at
   * the most.
   */
  public record Clients(Subnet subnet, double carries) {}

  public Location {
    neighbours = List.copyOf(neighbours);
    clients = List.copyOf(clients);
  }

  /** The narrowest of its networks that holds this address; null for none. */
  public Clients clientsOf(InetAddress client) {
    Clients best = null;
    for (Clients one : clients) {
      if (one.subnet().holds(client)
          && (best == null || one.subnet().bits() > best.subnet().bits())) {
        best = one;
      }
    }
    return best;
  }
}
