package tamarindroute.dns;

import java.net.InetAddress;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import org.xbill.DNS.Name;

/**
 * Owns the form of the steered names: SERVICE.WHAT.WHERE.origin, where WHERE is a location's label,
 * or the one that stands for the client's own location, WHAT a profile or a part of the objects, or
 * absent, and SERVICE the prefix under which SRV records stand, or absent. It must never know which
 * cache is answered.
 */
public final class SteeredNames {

  /** Under these two labels SRV records stand; the protocol's name is ours. */
  private static final String SERVICE = "_cache";

  private static final String TRANSPORT = "_tcp";

  /** What a name is. */
  public sealed interface Match {}

  /**
   * Answered by steering.
   *
   * @param scope the bits of the client's address that the answer depends on
   * @param service whether SRV records stand here, else addresses and HTTPS
   */
  public record SteeredName(SteeringTarget target, double loadPerAnswer, int scope, boolean service)
      implements Match {}

  /** Names stand below it, none at it. */
  public record EmptyNonTerminal() implements Match {}

  /** No steered name. */
  public record NoMatch() implements Match {}

  private static final Match EMPTY = new EmptyNonTerminal();
  private static final Match NONE = new NoMatch();

  private final DnsSettings.SteeringSettings steer;
  private final Map<String, Location> locations = new HashMap<>();

  public SteeredNames(DnsSettings.SteeringSettings steer) {
    this.steer = steer;
    steer.locations().forEach(location -> locations.put(location.label(), location));
  }

  /** What this name is for a client of this address, of which so many bits are known. */
  public Match match(Name name, InetAddress client, int known) {
    if (!name.subdomain(steer.origin())) {
      return NONE;
    }
    int depth = name.labels() - steer.origin().labels();
    if (depth == 0 || depth > 4) {
      return NONE;
    }
    String[] labels = new String[depth];
    for (int i = 0; i < depth; i++) {
      labels[i] = name.getLabelString(i).toLowerCase(Locale.ROOT);
    }
    String where = labels[depth - 1];
    if (where.equals(steer.cachesLabel())) {
      return depth == 1
          ? EMPTY
          : depth == 2 ? new SteeredName(new SteeringTarget.ById(labels[0]), 0, 0, false) : NONE;
    }
    boolean nearest = where.equals(steer.nearestLabel());
    Location location = nearest ? locationOf(client) : locations.get(where);
    if (location == null) {
      return NONE;
    }
    Location.ClientNetwork clients = location.narrowestNetworkOf(client);
    // An answer for the client's own location holds for the network that decided it, and no wider.
    int scope = !nearest ? 0 : clients == null ? known : clients.subnet().bits();
    double carries = clients == null ? steer.loadPerAnswer() : clients.loadPerAnswer();
    return found(labels, depth - 1, location, scope, carries);
  }

  /** The rest of the name, its first labels, so many of them. */
  private Match found(String[] labels, int left, Location location, int scope, double carries) {
    boolean service = left >= 2 && labels[0].equals(SERVICE) && labels[1].equals(TRANSPORT);
    int from = service ? 2 : left >= 1 && labels[0].equals(TRANSPORT) ? 1 : 0;
    boolean between = from == 1;
    SteeringTarget target;
    if (left - from == 0) {
      target = new SteeringTarget.AnyCache(location);
    } else if (left - from == 1) {
      target = targetOf(labels[from], location);
    } else {
      return NONE;
    }
    return target == null
        ? NONE
        : between ? EMPTY : new SteeredName(target, carries, scope, service);
  }

  private SteeringTarget targetOf(String label, Location location) {
    if (steer.requestClasses().containsKey(label)) {
      return new SteeringTarget.ForRequestClass(location, steer.requestClasses().get(label));
    }
    String number =
        label.startsWith(steer.partitionPrefix())
            ? label.substring(steer.partitionPrefix().length())
            : "";
    // One spelling for each part, so that its answers are not kept under several names.
    boolean plain = number.matches("0|[1-9][0-9]{0,5}");
    return plain && Integer.parseInt(number) < steer.partitionCount()
        ? new SteeringTarget.HomeOfPartition(location, Integer.parseInt(number))
        : null;
  }

  /**
   * The location that has the narrowest network holding this address; the first one where none has.
   */
  private Location locationOf(InetAddress client) {
    Location best = steer.locations().get(0);
    int bits = -1;
    for (Location location : steer.locations()) {
      Location.ClientNetwork clients = location.narrowestNetworkOf(client);
      if (clients != null && clients.subnet().bits() > bits) {
        best = location;
        bits = clients.subnet().bits();
      }
    }
    return best;
  }
}
