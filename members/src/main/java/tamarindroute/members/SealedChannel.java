package tamarindroute.members;

import java.util.LinkedHashMap;
import java.util.Map;
import tamarindroute.members.wire.MemberMessage;
import tamarindroute.members.wire.MemberMessageCodec;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;
import tamarindroute.protocol.MalformedMessageException;
import tamarindroute.protocol.MessageAuthenticator;

/**
 * Authenticates messages between members. A sealed datagram proves that a member with the key sent
 * it in the incarnation it names, and that it was not received before.
 */
final class SealedChannel {

  /**
   * An authentic message.
   *
   * @param message the decoded message
   * @param fromFormerIncarnation whether a later incarnation of its sender was heard before
   */
  record Opened(MemberMessage message, boolean fromFormerIncarnation) {}

  private static final int INITIAL_CAPACITY = 16;
  private static final float LOAD_FACTOR = 0.75f;

  private final MessageAuthenticator authenticator;
  private final Map<Address, MessageAuthenticator.ReplayWindow> replayWindows;
  private long currentIncarnation;
  private long nextSequenceNumber;

  /**
   * Creates a channel.
   *
   * @param maxSenders how many senders are protected against replay: those heard from latest
   */
  SealedChannel(MessageAuthenticator authenticator, int maxSenders) {
    this.authenticator = authenticator;
    this.replayWindows =
        new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
          private static final long serialVersionUID = 1L;

          @Override
          protected boolean removeEldestEntry(
              Map.Entry<Address, MessageAuthenticator.ReplayWindow> eldest) {
            return size() > maxSenders;
          }
        };
  }

  /** Encodes and seals a message. Each incarnation of the sender starts its numbers anew. */
  byte[] seal(MemberMessage message) {
    long incarnation = message.sender().incarnation();
    if (incarnation != currentIncarnation) {
      currentIncarnation = incarnation;
      nextSequenceNumber = 0;
    }
    byte[] encoded = MemberMessageCodec.encode(message);
    return authenticator.seal(encoded, incarnation, nextSequenceNumber++);
  }

  /**
   * Opens and decodes a datagram. A message of a former incarnation is returned with a mark: a
   * process that started with an earlier clock has to be told, and a replay achieves no more.
   *
   * @param self this member, whose address must not be the sender's
   * @throws MalformedMessageException if the datagram is not authentic, received before, or can't
   *     be decoded
   */
  Opened open(byte[] bytes, Member self) throws MalformedMessageException {
    MessageAuthenticator.OpenedMessage opened =
        authenticator.open(bytes, MessageAuthenticator.ReplayWindow.EMPTY);
    MemberMessage message = MemberMessageCodec.decode(opened.message());
    Member sender = message.sender();
    if (opened.window().incarnation() != sender.incarnation()) {
      throw new MalformedMessageException(
          "message of " + sender + " is sealed as incarnation " + opened.window().incarnation());
    }
    if (sender.address().equals(self.address())) {
      throw new MalformedMessageException("sender " + sender + " has the address of this member");
    }
    MessageAuthenticator.ReplayWindow previous =
        replayWindows.getOrDefault(sender.address(), MessageAuthenticator.ReplayWindow.EMPTY);
    if (sender.incarnation() < previous.incarnation()) {
      return new Opened(message, true);
    }
    MessageAuthenticator.ReplayWindow next =
        MessageAuthenticator.accept(
            previous, sender.incarnation(), opened.window().highestSequenceNumber());
    replayWindows.put(sender.address(), next);
    return new Opened(message, false);
  }
}
