package tamarindroute.vrrptransport;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import tamarindroute.net.DatagramTransport;
import tamarindroute.protocol.MalformedMessageException;
import tamarindroute.protocol.MessageAuthenticator;

/**
 * Seals the messages sent from one local address, and opens those received there. Sealing adds an
 * authentication code and a sequence number. Opening verifies both and removes them. Without an
 * authenticator, messages are sent and received without them.
 */
final class SealedDatagrams {

  private final DatagramTransport datagrams;
  private final InetSocketAddress ownAddress;
  private final MessageAuthenticator authenticator;
  private final long incarnation;
  private final Map<InetSocketAddress, MessageAuthenticator.ReplayWindow> windowBySender =
      new HashMap<>();
  private long nextSequenceNumber;

  /**
   * Creates a channel.
   *
   * @param authenticator null for unauthenticated messages
   * @param incarnation number that must be larger at each start of this process, so that receivers
   *     can reject replayed messages
   */
  SealedDatagrams(
      DatagramTransport datagrams,
      InetSocketAddress ownAddress,
      MessageAuthenticator authenticator,
      long incarnation) {
    this.datagrams = datagrams;
    this.ownAddress = ownAddress;
    this.authenticator = authenticator;
    this.incarnation = incarnation;
  }

  boolean isSealed() {
    return authenticator != null;
  }

  void send(InetSocketAddress to, byte[] message) {
    datagrams.send(
        ownAddress,
        to,
        authenticator == null
            ? message
            : authenticator.seal(message, incarnation, nextSequenceNumber++));
  }

  /**
   * Returns the message in a datagram. The caller must have checked that the sender is a configured
   * one, so that unknown senders can't fill the table of replay windows.
   *
   * @throws MalformedMessageException if the seal is not valid, or the message was received before
   *     or is too old
   */
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
