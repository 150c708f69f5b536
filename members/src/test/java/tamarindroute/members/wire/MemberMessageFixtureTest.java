package tamarindroute.members.wire;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
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

  /** The envelope up to the payload: versions, sender, and target incarnation 9. */
  private static final String HEAD =
      "08011001180122150a093132372e302e302e3110a94618fbd095ffbc312809";

  private static final Map<Message.Kind, String> MEMBERSHIP_PAYLOADS =
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

  /** Gossip about one member in each state, in the order of the states. */
  private static final List<String> STATE_PAYLOADS =
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

  /** In the order of the kinds. */
  private static final List<String> LEASE_PAYLOADS =
      List.of(
          "52140802100118fbd095ffbc3120052890a10f30b817",
          "52140802100218fbd095ffbc3120052890a10f30b817",
          "52140802100318fbd095ffbc3120052890a10f30b817",
          "52140802100418fbd095ffbc3120052890a10f30b817",
          "52140802100518fbd095ffbc3120052890a10f30b817");

  static List<Arguments> membershipMessages() {
    List<Arguments> messages = new ArrayList<>();
    for (Message.Kind kind : Message.Kind.values()) {
      String hex = HEAD + MEMBERSHIP_PAYLOADS.get(kind);
      messages.add(Arguments.of(membership(kind, SENDER, List.of()), hex));
    }
    for (MemberState state : MemberState.values()) {
      MembershipUpdate update = new MembershipUpdate(OTHER, state, 3, SENDER.address());
      String hex = HEAD + STATE_PAYLOADS.get(state.ordinal());
      messages.add(Arguments.of(membership(Message.Kind.GOSSIP, OTHER, List.of(update)), hex));
    }
    return messages;
  }

  static List<Arguments> leaseMessages() {
    List<Arguments> messages = new ArrayList<>();
    for (MemberMessage.LeaseKind kind : MemberMessage.LeaseKind.values()) {
      MemberMessage.LeasePayload lease =
          new MemberMessage.LeasePayload(
              2, kind, 1_700_000_000_123L, 5, 250_000, Duration.ofSeconds(3));
      messages.add(Arguments.of(message(lease), HEAD + LEASE_PAYLOADS.get(kind.ordinal())));
    }
    return messages;
  }

  static List<Arguments> otherMessages() {
    List<MemberMessage.FeedEvent> events =
        List.of(
            new MemberMessage.FeedEvent(41, 0xFEDC_BA98L, "{\"n\":41}"),
            new MemberMessage.FeedEvent(42, 1, "{\"n\":42}"));
    String eventsHex =
        "4a26082a121208291098f5f2f60f1a087b226e223a34317d120e082a10011a087b226e223a34327d";
    return List.of(
        Arguments.of(
            message(new MemberMessage.FactsPayload(new byte[] {1, -1, 127})), HEAD + "3a0301ff7f"),
        Arguments.of(
            message(new MemberMessage.AgreementPayload(new byte[] {0, -128})), HEAD + "42020080"),
        Arguments.of(
            message(new MemberMessage.FeedEventsPayload(41, List.of())), HEAD + "4a020829"),
        Arguments.of(message(new MemberMessage.FeedEventsPayload(42, events)), HEAD + eventsHex));
  }

  private static MemberMessage membership(
      Message.Kind kind, Member subject, List<MembershipUpdate> updates) {
    return MemberMessage.of(new Message(kind, SENDER, 9, 300, subject, updates));
  }

  private static MemberMessage message(MemberMessage.Payload payload) {
    return MemberMessage.of(SENDER, 9, payload);
  }

  @ParameterizedTest
  @MethodSource({"membershipMessages", "leaseMessages", "otherMessages"})
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
  void everyConstantHasAFixture() {
    assertThat(MEMBERSHIP_PAYLOADS).containsOnlyKeys(Message.Kind.values()).hasSize(11);
    assertThat(MemberState.values()).hasSameSizeAs(STATE_PAYLOADS).hasSize(5);
    assertThat(MemberMessage.LeaseKind.values()).hasSameSizeAs(LEASE_PAYLOADS).hasSize(5);
  }
}
