package tamarindroute.members.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import tamarindroute.members.wire.form.Envelope;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;
import tamarindroute.membership.MemberState;
import tamarindroute.membership.MembershipUpdate;
import tamarindroute.membership.Message;
import tamarindroute.protocol.MalformedMessageException;

/** Letters there and back, and what damage makes of them. */
class MemberMessageCodecTest {

  private static final Member SELF = new Member(new Address("127.0.0.1", 9001), 17);

  @Provide
  Arbitrary<MemberMessage> messages() {
    Arbitrary<Address> addresses =
        Combinators.combine(
                Arbitraries.of("127.0.0.1", "10.20.30.40", "::1", "fe80:0:0:0:1234:5678:9abc:def0"),
                Arbitraries.integers().between(1, 65_535))
            .as(Address::new);
    Arbitrary<Long> numbers = Arbitraries.longs().between(0, Long.MAX_VALUE);
    Arbitrary<Member> members = Combinators.combine(addresses, numbers).as(Member::new);
    Arbitrary<MembershipUpdate> rumours =
        Combinators.combine(members, Arbitraries.of(MemberState.values()), numbers, addresses)
            .as(MembershipUpdate::new);
    Arbitrary<MemberMessage> said =
        Combinators.combine(
                Arbitraries.of(Message.Kind.values()),
                members,
                numbers,
                numbers,
                members,
                rumours.list().ofMaxSize(24))
            .as(Message::new)
            .map(MemberMessage::of);
    Arbitrary<byte[]> bytes = Arbitraries.bytes().array(byte[].class).ofMaxSize(3000);
    Arbitrary<MemberMessage.LeasePayload> leases =
        Combinators.combine(
                Arbitraries.integers().between(0, Integer.MAX_VALUE),
                Arbitraries.of(MemberMessage.LeaseKind.values()),
                numbers,
                numbers,
                numbers,
                Arbitraries.integers()
                    .between(0, Integer.MAX_VALUE)
                    .map(ms -> Duration.ofMillis(ms)))
            .as(MemberMessage.LeasePayload::new);
    return Arbitraries.oneOf(
        said,
        Combinators.combine(members, numbers, leases).as((m, n, l) -> MemberMessage.of(m, n, l)),
        Combinators.combine(members, numbers, bytes)
            .as((m, n, b) -> MemberMessage.of(m, n, new MemberMessage.FactsPayload(b))),
        Combinators.combine(members, numbers, bytes)
            .as((m, n, b) -> MemberMessage.of(m, n, new MemberMessage.AgreementPayload(b))));
  }

  @Property(tries = 500, seed = "28")
  void messagesSurviveARoundTrip(@ForAll("letters") MemberMessage message)
      throws MalformedMessageException {
    assertThat(MemberMessageCodec.decode(MemberMessageCodec.encode(message))).isEqualTo(message);
  }

  /**
   * A damaged letter is refused, or is one within the same bounds, which can be written and read
   * again.
   */
  @Property(tries = 2000, seed = "281")
  void damagedBytesAreRejectedOrDecodeWithinBounds(
      @ForAll("letters") MemberMessage message,
      @ForAll int place,
      @ForAll byte flip,
      @ForAll boolean cut)
      throws MalformedMessageException {
    byte[] bytes = MemberMessageCodec.encode(message);
    int at = Math.floorMod(place, bytes.length);
    byte[] damaged = cut ? Arrays.copyOf(bytes, at) : bytes;
    if (!cut) {
      damaged[at] ^= flip;
    }
    assertRejectedOrWithinBounds(damaged);
  }

  @Property(tries = 2000, seed = "282")
  void randomBytesAreRejectedOrDecodeWithinBounds(@ForAll byte[] noise)
      throws MalformedMessageException {
    assertRejectedOrWithinBounds(noise);
  }

  private static void assertRejectedOrWithinBounds(byte[] bytes) throws MalformedMessageException {
    MemberMessage read;
    try {
      read = MemberMessageCodec.decode(bytes);
    } catch (MalformedMessageException e) {
      assertThat(e.getMessage()).isNotBlank();
      return;
    }
    assertThat(MemberMessageCodec.decode(MemberMessageCodec.encode(read))).isEqualTo(read);
  }

  @Test
  void lastUpdatesAreLeftOutWhenTheMessageIsFull() throws MalformedMessageException {
    Address far = new Address("fe80:1111:2222:3333:1234:5678:9abc:def0", 65_535);
    List<MembershipUpdate> many =
        Collections.nCopies(
            64,
            new MembershipUpdate(
                new Member(far, Long.MAX_VALUE), MemberState.ALIVE, Long.MAX_VALUE, far));
    byte[] bytes =
        MemberMessageCodec.encode(
            MemberMessage.of(new Message(Message.Kind.EXCHANGE, SELF, 0, 3, SELF, many)));
    assertThat(bytes.length)
        .isBetween(
            MemberMessageCodec.MAX_MESSAGE_BYTES - 150, MemberMessageCodec.MAX_MESSAGE_BYTES);
    Message read =
        ((MemberMessage.MembershipPayload) MemberMessageCodec.decode(bytes).payload()).message();
    assertThat(read.updates()).hasSizeBetween(30, 63).allMatch(many.get(0)::equals);
    List<MembershipUpdate> near =
        Collections.nCopies(
            64,
            new MembershipUpdate(
                new Member(new Address("192.168.111.222", 65_535), 1_800_000_000_000L),
                MemberState.ALIVE,
                1_000,
                new Address("192.168.111.222", 65_535)));
    Message all = new Message(Message.Kind.EXCHANGE, SELF, 0, 3, SELF, near);
    assertThat(
            MemberMessageCodec.decode(MemberMessageCodec.encode(MemberMessage.of(all))).payload())
        .isEqualTo(new MemberMessage.MembershipPayload(all));
  }

  @Test
  void everyBoundIsEnforced() throws Exception {
    Envelope sound =
        Envelope.parseFrom(
            MemberMessageCodec.encode(
                MemberMessage.of(
                    new Message(
                        Message.Kind.PROBE,
                        SELF,
                        0,
                        3,
                        SELF,
                        List.of(
                            new MembershipUpdate(SELF, MemberState.AWAY, 1, SELF.address()))))));
    MemberMessageCodec.decode(sound.toByteArray());
    List<Envelope.Builder> wrong = new ArrayList<>();
    wrong.add(sound.toBuilder().setLevel(2).setHighest(2));
    wrong.add(sound.toBuilder().setLowest(2));
    wrong.add(sound.toBuilder().setHighest(-1));
    wrong.add(sound.toBuilder().clearSender());
    wrong.add(sound.toBuilder().clearBody());
    wrong.add(sound.toBuilder().setToBirth(-1));
    for (String host : List.of("", "localhost", "bad", "127.0.0.1\n", "1".repeat(46) + ":")) {
      wrong.add(changed(sound, envelope -> envelope.getSenderBuilder().setHost(host)));
    }
    wrong.add(changed(sound, envelope -> envelope.getSenderBuilder().setPort(65_536)));
    wrong.add(changed(sound, envelope -> envelope.getSenderBuilder().setBirth(-1)));
    wrong.add(changed(sound, envelope -> envelope.getMembershipBuilder().setKindValue(99)));
    wrong.add(changed(sound, envelope -> envelope.getMembershipBuilder().setKindValue(0)));
    wrong.add(changed(sound, envelope -> envelope.getMembershipBuilder().setNumber(-1)));
    wrong.add(
        changed(
            sound,
            envelope -> envelope.getMembershipBuilder().getRumoursBuilder(0).setStandingValue(6)));
    wrong.add(
        changed(
            sound,
            envelope -> envelope.getMembershipBuilder().getRumoursBuilder(0).setIncarnation(-1)));
    wrong.add(
        changed(
            sound,
            envelope -> envelope.getMembershipBuilder().getRumoursBuilder(0).setObserverPort(0)));
    wrong.add(
        changed(
            sound, envelope -> envelope.getMembershipBuilder().getRumoursBuilder(0).clearAbout()));
    for (Envelope.Builder one : wrong) {
      assertThatThrownBy(() -> MemberMessageCodec.decode(one.build().toByteArray()))
          .as(one.toString())
          .isInstanceOf(MalformedMessageException.class);
    }
    assertThatThrownBy(
            () -> MemberMessageCodec.decode(new byte[MemberMessageCodec.MAX_MESSAGE_BYTES + 1]))
        .isInstanceOf(MalformedMessageException.class)
        .hasMessageContaining("longer");
  }

  private static Envelope.Builder changed(
      Envelope sound, java.util.function.Consumer<Envelope.Builder> change) {
    Envelope.Builder changed = sound.toBuilder();
    change.accept(changed);
    return changed;
  }
}
