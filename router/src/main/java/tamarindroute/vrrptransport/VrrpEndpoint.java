package tamarindroute.vrrptransport;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import tamarindroute.log.Log;
import tamarindroute.net.DatagramTransport;
import tamarindroute.net.Scheduler;
import tamarindroute.protocol.MalformedMessageException;
import tamarindroute.protocol.MessageAuthenticator;
import tamarindroute.vrrp.Advertisement;
import tamarindroute.vrrp.Election;
import tamarindroute.vrrp.GrantMessage;

/**
 * Sends and receives the VRRP advertisements and grant messages of one gateway over UDP, and holds
 * the gateway's virtual routers.
 *
 * <p>Peers are the other gateways. Voters are this gateway and the configured gateways and {@link
 * Witness witnesses} whose grants an active router needs. Both are configured by address and port.
 * A datagram is dropped and logged if it comes from any other sender, if its authentication code
 * (seal) is invalid or was seen before, or if its contents are malformed. The checksum of an
 * advertisement covers a pseudo header with the IP addresses of the UDP datagram. All methods are
 * called on the event loop.
 */
public final class VrrpEndpoint {

  /** Takes and releases the shared address of a virtual router. Called on the event loop. */
  public interface AddressHolder {

    /** This gateway may act for the address from now on: bind it, announce it and serve. */
    void onTaken();

    /**
     * This gateway may not act for the address any more: unbind it. Requests in flight get the
     * answers that are still allowed, which is up to the implementation.
     */
    void onReleased(Election.ReleaseReason reason);
  }

  /** Number of this gateway in its own list of voters. The other voters have the numbers from 1. */
  static final int OWN_VOTER_NUMBER = 0;

  /** Number of bytes from the end of an IP address that are used in a tie breaker. */
  private static final int TIE_BREAKER_ADDRESS_BYTES = 6;

  private final Scheduler scheduler;
  private final DatagramTransport datagrams;
  private final InetSocketAddress ownAddress;
  private final List<InetSocketAddress> peers;
  private final SealedDatagrams channel;
  private final Map<Integer, VirtualRouter> routers = new HashMap<>();
  private final List<InetSocketAddress> otherVoters = new ArrayList<>();

  /** Null if no voters are required. */
  private Duration grantDuration;

  /** Null before the start, or if no voters are required. */
  private GrantService grantService;

  /**
   * Creates an endpoint without virtual routers.
   *
   * @param ownAddress local address to send from and to listen on
   * @param peers addresses of the other gateways
   * @param authenticator authenticates (seals and opens) the messages; null to send and accept
   *     unauthenticated advertisements as in RFC 9568
   * @param incarnation number that must be larger at each start of this gateway, so that peers can
   *     reject replayed messages
   */
  public VrrpEndpoint(
      Scheduler scheduler,
      DatagramTransport datagrams,
      InetSocketAddress ownAddress,
      List<InetSocketAddress> peers,
      MessageAuthenticator authenticator,
      long incarnation) {
    this.scheduler = scheduler;
    this.datagrams = datagrams;
    this.ownAddress = ownAddress;
    this.peers = List.copyOf(peers);
    this.channel = new SealedDatagrams(datagrams, ownAddress, authenticator, incarnation);
  }

  /**
   * Requires an active router to hold the grants of more than half of the voters before it acts.
   * The voters are the given ones and this gateway. To be called before {@link #start}.
   *
   * @param otherVoters addresses of other gateways and of witnesses
   * @param grantDuration how long a grant lasts; must be the same at all voters and candidates, and
   *     three advertisement intervals make it as long as the lease
   * @throws IllegalArgumentException if the endpoint has no authenticator
   */
  public void requireVoters(List<InetSocketAddress> otherVoters, Duration grantDuration) {
    if (!channel.isSealed()) {
      throw new IllegalArgumentException(
          "message authenticator is missing, but the voters "
              + otherVoters
              + " require sealed messages");
    }
    this.otherVoters.addAll(otherVoters);
    this.grantDuration = grantDuration;
  }

  /**
   * Adds a virtual router, which is not started yet.
   *
   * @param virtualId virtual router ID, 1 to 255
   * @param priority initial priority, 1 to 255
   * @param addresses shared IP addresses; peers must list the same addresses in the same order
   * @param holder takes and releases the shared addresses
   * @throws IllegalArgumentException if the ID was added before
   */
  public VirtualRouter add(
      int virtualId,
      int priority,
      List<InetAddress> addresses,
      Election.Settings settings,
      AddressHolder holder) {
    VirtualRouter router =
        new VirtualRouter(this, virtualId, priority, addresses, settings, holder);
    if (routers.putIfAbsent(virtualId, router) != null) {
      throw new IllegalArgumentException(
          "virtual router ID is " + virtualId + ", expected one that was not added before");
    }
    return router;
  }

  /**
   * Listens on the endpoint's address and starts all virtual routers.
   *
   * @throws IOException if the address cannot be listened on
   */
  public void start() throws IOException {
    grantService = grantDuration == null ? null : new GrantService(routers.keySet(), grantDuration);
    datagrams.listen(ownAddress, (bytes, from, receivedAt, reply) -> onDatagram(bytes, from));
    routers.values().forEach(router -> router.handle(new Election.Startup()));
  }

  /**
   * Stops all virtual routers. Active ones send a resignation, so that a peer takes over after its
   * skew time only.
   */
  public void stop() {
    routers.values().forEach(router -> router.handle(new Election.Shutdown()));
  }

  /**
   * Returns the {@link Election.Settings#tieBreaker} of the gateway with the given address. The IP
   * address is its more significant part, the port its last 16 bits.
   */
  public static long tieBreaker(InetSocketAddress address) {
    byte[] bytes = address.getAddress().getAddress();
    // The last six bytes distinguish the peers of one network even for 16-byte IPv6 addresses.
    long number = 0;
    for (int i = Math.max(0, bytes.length - TIE_BREAKER_ADDRESS_BYTES); i < bytes.length; i++) {
      number = (number << 8) | (bytes[i] & 0xFF);
    }
    return number << 16 | address.getPort();
  }

  Scheduler scheduler() {
    return scheduler;
  }

  /** Whether an active router needs grants. Always false before {@link #start}. */
  boolean hasVoters() {
    return grantService != null;
  }

  /** Returns the number of voters, including this gateway. */
  int voterCount() {
    return otherVoters.size() + 1;
  }

  Duration grantDuration() {
    return grantDuration;
  }

  /**
   * Handles a grant message that this gateway, as a candidate, sends to itself as a voter.
   *
   * @return the answer; null if there is none, as for a release
   */
  GrantMessage voteLocally(GrantMessage message) {
    return grantService.onMessage(message, ownAddress);
  }

  void sendToVoters(GrantMessage message) {
    otherVoters.forEach(voter -> channel.send(voter, message.encode()));
  }

  void sendToPeers(Advertisement advertisement) {
    for (InetSocketAddress peer : peers) {
      channel.send(peer, advertisement.encode(ownAddress.getAddress(), peer.getAddress()));
    }
  }

  private void onDatagram(byte[] bytes, InetSocketAddress from) {
    if (!peers.contains(from) && !otherVoters.contains(from)) {
      Log.infoWithFields(
          "vrrp-stranger", "datagram dropped: sender is neither a peer nor a voter", "from", from);
      return;
    }
    try {
      byte[] message = channel.open(bytes, from);
      if (channel.isSealed() && GrantMessage.isGrantMessage(message)) {
        onGrantMessage(GrantMessage.decode(message), from);
      } else {
        onAdvertisement(message, from);
      }
    } catch (MalformedMessageException e) {
      Log.infoWithFields("vrrp-unreadable", "datagram dropped: " + e.getMessage(), "from", from);
    }
  }

  private void onAdvertisement(byte[] message, InetSocketAddress from)
      throws MalformedMessageException {
    if (!peers.contains(from)) {
      throw new MalformedMessageException(
          "VRRP advertisement sender is the voter " + from + ", expected a peer");
    }
    Advertisement advertisement =
        Advertisement.decode(message, from.getAddress(), ownAddress.getAddress());
    VirtualRouter router = routers.get(advertisement.virtualId());
    if (router == null) {
      throw new MalformedMessageException(
          "VRRP advertisement virtual router ID is "
              + advertisement.virtualId()
              + ", expected one of "
              + routers.keySet());
    }
    if (!router.addresses().equals(advertisement.addresses())) {
      throw new MalformedMessageException(
          "VRRP advertisement addresses of virtual router "
              + advertisement.virtualId()
              + " are "
              + advertisement.addresses()
              + ", expected "
              + router.addresses());
    }
    router.handle(
        new Election.AdvertisementReceived(
            advertisement.priority(), tieBreaker(from), advertisement.interval()));
  }

  private void onGrantMessage(GrantMessage message, InetSocketAddress from)
      throws MalformedMessageException {
    if (grantService == null) {
      throw new MalformedMessageException(
          "VRRP grant message type is "
              + message.type()
              + ", expected no grant messages because no voters are configured");
    }
    if (message.type() == GrantMessage.MessageType.REQUEST
        || message.type() == GrantMessage.MessageType.RELEASE) {
      GrantMessage answer = grantService.onMessage(message, from);
      if (answer != null) {
        channel.send(from, answer.encode());
      }
    } else if (message.type() == GrantMessage.MessageType.GRANTED
        && routers.containsKey(message.virtualId())
        && message.grantDuration().equals(grantDuration)
        && otherVoters.contains(from)) {
      routers
          .get(message.virtualId())
          .onGranted(
              OWN_VOTER_NUMBER + 1 + otherVoters.indexOf(from),
              Duration.ofNanos(message.requestToken()));
    }
  }
}
