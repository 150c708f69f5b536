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
import tamarindroute.membership.Message;
import tamarindroute.membership.Rumour;
import tamarindroute.membership.Standing;
import tamarindroute.protocol.MalformedException;

/** Letters there and back, and what damage makes of them. */
class EnvelopesTest {

  private static final Member SELF = new Member(new Address("127.0.0.1", 9001), 17);

  @Provide
  Arbitrary<Letter> letters() {
    Arbitrary<Address> addresses =
        Combinators.combine(
                Arbitraries.of("127.0.0.1", "10.20.30.40", "::1", "fe80:0:0:0:1234:5678:9abc:def0"),
                Arbitraries.integers().between(1, 65_535))
            .as(Address::new);
    Arbitrary<Long> numbers = Arbitraries.longs().between(0, Long.MAX_VALUE);
    Arbitrary<Member> members = Combinators.combine(addresses, numbers).as(Member::new);
    Arbitrary<Rumour> rumours =
        Combinators.combine(members, Arbitraries.of(Standing.values()), numbers, addresses)
            .as(Rumour::new);
    Arbitrary<Letter> said =
        Combinators.combine(
                Arbitraries.of(Message.Kind.values()),
                members,
                numbers,
                numbers,
                members,
                rumours.list().ofMaxSize(24))
            .as(Message::new)
            .map(Letter::of);
    Arbitrary<byte[]> bytes = Arbitraries.bytes().array(byte[].class).ofMaxSize(3000);
    Arbitrary<Letter.Lease> leases =
        Combinators.combine(
                Arbitraries.integers().between(0, Integer.MAX_VALUE),
                Arbitraries.of(Letter.LeaseKind.values()),
                numbers,
                numbers,
                numbers,
                Arbitraries.integers()
                    .between(0, Integer.MAX_VALUE)
                    .map(ms -> Duration.ofMillis(ms)))
            .as(Letter.Lease::new);
    return Arbitraries.oneOf(
        said,
        Combinators.combine(members, numbers, leases).as((m, n, l) -> Letter.of(m, n, l)),
        Combinators.combine(members, numbers, bytes)
            .as((m, n, b) -> Letter.of(m, n, new Letter.Facts(b))),
        Combinators.combine(members, numbers, bytes)
            .as((m, n, b) -> Letter.of(m, n, new Letter.Agreement(b))));
  }

  @Property(tries = 500, seed = "28")
  void whatIsWrittenIsReadAsItWas(@ForAll("letters") Letter letter) throws MalformedException {
    assertThat(Envelopes.read(Envelopes.write(letter))).isEqualTo(letter);
  }

  /**
   * A damaged letter is refused, or is one within the same bounds, which can be written and read
   * again.
   */
  @Property(tries = 2000, seed = "281")
  void damageIsRefusedOrWithinBounds(
      @ForAll("letters") Letter letter, @ForAll int place, @ForAll byte flip, @ForAll boolean cut)
      throws MalformedException {
    byte[] bytes = Envelopes.write(letter);
    int at = Math.floorMod(place, bytes.length);
    byte[] damaged = cut ? Arrays.copyOf(bytes, at) : bytes;
    if (!cut) {
      damaged[at] ^= flip;
    }
    refusedOrWithinBounds(damaged);
  }

  @Property(tries = 2000, seed = "282")
  void noiseIsRefusedOrWithinBounds(@ForAll byte[] noise) throws MalformedException {
    refusedOrWithinBounds(noise);
  }

  private static void refusedOrWithinBounds(byte[] bytes) throws MalformedException {
    Letter read;
    try {
      read = Envelopes.read(bytes);
    } catch (MalformedException e) {
      assertThat(e.getMessage()).isNotBlank();
      return;
    }
    assertThat(Envelopes.read(Envelopes.write(read))).isEqualTo(read);
  }

  @Test
  void theLastRumoursStayOutWhereAllHaveNoRoom() throws MalformedException {
    Address far = new Address("fe80:1111:2222:3333:1234:5678:9abc:def0", 65_535);
    List<Rumour> many =
        Collections.nCopies(
            64, new Rumour(new Member(far, Long.MAX_VALUE), Standing.ALIVE, Long.MAX_VALUE, far));
    byte[] bytes =
        Envelopes.write(Letter.of(new Message(Message.Kind.EXCHANGE, SELF, 0, 3, SELF, many)));
    assertThat(bytes.length).isBetween(Envelopes.LARGEST - 150, Envelopes.LARGEST);
    Message read = ((Letter.Said) Envelopes.read(bytes).body()).message();
    assertThat(read.rumours()).hasSizeBetween(30, 63).allMatch(many.get(0)::equals);
    List<Rumour> near =
        Collections.nCopies(
            64,
            new Rumour(
                new Member(new Address("192.168.111.222", 65_535), 1_800_000_000_000L),
                Standing.ALIVE,
                1_000,
                new Address("192.168.111.222", 65_535)));
    Message all = new Message(Message.Kind.EXCHANGE, SELF, 0, 3, SELF, near);
    assertThat(Envelopes.read(Envelopes.write(Letter.of(all))).body())
        .isEqualTo(new Letter.Said(all));
  }

  @Test
  void eachBoundIsKept() throws Exception {
    Envelope sound =
        Envelope.parseFrom(
            Envelopes.write(
                Letter.of(
                    new Message(
                        Message.Kind.PROBE,
                        SELF,
                        0,
                        3,
                        SELF,
                        List.of(new Rumour(SELF, Standing.AWAY, 1, SELF.address()))))));
    Envelopes.read(sound.toByteArray());
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
      assertThatThrownBy(() -> Envelopes.read(one.build().toByteArray()))
          .as(one.toString())
          .isInstanceOf(MalformedException.class);
    }
    assertThatThrownBy(() -> Envelopes.read(new byte[Envelopes.LARGEST + 1]))
        .isInstanceOf(MalformedException.class)
        .hasMessageContaining("longer");
  }

  private static Envelope.Builder changed(
      Envelope sound, java.util.function.Consumer<Envelope.Builder> change) {
    Envelope.Builder changed = sound.toBuilder();
    change.accept(changed);
    return changed;
  }
}
