package tamarindroute.members;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Map;
import org.junit.jupiter.api.Test;
import tamarindroute.members.wire.MemberMessage;
import tamarindroute.members.wire.MemberMessageCodec;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;
import tamarindroute.protocol.MalformedMessageException;
import tamarindroute.protocol.MessageAuthenticator;

/** Which datagrams are accepted. */
class SealedChannelTest {

  private static final Member SELF = new Member(new Address("127.0.0.1", 9001), 5);

  private final MessageAuthenticator authenticator =
      new MessageAuthenticator(Map.of(1, MemberCluster.KEY), 1);
  private final SealedChannel channel = new SealedChannel(authenticator, 2);

  private static MemberMessage from(int port, long incarnation) {
    return MemberMessage.of(
        new Member(new Address("127.0.0.1", port), incarnation),
        0,
        new MemberMessage.FactsPayload(new byte[] {1}));
  }

  @Test
  void eachMessageIsAcceptedOnceAndFormerIncarnationsAreMarked() throws MalformedMessageException {
    SealedChannel sender = new SealedChannel(authenticator, 2);
    byte[] first = sender.seal(from(9002, 7));
    byte[] second = sender.seal(from(9002, 7));
    byte[] laterIncarnation = sender.seal(from(9002, 8));
    assertThat(channel.open(second, SELF).fromFormerIncarnation()).isFalse();
    assertThat(channel.open(first, SELF).message()).isEqualTo(from(9002, 7));
    assertThatThrownBy(() -> channel.open(first, SELF))
        .isInstanceOf(MalformedMessageException.class);
    assertThat(channel.open(laterIncarnation, SELF).fromFormerIncarnation()).isFalse();
    assertThat(channel.open(first, SELF).fromFormerIncarnation()).isTrue();
  }

  @Test
  void otherIncarnationsAndOurOwnAddressAreRejected() {
    byte[] otherIncarnation = authenticator.seal(MemberMessageCodec.encode(from(9002, 7)), 9, 0);
    assertThatThrownBy(() -> channel.open(otherIncarnation, SELF))
        .hasMessageContaining("is sealed as incarnation 9");
    byte[] ours = new SealedChannel(authenticator, 2).seal(from(9001, 7));
    assertThatThrownBy(() -> channel.open(ours, SELF))
        .hasMessageContaining("has the address of this member");
    byte[] changed = new SealedChannel(authenticator, 2).seal(from(9002, 7));
    changed[20] ^= 1;
    assertThatThrownBy(() -> channel.open(changed, SELF)).hasMessageContaining("seal");
  }

  @Test
  void onlyTheLatestSendersAreRemembered() throws MalformedMessageException {
    byte[] first = new SealedChannel(authenticator, 2).seal(from(9002, 7));
    byte[] third = new SealedChannel(authenticator, 2).seal(from(9004, 7));
    channel.open(first, SELF);
    channel.open(new SealedChannel(authenticator, 2).seal(from(9003, 7)), SELF);
    channel.open(third, SELF);
    // Accepted again, as its sender was forgotten.
    assertThat(channel.open(first, SELF).fromFormerIncarnation()).isFalse();
    assertThatThrownBy(() -> channel.open(third, SELF))
        .isInstanceOf(MalformedMessageException.class);
  }
}
