package tamarindroute.members.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.function.Consumer;
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

/** Round trips of member messages, and the decoding of damaged bytes. */
class MemberMessageCodecTest {

  private static final Member SELF = new Member(new Address("127.0.0.1", 9001), 17);

  private static final Arbitrary<Long> NUMBERS = Arbitraries.longs().between(0, Long.MAX_VALUE);

  @Provide
  Arbitrary<MemberMessage> messages() {
    Arbitrary<byte[]> bytes = Arbitraries.bytes().array(byte[].class).ofMaxSize(3000);
    return Arbitraries.oneOf(
        membershipMessages(),
        messagesWith(leases()),
        messagesWith(bytes.map(MemberMessage.FactsPayload::new)),
        messagesWith(bytes.map(MemberMessage.AgreementPayload::new)));
  }

  private static <P extends MemberMessage.Payload> Arbitrary<MemberMessage> messagesWith(
      Arbitrary<P> payloads) {
    return Combinators.combine(members(), NUMBERS, payloads)
        .as((sender, incarnation, payload) -> MemberMessage.of(sender, incarnation, payload));
  }

  private static Arbitrary<Address> addresses() {
    return Combinators.combine(
            Arbitraries.of("127.0.0.1", "10.20.30.40", "::1", "fe80:0:0:0:1234:5678:9abc:def0"),
            Arbitraries.integers().between(1, 65_535))
        .as(Address::new);
  }

  private static Arbitrary<Member> members() {
    return Combinators.combine(addresses(), NUMBERS).as(Member::new);
  }

  private static Arbitrary<MemberMessage> membershipMessages() {
    Arbitrary<MembershipUpdate> updates =
        Combinators.combine(members(), Arbitraries.of(MemberState.values()), NUMBERS, addresses())
            .as(MembershipUpdate::new);
    return Combinators.combine(
            Arbitraries.of(Message.Kind.values()),
            members(),
            NUMBERS,
            NUMBERS,
            members(),
            updates.list().ofMaxSize(24))
        .as(Message::new)
        .map(MemberMessage::of);
  }

  private static Arbitrary<MemberMessage.LeasePayload> leases() {
    Arbitrary<Integer> integers = Arbitraries.integers().between(0, Integer.MAX_VALUE);
    return Combinators.combine(
            integers,
            Arbitraries.of(MemberMessage.LeaseKind.values()),
            NUMBERS,
            NUMBERS,
            NUMBERS,
            integers.map(Duration::ofMillis))
        .as(MemberMessage.LeasePayload::new);
  }

  @Property(tries = 500, seed = "28")
  void messagesSurviveARoundTrip(@ForAll("messages") MemberMessage message)
      throws MalformedMessageException {
    assertThat(MemberMessageCodec.decode(MemberMessageCodec.encode(message))).isEqualTo(message);
  }

  /** What damaged bytes decode to, if anything, is within the same bounds. */
  @Property(tries = 2000, seed = "281")
  void damagedBytesAreRejectedOrDecodeWithinBounds(
      @ForAll("messages") MemberMessage message,
      @ForAll int index,
      @ForAll byte flip,
      @ForAll boolean cut)
      throws MalformedMessageException {
    byte[] bytes = MemberMessageCodec.encode(message);
    int damagedIndex = Math.floorMod(index, bytes.length);
    byte[] damaged = cut ? Arrays.copyOf(bytes, damagedIndex) : bytes;
    if (!cut) {
      damaged[damagedIndex] ^= flip;
    }
    assertRejectedOrWithinBounds(damaged);
  }

  @Property(tries = 2000, seed = "282")
  void randomBytesAreRejectedOrDecodeWithinBounds(@ForAll byte[] bytes)
      throws MalformedMessageException {
    assertRejectedOrWithinBounds(bytes);
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
    Address longAddress = new Address("fe80:1111:2222:3333:1234:5678:9abc:def0", 65_535);
    List<MembershipUpdate> longUpdates =
        Collections.nCopies(
            64,
            new MembershipUpdate(
                new Member(longAddress, Long.MAX_VALUE),
                MemberState.ALIVE,
                Long.MAX_VALUE,
                longAddress));
    byte[] bytes =
        MemberMessageCodec.encode(
            MemberMessage.of(new Message(Message.Kind.EXCHANGE, SELF, 0, 3, SELF, longUpdates)));
    assertThat(bytes.length)
        .isBetween(
            MemberMessageCodec.MAX_MESSAGE_BYTES - 150, MemberMessageCodec.MAX_MESSAGE_BYTES);
    Message read =
        ((MemberMessage.MembershipPayload) MemberMessageCodec.decode(bytes).payload()).message();
    assertThat(read.updates()).hasSizeBetween(30, 63).allMatch(longUpdates.get(0)::equals);
    List<MembershipUpdate> shortUpdates =
        Collections.nCopies(
            64,
            new MembershipUpdate(
                new Member(new Address("192.168.111.222", 65_535), 1_800_000_000_000L),
                MemberState.ALIVE,
                1_000,
                new Address("192.168.111.222", 65_535)));
    Message allFit = new Message(Message.Kind.EXCHANGE, SELF, 0, 3, SELF, shortUpdates);
    assertThat(
            MemberMessageCodec.decode(MemberMessageCodec.encode(MemberMessage.of(allFit)))
                .payload())
        .isEqualTo(new MemberMessage.MembershipPayload(allFit));
  }

  @Test
  void everyBoundIsEnforced() throws Exception {
    Envelope valid =
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
                            new MembershipUpdate(SELF, MemberState.FAULTY, 1, SELF.address()))))));
    MemberMessageCodec.decode(valid.toByteArray());
    List<Envelope.Builder> invalid = new ArrayList<>(invalidEnvelopes(valid));
    invalid.addAll(invalidMembershipMessages(valid));
    for (Envelope.Builder envelope : invalid) {
      assertThatThrownBy(() -> MemberMessageCodec.decode(envelope.build().toByteArray()))
          .as(envelope.toString())
          .isInstanceOf(MalformedMessageException.class);
    }
    assertThatThrownBy(
            () -> MemberMessageCodec.decode(new byte[MemberMessageCodec.MAX_MESSAGE_BYTES + 1]))
        .isInstanceOf(MalformedMessageException.class)
        .hasMessageContaining("longer");
  }

  private static List<Envelope.Builder> invalidEnvelopes(Envelope valid) {
    List<Envelope.Builder> invalid = new ArrayList<>();
    invalid.add(valid.toBuilder().setVersion(2).setHighestVersion(2));
    invalid.add(valid.toBuilder().setLowestVersion(2));
    invalid.add(valid.toBuilder().setHighestVersion(-1));
    invalid.add(valid.toBuilder().clearSender());
    invalid.add(valid.toBuilder().clearPayload());
    invalid.add(valid.toBuilder().setTargetIncarnation(-1));
    for (String host : List.of("", "localhost", "bad", "127.0.0.1\n", "1".repeat(46) + ":")) {
      invalid.add(changed(valid, envelope -> envelope.getSenderBuilder().setHost(host)));
    }
    invalid.add(changed(valid, envelope -> envelope.getSenderBuilder().setPort(65_536)));
    invalid.add(changed(valid, envelope -> envelope.getSenderBuilder().setIncarnation(-1)));
    return invalid;
  }

  private static List<Envelope.Builder> invalidMembershipMessages(Envelope valid) {
    List<Envelope.Builder> invalid = new ArrayList<>();
    invalid.add(changed(valid, envelope -> envelope.getMembershipBuilder().setKindValue(99)));
    invalid.add(changed(valid, envelope -> envelope.getMembershipBuilder().setKindValue(0)));
    invalid.add(changed(valid, envelope -> envelope.getMembershipBuilder().setRequestId(-1)));
    invalid.add(
        changed(
            valid,
            envelope -> envelope.getMembershipBuilder().getUpdatesBuilder(0).setStateValue(6)));
    invalid.add(
        changed(
            valid,
            envelope -> envelope.getMembershipBuilder().getUpdatesBuilder(0).setRefutation(-1)));
    invalid.add(
        changed(
            valid,
            envelope -> envelope.getMembershipBuilder().getUpdatesBuilder(0).setObserverPort(0)));
    invalid.add(
        changed(
            valid, envelope -> envelope.getMembershipBuilder().getUpdatesBuilder(0).clearMember()));
    return invalid;
  }

  private static Envelope.Builder changed(Envelope valid, Consumer<Envelope.Builder> change) {
    Envelope.Builder changed = valid.toBuilder();
    change.accept(changed);
    return changed;
  }
}
