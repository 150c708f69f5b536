package tamarindroute.members;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import tamarindroute.config.InvalidSettingsException;
import tamarindroute.membership.Address;
import tamarindroute.membership.MembershipSettings;
import tamarindroute.protocol.MessageAuthenticator;

/**
 * Settings of one member, as read from its XML file (docs/members.md).
 *
 * @param listenAddress where it receives datagrams
 * @param advertisedAddress the address that all others know it by
 * @param incarnationFile remembers the last incarnation; null for none
 * @param authenticator holds the shared keys
 * @param seeds whom to ask for admission, without this member
 * @param voters members that vote on the agreed view, the same list at all; empty for none
 * @param addressOverrides where datagrams for a member are sent if not to its advertised address,
 *     such as a tunnel
 * @param membershipSettings settings of the membership protocol
 */
public record MemberConfiguration(
    InetSocketAddress listenAddress,
    Address advertisedAddress,
    Path incarnationFile,
    MessageAuthenticator authenticator,
    List<Address> seeds,
    List<Address> voters,
    Map<Address, InetSocketAddress> addressOverrides,
    MembershipSettings membershipSettings) {

  private static final String VOTER_STORE_SUFFIX = ".agreed";

  /** Copies the collections. */
  public MemberConfiguration {
    seeds = List.copyOf(seeds);
    voters = List.copyOf(voters);
    addressOverrides = Map.copyOf(addressOverrides);
  }

  /**
   * Reads a settings file and the key files that it names.
   *
   * @throws UnusableException with all faults of these files
   */
  public static MemberConfiguration read(Path file) throws InvalidSettingsException {
    return MemberConfigurationReader.read(file);
  }

  /** The file of a voter's replicated state, beside the incarnation file; null without one. */
  Path voterStore() {
    return incarnationFile == null
        ? null
        : incarnationFile.resolveSibling(incarnationFile.getFileName() + VOTER_STORE_SUFFIX);
  }

  /** Where datagrams for a member are sent instead of to its advertised address. */
  Optional<InetSocketAddress> addressOverride(Address member) {
    return Optional.ofNullable(addressOverrides.get(member));
  }

  /** A socket address in the form that members use. */
  static Address toAddress(InetSocketAddress address) {
    return new Address(address.getAddress().getHostAddress(), address.getPort());
  }
}
