package tamarindroute.dns;

import java.net.InetAddress;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;
import org.xbill.DNS.Name;

/**
 * Parses steered names, which have the form {@code [_cache._tcp.][TARGET.]LOCATION.ORIGIN}.
 * LOCATION is the label of a location, or the one that stands for the client's own. TARGET stands
 * for a request class or a partition of the objects. Single caches are named {@code
 * ID.CACHES.ORIGIN}.
 */
public final class SteeredNames {

  /** Labels under which SRV records stand (RFC 2782). */
  private static final String SERVICE_LABEL = "_cache";

  private static final String TRANSPORT_LABEL = "_tcp";

  private static final int MAX_LABELS = 4;

  /** One spelling of each number, so that resolvers do not cache an answer under several names. */
  private static final Pattern PARTITION_NUMBER = Pattern.compile("0|[1-9][0-9]{0,5}");

  /** What a name is. */
  public sealed interface Match {}

  /**
   * A name that is answered by steering.
   *
   * @param loadPerAnswer the most concurrent transfers that an answer brings
   * @param scope number of bits of the client's address that the answer depends on
   * @param service whether SRV records stand at the name, rather than address and HTTPS records
   */
  public record SteeredName(SteeringTarget target, double loadPerAnswer, int scope, boolean service)
      implements Match {}

  /** A name without records, below which there are names. */
  public record EmptyNonTerminal() implements Match {}

  /** Not a steered name. */
  public record NoMatch() implements Match {}

  private static final Match EMPTY_NON_TERMINAL = new EmptyNonTerminal();
  private static final Match NO_MATCH = new NoMatch();

  private final DnsSettings.SteeringSettings settings;
  private final Map<String, Location> locations = new HashMap<>();

  /** Creates a parser for these settings. */
  public SteeredNames(DnsSettings.SteeringSettings settings) {
    this.settings = settings;
    settings.locations().forEach(location -> locations.put(location.label(), location));
  }

  /**
   * Returns what a name is for a client.
   *
   * @param knownClientBits how many leading bits of the client's address are known
   */
  public Match match(Name name, InetAddress client, int knownClientBits) {
    if (!name.subdomain(settings.origin())) {
      return NO_MATCH;
    }
    int labelCount = name.labels() - settings.origin().labels();
    if (labelCount == 0 || labelCount > MAX_LABELS) {
      return NO_MATCH;
    }
    String[] labels = new String[labelCount];
    for (int i = 0; i < labelCount; i++) {
      labels[i] = name.getLabelString(i).toLowerCase(Locale.ROOT);
    }
    List<String> prefix = Arrays.asList(labels).subList(0, labelCount - 1);
    String locationLabel = labels[labelCount - 1];
    if (locationLabel.equals(settings.cachesLabel())) {
      return matchCache(prefix);
    }
    return matchAtLocation(prefix, locationLabel, client, knownClientBits);
  }

  private static Match matchCache(List<String> prefix) {
    return switch (prefix.size()) {
      case 0 -> EMPTY_NON_TERMINAL;
      case 1 -> new SteeredName(new SteeringTarget.ById(prefix.get(0)), 0, 0, false);
      default -> NO_MATCH;
    };
  }

  private Match matchAtLocation(
      List<String> prefix, String locationLabel, InetAddress client, int knownClientBits) {
    boolean nearest = locationLabel.equals(settings.nearestLabel());
    Location location = nearest ? locationOf(client) : locations.get(locationLabel);
    if (location == null) {
      return NO_MATCH;
    }
    Optional<Location.ClientNetwork> network = location.narrowestNetworkOf(client);
    double loadPerAnswer =
        network.map(Location.ClientNetwork::loadPerAnswer).orElse(settings.loadPerAnswer());
    // Only the choice of the location depends on the client, by the network that decided it.
    int scope = nearest ? network.map(found -> found.subnet().bits()).orElse(knownClientBits) : 0;
    return matchPrefix(prefix, location, loadPerAnswer, scope);
  }

  /** Matches the labels before the location's. */
  private Match matchPrefix(
      List<String> prefix, Location location, double loadPerAnswer, int scope) {
    boolean transport = !prefix.isEmpty() && prefix.get(0).equals(TRANSPORT_LABEL);
    boolean service =
        prefix.size() >= 2
            && prefix.get(0).equals(SERVICE_LABEL)
            && prefix.get(1).equals(TRANSPORT_LABEL);
    int serviceLabels = service ? 2 : (transport ? 1 : 0);
    Optional<SteeringTarget> target =
        targetOf(prefix.subList(serviceLabels, prefix.size()), location);
    if (target.isEmpty()) {
      return NO_MATCH;
    }
    return transport
        ? EMPTY_NON_TERMINAL
        : new SteeredName(target.get(), loadPerAnswer, scope, service);
  }

  private Optional<SteeringTarget> targetOf(List<String> labels, Location location) {
    if (labels.isEmpty()) {
      return Optional.of(new SteeringTarget.AnyCache(location));
    }
    if (labels.size() > 1) {
      return Optional.empty();
    }
    String label = labels.get(0);
    if (settings.requestClasses().containsKey(label)) {
      return Optional.of(
          new SteeringTarget.ForRequestClass(location, settings.requestClasses().get(label)));
    }
    if (!label.startsWith(settings.partitionPrefix())) {
      return Optional.empty();
    }
    String number = label.substring(settings.partitionPrefix().length());
    if (!PARTITION_NUMBER.matcher(number).matches()) {
      return Optional.empty();
    }
    int partition = Integer.parseInt(number);
    return partition < settings.partitionCount()
        ? Optional.of(new SteeringTarget.HomeOfPartition(location, partition))
        : Optional.empty();
  }

  /** Returns the location with the narrowest network of an address; the first if none has one. */
  private Location locationOf(InetAddress client) {
    Location closest = settings.locations().get(0);
    int mostBits = -1;
    for (Location location : settings.locations()) {
      int bits =
          location.narrowestNetworkOf(client).map(network -> network.subnet().bits()).orElse(-1);
      if (bits > mostBits) {
        closest = location;
        mostBits = bits;
      }
    }
    return closest;
  }
}
