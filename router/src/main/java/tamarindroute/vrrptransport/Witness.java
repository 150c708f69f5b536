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
 * A third voter that carries nothing: it answers known candidates' sealed requests, and is never
 * active itself.
 */
public final class Witness {

  private final DatagramTransport datagrams;
  private final InetSocketAddress own;
  private final List<InetSocketAddress> candidates;
  private final SealedDatagrams channel;
  private final GrantService grantService;

  public Witness(
      DatagramTransport datagrams,
      InetSocketAddress own,
      List<InetSocketAddress> candidates,
      Set<Integer> virtualIds,
      Duration span,
      MessageAuthenticator seal,
      long run) {
    this.datagrams = datagrams;
    this.own = own;
    this.candidates = List.copyOf(candidates);
    this.channel = new SealedDatagrams(datagrams, own, seal, run);
    this.grantService = new GrantService(virtualIds, span);
  }

  public void start() throws IOException {
    datagrams.listen(own, (bytes, from, at, answer) -> onDatagram(bytes, from));
  }

  private void onDatagram(byte[] bytes, InetSocketAddress from) {
    try {
      if (!candidates.contains(from)) {
        throw new MalformedMessageException("no candidate");
      }
      GrantMessage answer =
          grantService.onMessage(GrantMessage.decode(channel.open(bytes, from)), from);
      if (answer != null) {
        channel.send(from, answer.encode());
      }
    } catch (MalformedMessageException e) {
      Log.infoWithFields("vrrp-unreadable", e.getMessage(), "from", from);
    }
  }
}
