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
 * Seals what a member sends and opens what comes: each letter is a member's, of the life that
 * sealed it, and new. The seal's run is the sender's birth, so that a new life starts its numbers
 * anew.
 */
final class SealedChannel {

  /** A letter that is proven; former where a later life of its sender was heard before. */
  record Opened(MemberMessage message, boolean fromFormerIncarnation) {}

  private final MessageAuthenticator seal;
  private final Map<Address, MessageAuthenticator.ReplayWindow> lastHeard;
  private long currentIncarnation;
  private long nextNumber;

  /** Remembers what was heard of so many senders, those heard latest. */
  SealedChannel(MessageAuthenticator seal, int maxSenders) {
    this.seal = seal;
    this.lastHeard =
        new LinkedHashMap<>(16, 0.75f, true) {
          private static final long serialVersionUID = 1L;

          @Override
          protected boolean removeEldestEntry(
              Map.Entry<Address, MessageAuthenticator.ReplayWindow> eldest) {
            return size() > maxSenders;
          }
        };
  }

  byte[] seal(MemberMessage message) {
    if (message.sender().incarnation() != currentIncarnation) {
      currentIncarnation = message.sender().incarnation();
      nextNumber = 0;
    }
    return seal.seal(MemberMessageCodec.encode(message), currentIncarnation, nextNumber++);
  }

  /**
   * Opens a letter. One of a former life is handed on as such: whoever was born with a clock set
   * back is told so by an answer, and whoever plays old datagrams again gets no more than that.
   */
  Opened open(byte[] bytes, Member self) throws MalformedMessageException {
    MessageAuthenticator.OpenedMessage opened =
        seal.open(bytes, MessageAuthenticator.ReplayWindow.EMPTY);
    MemberMessage message = MemberMessageCodec.decode(opened.message());
    Member sender = message.sender();
    if (opened.window().incarnation() != sender.incarnation()) {
      throw new MalformedMessageException("sealed in another life than it tells");
    }
    if (sender.address().equals(self.address())) {
      throw new MalformedMessageException("from one of our own name, " + sender);
    }
    MessageAuthenticator.ReplayWindow previous =
        lastHeard.getOrDefault(sender.address(), MessageAuthenticator.ReplayWindow.EMPTY);
    if (sender.incarnation() < previous.incarnation()) {
      return new Opened(message, true);
    }
    lastHeard.put(
        sender.address(),
        MessageAuthenticator.accept(
            previous, sender.incarnation(), opened.window().highestSequenceNumber()));
    return new Opened(message, false);
  }
}
