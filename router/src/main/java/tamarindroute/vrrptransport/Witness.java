package tamarindroute.vrrptransport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import tamarindroute.log.Log;
import tamarindroute.net.DatagramTransport;
import tamarindroute.protocol.MalformedMessageException;
import tamarindroute.protocol.MessageAuthenticator;
import tamarindroute.vrrp.GrantMessage;

/**
 * A third voter for two gateways. It answers sealed requests of configured candidates, is never
 * active itself and handles no traffic. All methods are called on the event loop.
 */
public final class Witness {

  private final DatagramTransport datagrams;
  private final InetSocketAddress ownAddress;
  private final List<InetSocketAddress> candidates;
  private final SealedDatagrams channel;
  private final GrantService grantService;

  /**
   * Creates a witness, which grants nothing for one grant duration from now.
   *
   * @param ownAddress local address to listen on
   * @param candidates addresses of the gateways
   * @param virtualIds virtual router IDs to vote for
   * @param grantDuration how long a grant lasts; must be the same at all voters and candidates
   * @param authenticator authenticates (seals and opens) the messages
   * @param incarnation number that must be larger at each start of this witness, so that gateways
   *     can reject replayed messages
   */
  public Witness(
      DatagramTransport datagrams,
      InetSocketAddress ownAddress,
      List<InetSocketAddress> candidates,
      Set<Integer> virtualIds,
      Duration grantDuration,
      MessageAuthenticator authenticator,
      long incarnation) {
    this.datagrams = datagrams;
    this.ownAddress = ownAddress;
    this.candidates = List.copyOf(candidates);
    this.channel = new SealedDatagrams(datagrams, ownAddress, authenticator, incarnation);
    this.grantService = new GrantService(virtualIds, grantDuration);
  }

  /**
   * Listens on its address.
   *
   * @throws IOException if the address cannot be listened on
   */
  public void start() throws IOException {
    datagrams.listen(ownAddress, (bytes, from, receivedAt, reply) -> onDatagram(bytes, from));
  }

  private void onDatagram(byte[] bytes, InetSocketAddress from) {
    try {
      if (!candidates.contains(from)) {
        throw new MalformedMessageException(
            "sender is " + from + ", expected one of the candidates " + candidates);
      }
      GrantMessage answer =
          grantService.onMessage(GrantMessage.decode(channel.open(bytes, from)), from);
      if (answer != null) {
        channel.send(from, answer.encode());
      }
    } catch (MalformedMessageException e) {
      Log.infoWithFields("vrrp-unreadable", "datagram dropped: " + e.getMessage(), "from", from);
    }
  }
}
