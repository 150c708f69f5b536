package tamarindroute.agreement.wire;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import tamarindroute.agreement.Agreement.ProposalResult;
import tamarindroute.agreement.Agreement.ProposalStatus;
import tamarindroute.agreement.Command;
import tamarindroute.agreement.MembershipView;
import tamarindroute.agreement.ReplicatedEntry;
import tamarindroute.agreement.ViewLease;
import tamarindroute.agreement.ViewLimits;
import tamarindroute.agreement.ViewResponse;
import tamarindroute.agreement.proto.CommandProto;
import tamarindroute.agreement.proto.EnvelopeProto;
import tamarindroute.agreement.proto.ProposalProto;
import tamarindroute.agreement.proto.ViewResponseProto;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;

/**
 * Encoding and limits of the messages between members and voters. Guards against messages of faulty
 * peers that throw an exception or are decoded beyond the limits, and against views that are too
 * large to send.
 */
class AgreementMessageCodecTest {

  private static final Member MEMBER = new Member(new Address("cache.example", 7000), 9);
  private static final Command PUT = new Command.Put("window/1", 4, "w", new byte[] {0, 1});

  private static ViewResponse sampleResponse() {
    TreeMap<String, ReplicatedEntry> entries = new TreeMap<>();
    entries.put("level/1", new ReplicatedEntry("l", new byte[] {5}, 3));
    MembershipView view = new MembershipView(7, 4, 2, List.of(MEMBER), List.of(MEMBER), entries);
    return new ViewResponse(
        1, true, Optional.of(MEMBER), Duration.ofSeconds(10), 7, Optional.of(view), List.of());
  }

  @Test
  void encodedMessagesDecodeToSameValues() {
    assertThat(DecodedMessage.decode(AgreementMessageCodec.encodeViewReply(sampleResponse())))
        .contains(new DecodedMessage.ViewReply(sampleResponse()));
    ViewResponse withCommands =
        new ViewResponse(
            1,
            true,
            Optional.empty(),
            Duration.ofSeconds(1),
            7,
            Optional.empty(),
            List.of(
                new Command.Remove("a", 3),
                new Command.MembershipChange(4, List.of(MEMBER), List.of()),
                new Command.SetVoters(5, List.of(MEMBER)),
                new Command.NoOp()));
    assertThat(DecodedMessage.decode(AgreementMessageCodec.encodeViewReply(withCommands)))
        .contains(new DecodedMessage.ViewReply(withCommands));
    ProposalResult result =
        new ProposalResult(ProposalStatus.REJECTED, 4, "why", Optional.of(MEMBER));
    assertThat(DecodedMessage.decode(AgreementMessageCodec.encodeProposalReply(8, result)))
        .contains(new DecodedMessage.ProposalReply(8, result));
    assertThat(
            DecodedMessage.decode(AgreementMessageCodec.encodeOffer(MEMBER, List.of(MEMBER), true)))
        .contains(new DecodedMessage.BootstrapOffer(MEMBER, List.of(MEMBER), true));
    DecodedMessage.Proposal proposal =
        (DecodedMessage.Proposal)
            DecodedMessage.decode(AgreementMessageCodec.encodeProposal(3, PUT)).orElseThrow();
    assertThat(((Command.Put) proposal.command()).value()).containsExactly(0, 1);
    ViewLease lease = ViewLease.initial(MEMBER).requestSent(Duration.ZERO);
    assertThat(DecodedMessage.decode(AgreementMessageCodec.encodeViewRequest(lease)))
        .contains(new DecodedMessage.ViewRequest(lease.requestNumber(), 0, 0));
  }

  /**
   * A truncated or changed message is either decoded within the limits or not at all. Decoding does
   * not throw an exception.
   */
  @Property(seed = "33", tries = 2_000)
  void damagedMessagesAreNotDecodedOutOfLimits(
      @ForAll @IntRange(max = 200) int length, @ForAll @IntRange(max = 255) int change) {
    byte[] encoded = AgreementMessageCodec.encodeViewReply(sampleResponse());
    byte[] damaged = Arrays.copyOf(encoded, Math.min(length, encoded.length));
    if (damaged.length > 0) {
      damaged[change % damaged.length] ^= (byte) (1 + change % 255);
    }
    DecodedMessage.decode(damaged)
        .ifPresent(
            decoded ->
                assertThat(
                        decoded instanceof DecodedMessage.ViewReply reply
                            && (reply.response().lease().isNegative()
                                || reply.response().lease().compareTo(ViewLease.MAX_LEASE) > 0))
                    .isFalse());
  }

  @Test
  void messagesBeyondLimitsAreNotDecoded() {
    CommandProto tooLarge =
        CommandProto.newBuilder()
            .setKind(CommandProto.Kind.PUT)
            .setKey("k")
            .setType("t")
            .setValue(ByteString.copyFrom(new byte[ViewLimits.MAX_VALUE_BYTES + 1]))
            .build();
    assertThat(
            DecodedMessage.decode(
                EnvelopeProto.newBuilder()
                    .setProposal(ProposalProto.newBuilder().setCommand(tooLarge))
                    .build()
                    .toByteArray()))
        .isEmpty();
    ViewResponseProto.Builder tooMany = ViewResponseProto.newBuilder();
    IntStream.rangeClosed(0, AgreementMessageCodec.MAX_REPLAYED_COMMANDS)
        .forEach(i -> tooMany.addCommands(ViewCodec.toProto(PUT)));
    assertThat(
            DecodedMessage.decode(
                EnvelopeProto.newBuilder().setViewResponse(tooMany).build().toByteArray()))
        .isEmpty();
    ViewResponseProto tooLong =
        ViewResponseProto.newBuilder().setLeaseMillis(ViewLease.MAX_LEASE.toMillis() + 1).build();
    assertThat(
            DecodedMessage.decode(
                EnvelopeProto.newBuilder().setViewResponse(tooLong).build().toByteArray()))
        .isEmpty();
    assertThat(DecodedMessage.decode(new byte[AgreementMessageCodec.MAX_MESSAGE_BYTES + 1]))
        .isEmpty();
    assertThat(DecodedMessage.decode(new byte[0])).isEmpty();
  }

  /** A view at all its limits fits in one message. */
  @Test
  void largestViewFitsInOneMessage() {
    String name = "x".repeat(ViewLimits.MAX_NAME_LENGTH - 5);
    List<Member> members =
        IntStream.range(0, ViewLimits.MAX_MEMBERS)
            .mapToObj(i -> new Member(new Address(name + i, 65_000), Long.MAX_VALUE))
            .toList();
    TreeMap<String, ReplicatedEntry> entries = new TreeMap<>();
    for (int i = 0; i < ViewLimits.MAX_ENTRIES; i++) {
      entries.put(
          name + i,
          new ReplicatedEntry(
              name,
              new byte[ViewLimits.MAX_TOTAL_VALUE_BYTES / ViewLimits.MAX_ENTRIES],
              Long.MAX_VALUE));
    }
    MembershipView view =
        new MembershipView(7, Long.MAX_VALUE, 2, members, List.of(MEMBER), entries);
    ViewResponse response =
        new ViewResponse(
            1, true, Optional.of(MEMBER), Duration.ofSeconds(10), 7, Optional.of(view), List.of());
    assertThat(AgreementMessageCodec.encodeViewReply(response).length)
        .isLessThan(AgreementMessageCodec.MAX_MESSAGE_BYTES);
    assertThat(DecodedMessage.decode(AgreementMessageCodec.encodeViewReply(response)))
        .contains(new DecodedMessage.ViewReply(response));
  }
}
