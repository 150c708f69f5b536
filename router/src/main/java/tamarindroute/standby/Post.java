package tamarindroute.standby;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import tamarindroute.net.DatagramTransport;
import tamarindroute.protocol.MalformedMessageException;
import tamarindroute.protocol.MessageAuthenticator;

/**
 * One address's sending and opening of messages: the numbers of what it seals, and what it has
 * heard of each sender. Without a seal messages go and come as they are.
 */
final class Post {

  private final DatagramTransport datagrams;
  private final InetSocketAddress own;
  private final MessageAuthenticator seal;
  private final long run;
  private final Map<InetSocketAddress, MessageAuthenticator.ReplayWindow> heard = new HashMap<>();
  private long number;

  Post(DatagramTransport datagrams, InetSocketAddress own, MessageAuthenticator seal, long run) {
    this.datagrams = datagrams;
    this.own = own;
    this.seal = seal;
    this.run = run;
  }

  boolean sealed() {
    return seal != null;
  }

  void send(InetSocketAddress to, byte[] message) {
    datagrams.send(own, to, seal == null ? message : seal.seal(message, run, number++));
  }

  /** The message of a sender that is known to be one: strangers must not fill the table. */
  byte[] open(byte[] bytes, InetSocketAddress from) throws MalformedMessageException {
    if (seal == null) {
      return bytes;
    }
    MessageAuthenticator.OpenedMessage opened =
        seal.open(bytes, heard.getOrDefault(from, MessageAuthenticator.ReplayWindow.EMPTY));
    heard.put(from, opened.window());
    return opened.message();
  }
}
