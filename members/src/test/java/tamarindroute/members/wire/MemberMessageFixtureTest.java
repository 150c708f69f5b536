package tamarindroute.members.wire;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;
import tamarindroute.membership.MemberState;
import tamarindroute.membership.MembershipUpdate;
import tamarindroute.membership.Message;

/** The wire format of each member message, pinned byte for byte. */
class MemberMessageFixtureTest {

  private static final Member SENDER =
      new Member(new Address("127.0.0.1", 9001), 1_700_000_000_123L);
  private static final Member OTHER = new Member(new Address("fe80:0:0:0:1:2:3:4", 65_535), 17);

  /** The envelope's fields up to the body: levels, sender, and incarnation 9 of the receiver. */
  private static final String HEAD =
      "08011001180122150a093132372e302e302e3110a94618fbd095ffbc312809";

  static List<Arguments> messages() {
    List<Arguments> messages = new ArrayList<>();
    Map<Message.Kind, String> kinds =
        Map.ofEntries(
            Map.entry(Message.Kind.PROBE, "3205080110ac02"),
            Map.entry(Message.Kind.ACK, "3205080210ac02"),
            Map.entry(Message.Kind.INDIRECT_PROBE, "3205080310ac02"),
            Map.entry(Message.Kind.NACK, "3205080410ac02"),
            Map.entry(Message.Kind.JOIN, "3205080510ac02"),
            Map.entry(Message.Kind.WELCOME, "3205080610ac02"),
            Map.entry(Message.Kind.SUPERSEDED, "3205080710ac02"),
            Map.entry(Message.Kind.EXCHANGE, "3205080810ac02"),
            Map.entry(Message.Kind.EXCHANGE_REPLY, "3205080910ac02"),
            Map.entry(Message.Kind.LEAVE, "3205080a10ac02"),
            Map.entry(Message.Kind.GOSSIP, "3205080b10ac02"));
    for (Message.Kind kind : Message.Kind.values()) {
      messages.add(Arguments.of(swim(kind, SENDER, List.of()), HEAD + kinds.get(kind)));
    }
    List<String> states =
        List.of(
            "3251080b10ac021a1a0a12666538303a303a303a303a313a323a333a3410ffff031811222e0a1a0a12666538"
                + "303a303a303a303a313a323a333a3410ffff0318111001180322093132372e302e302e3128a946",
            "3251080b10ac021a1a0a12666538303a303a303a303a313a323a333a3410ffff031811222e0a1a0a12666538"
                + "303a303a303a303a313a323a333a3410ffff0318111002180322093132372e302e302e3128a946",
            "3251080b10ac021a1a0a12666538303a303a303a303a313a323a333a3410ffff031811222e0a1a0a12666538"
                + "303a303a303a303a313a323a333a3410ffff0318111003180322093132372e302e302e3128a946",
            "3251080b10ac021a1a0a12666538303a303a303a303a313a323a333a3410ffff031811222e0a1a0a12666538"
                + "303a303a303a303a313a323a333a3410ffff0318111004180322093132372e302e302e3128a946",
            "3251080b10ac021a1a0a12666538303a303a303a303a313a323a333a3410ffff031811222e0a1a0a12666538"
                + "303a303a303a303a313a323a333a3410ffff0318111005180322093132372e302e302e3128a946");
    for (MemberState state : MemberState.values()) {
      messages.add(
          Arguments.of(
              swim(
                  Message.Kind.GOSSIP,
                  OTHER,
                  List.of(new MembershipUpdate(OTHER, state, 3, SENDER.address()))),
              HEAD + states.get(state.ordinal())));
    }
    messages.add(
        Arguments.of(
            letter(new MemberMessage.FactsPayload(new byte[] {1, -1, 127})), HEAD + "3a0301ff7f"));
    messages.add(
        Arguments.of(
            letter(new MemberMessage.AgreementPayload(new byte[] {0, -128})), HEAD + "42020080"));
    messages.add(
        Arguments.of(
            letter(new MemberMessage.FeedEventsPayload(41, List.of())), HEAD + "4a020829"));
    messages.add(
        Arguments.of(
            letter(
                new MemberMessage.FeedEventsPayload(
                    42,
                    List.of(
                        new MemberMessage.FeedEvent(41, 0xFEDC_BA98L, "{\"n\":41}"),
                        new MemberMessage.FeedEvent(42, 1, "{\"n\":42}")))),
            HEAD
                + "4a26082a121208291098f5f2f60f1a087b226e223a34317d120e082a10011a087b226e223a34327d"));
    List<String> leases =
        List.of(
            "52140802100118fbd095ffbc3120052890a10f30b817",
            "52140802100218fbd095ffbc3120052890a10f30b817",
            "52140802100318fbd095ffbc3120052890a10f30b817",
            "52140802100418fbd095ffbc3120052890a10f30b817",
            "52140802100518fbd095ffbc3120052890a10f30b817");
    for (MemberMessage.LeaseKind kind : MemberMessage.LeaseKind.values()) {
      messages.add(
          Arguments.of(
              letter(
                  new MemberMessage.LeasePayload(
                      2, kind, 1_700_000_000_123L, 5, 250_000, Duration.ofMillis(3_000))),
              HEAD + leases.get(kind.ordinal())));
    }
    return messages;
  }

  private static MemberMessage swim(
      Message.Kind kind, Member about, List<MembershipUpdate> updates) {
    return MemberMessage.of(new Message(kind, SENDER, 9, 300, about, updates));
  }

  private static MemberMessage letter(MemberMessage.Payload payload) {
    return MemberMessage.of(SENDER, 9, payload);
  }

  @ParameterizedTest
  @MethodSource("messages")
  void messageIsWrittenAndReadAsTheseBytes(MemberMessage message, String hex) throws Exception {
    assertThat(HexFormat.of().formatHex(MemberMessageCodec.encode(message))).isEqualTo(hex);
    assertThat(MemberMessageCodec.decode(HexFormat.of().parseHex(hex))).isEqualTo(message);
  }

  @Test
  void unknownTargetIncarnationIsLeftOut() {
    MemberMessage message =
        MemberMessage.of(
            SENDER, 0, new MemberMessage.FactsPayload("x".getBytes(StandardCharsets.UTF_8)));
    assertThat(HexFormat.of().formatHex(MemberMessageCodec.encode(message)))
        .isEqualTo("08011001180122150a093132372e302e302e3110a94618fbd095ffbc313a0178");
  }

  @Test
  void enumOrderIsTheOrderOfTheFixtures() {
    assertThat(Arrays.stream(Message.Kind.values()).map(Enum::ordinal)).hasSize(11);
    assertThat(MemberState.values()).hasSize(5);
    assertThat(MemberMessage.LeaseKind.values()).hasSize(5);
  }
}
