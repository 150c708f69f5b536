package tamarindroute.vrrptransport;

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
final class SealedDatagrams {

  private final DatagramTransport datagrams;
  private final InetSocketAddress own;
  private final MessageAuthenticator authenticator;
  private final long incarnation;
  private final Map<InetSocketAddress, MessageAuthenticator.ReplayWindow> windowBySender =
      new HashMap<>();
  private long sequenceNumber;

  SealedDatagrams(
      DatagramTransport datagrams, InetSocketAddress own, MessageAuthenticator seal, long run) {
    this.datagrams = datagrams;
    this.own = own;
    this.authenticator = seal;
    this.incarnation = run;
  }

  boolean isSealed() {
    return authenticator != null;
  }

  void send(InetSocketAddress to, byte[] message) {
    datagrams.send(
        own,
        to,
        authenticator == null
            ? message
            : authenticator.seal(message, incarnation, sequenceNumber++));
  }

  /** The message of a sender that is known to be one: strangers must not fill the table. */
  byte[] open(byte[] bytes, InetSocketAddress from) throws MalformedMessageException {
    if (authenticator == null) {
      return bytes;
    }
    MessageAuthenticator.OpenedMessage opened =
        authenticator.open(
            bytes, windowBySender.getOrDefault(from, MessageAuthenticator.ReplayWindow.EMPTY));
    windowBySender.put(from, opened.window());
    return opened.message();
  }
}
