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
 * One gateway's UDP address for advertisements and grant messages, with the virtual routers on it.
 *
 * <p>Peers and voters are configured by address and port. Datagrams from other senders, with an
 * invalid seal or with malformed contents are dropped and logged. The pseudo header of an
 * advertisement's checksum has the IP addresses of the UDP datagram. All methods are called on the
 * event loop.
 */
public final class VrrpEndpoint {

  /** Takes and releases the shared address of a virtual router. Called on the event loop. */
  public interface AddressHolder {

    /** This gateway may act for the address from now on: bind it, announce it and serve. */
    void onTaken();

    /**
     * This gateway may not act for the address any more: unbind it. Requests in flight get the
     * answers that are still allowed.
     */
    void onReleased(Election.ReleaseReason reason);
  }

  /** This gateway's number as a voter. The other voters follow from 1 on. */
  static final int OWN_VOTER = 0;

  /** Bytes of an address, its last ones, that are part of a gateway's number. */
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
   * @param authenticator seals and opens the messages; null to send and accept advertisements in
   *     the plain form of the standard
   * @param incarnation larger at each start of this gateway
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
   * Makes the active router act only with the grants of more than half of the voters, which are the
   * given ones and this gateway. To be called before the start.
   *
   * @param otherVoters addresses of other gateways and of witnesses
   * @param grantDuration configured alike for all voters and candidates; three advertisement
   *     intervals match the lease
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
   * @param addresses shared addresses; peers must have the same ones in the same order
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

  /** Stops all virtual routers. Active ones notify their peers, which then take over sooner. */
  public void stop() {
    routers.values().forEach(router -> router.handle(new Election.Shutdown()));
  }

  /**
   * Returns the number of a gateway for {@link Election.Settings#tieBreaker}, from its IP address
   * and its port, the address being the more significant part.
   */
  public static long tieBreaker(InetSocketAddress address) {
    byte[] bytes = address.getAddress().getAddress();
    // The last six bytes distinguish the peers of one network, in IPv6 too.
    long number = 0;
    for (int i = Math.max(0, bytes.length - TIE_BREAKER_ADDRESS_BYTES); i < bytes.length; i++) {
      number = (number << 8) | (bytes[i] & 0xFF);
    }
    return number << 16 | address.getPort();
  }

  Scheduler scheduler() {
    return scheduler;
  }

  /** Whether acting requires grants; false before the start. */
  boolean hasVoters() {
    return grantService != null;
  }

  /** The number of voters with this gateway. */
  int voterCount() {
    return otherVoters.size() + 1;
  }

  Duration grantDuration() {
    return grantDuration;
  }

  /** Handles a message of this gateway as its own voter; returns the answer or null. */
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
              OWN_VOTER + 1 + otherVoters.indexOf(from), Duration.ofNanos(message.requestToken()));
    }
  }
}
