package tamarindroute.agreement.wire;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import tamarindroute.agreement.Agreement.ProposalResult;
import tamarindroute.agreement.Agreement.ProposalStatus;
import tamarindroute.agreement.Command;
import tamarindroute.agreement.MembershipView;
import tamarindroute.agreement.ReplicatedEntry;
import tamarindroute.agreement.ViewLease;
import tamarindroute.agreement.ViewResponse;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;

/**
 * Pins the bytes of each message between members and voters, written and read back. Guards against
 * a changed format, with which processes of two versions could not exchange messages.
 */
class AgreementMessageFormatTest {

  private static final HexFormat HEX = HexFormat.of();
  private static final Member FIRST = new Member(new Address("10.0.0.1", 7000), 1_700_000_000_001L);
  private static final Member SECOND = new Member(new Address("v2.example", 65_535), 3);

  private static MembershipView view() {
    Map<String, ReplicatedEntry> entries =
        Map.of(
            "level/1",
            new ReplicatedEntry("l", new byte[] {5, 0, -1}, 3),
            "window/2",
            new ReplicatedEntry("w", new byte[0], 9));
    return new MembershipView(
        7_000_000_007L, 9, 2, List.of(FIRST, SECOND), List.of(FIRST), new TreeMap<>(entries));
  }

  private static String hex(byte[] bytes) {
    return HEX.formatHex(bytes);
  }

  private static DecodedMessage decoded(String hex) {
    return DecodedMessage.decode(HEX.parseHex(hex)).orElseThrow();
  }

  @Test
  void viewRequestWithoutAndWithHeldView() {
    ViewLease initial = ViewLease.initial(SECOND).requestSent(Duration.ZERO);
    assertThat(hex(AgreementMessageCodec.encodeViewRequest(initial))).isEqualTo("220508ca8db701");
    assertThat(decoded("220508ca8db701"))
        .isEqualTo(new DecodedMessage.ViewRequest(initial.requestNumber(), 0, 0));
    ViewResponse response =
        new ViewResponse(
            initial.requestNumber(),
            true,
            Optional.empty(),
            Duration.ofSeconds(10),
            7_000_000_007L,
            Optional.of(view()),
            List.of());
    ViewLease held = initial.onResponse(response).requestSent(Duration.ofSeconds(3));
    assertThat(hex(AgreementMessageCodec.encodeViewRequest(held)))
        .isEqualTo("220d08cb8db70110878cee891a1809");
    assertThat(decoded("220d08cb8db70110878cee891a1809"))
        .isEqualTo(new DecodedMessage.ViewRequest(initial.requestNumber() + 1, 7_000_000_007L, 9));
  }

  @Test
  void proposalOfEachCommand() {
    assertProposal(new Command.NoOp(), "320508ac021200");
    assertProposal(
        new Command.MembershipChange(4, List.of(FIRST), List.of(SECOND, FIRST)),
        "324908ac021244080110041a140a0831302e302e302e3110d8361881d095ffbc3122120a"
            + "0a76322e6578616d706c6510ffff03180322140a0831302e302e302e3110d8361881d095"
            + "ffbc31");
    assertProposal(
        new Command.Put("window/1", 4, "w", new byte[] {0, 1, -1}),
        "321b08ac021216080210042a0877696e646f772f313201773a030001ff");
    assertProposal(
        new Command.Remove("window/1", 300), "321408ac02120f080310ac022a0877696e646f772f31");
    assertProposal(
        new Command.SetVoters(5, List.of(FIRST, SECOND)),
        "323308ac02122e0804100522140a0831302e302e302e3110d8361881d095ffbc3122120a"
            + "0a76322e6578616d706c6510ffff031803");
  }

  private static void assertProposal(Command command, String hex) {
    assertThat(hex(AgreementMessageCodec.encodeProposal(300, command))).isEqualTo(hex);
    DecodedMessage.Proposal proposal = (DecodedMessage.Proposal) decoded(hex);
    assertThat(proposal.proposalNumber()).isEqualTo(300);
    assertThat(proposal.command()).isInstanceOf(command.getClass());
    assertThat(proposal.command().baseNumber()).isEqualTo(command.baseNumber());
    assertThat(
            hex(
                AgreementMessageCodec.encodeProposal(
                    proposal.proposalNumber(), proposal.command())))
        .isEqualTo(hex);
  }

  @Test
  void bootstrapOffer() {
    String unpledged = "42160a140a0831302e302e302e3110d8361881d095ffbc31";
    assertThat(hex(AgreementMessageCodec.encodeOffer(FIRST, List.of(), false)))
        .isEqualTo(unpledged);
    assertThat(decoded(unpledged))
        .isEqualTo(new DecodedMessage.BootstrapOffer(FIRST, List.of(), false));
    String founded =
        "42420a140a0831302e302e302e3110d8361881d095ffbc3112140a0831302e302e302e31"
            + "10d8361881d095ffbc3112120a0a76322e6578616d706c6510ffff0318031801";
    assertThat(hex(AgreementMessageCodec.encodeOffer(FIRST, List.of(FIRST, SECOND), true)))
        .isEqualTo(founded);
    assertThat(decoded(founded))
        .isEqualTo(new DecodedMessage.BootstrapOffer(FIRST, List.of(FIRST, SECOND), true));
  }

  @Test
  void viewResponseWithFullView() {
    assertResponse(
        new ViewResponse(
            1,
            true,
            Optional.of(SECOND),
            Duration.ofSeconds(10),
            7_000_000_007L,
            Optional.of(view()),
            List.of()),
        "2a9301080110011a120a0a76322e6578616d706c6510ffff03180320904e28878cee891a"
            + "327008878cee891a10091a140a0831302e302e302e3110d8361881d095ffbc311a120a0a"
            + "76322e6578616d706c6510ffff03180322140a0831302e302e302e3110d8361881d095ff"
            + "bc312a130a076c6576656c2f3112016c1a030500ff20032a0f0a0877696e646f772f3212"
            + "017720093002");
  }

  @Test
  void viewResponseWithCommands() {
    assertResponse(
        new ViewResponse(
            2,
            true,
            Optional.of(FIRST),
            Duration.ofMillis(9_999),
            7,
            Optional.empty(),
            List.of(
                new Command.Remove("a", 3),
                new Command.MembershipChange(4, List.of(FIRST), List.of()),
                new Command.SetVoters(5, List.of(FIRST)),
                new Command.NoOp())),
        "2a62080210011a140a0831302e302e302e3110d8361881d095ffbc31208f4e28073a0708"
            + "0310032a01613a1a080110041a140a0831302e302e302e3110d8361881d095ffbc313a1a"
            + "0804100522140a0831302e302e302e3110d8361881d095ffbc313a00");
  }

  @Test
  void viewResponseOfVoterThatIsNotLeader() {
    assertResponse(
        ViewResponse.notLeader(3, Optional.of(FIRST)),
        "2a1808031a140a0831302e302e302e3110d8361881d095ffbc31");
    assertResponse(ViewResponse.notLeader(3, Optional.empty()), "2a020803");
  }

  private static void assertResponse(ViewResponse response, String hex) {
    assertThat(hex(AgreementMessageCodec.encodeViewReply(response))).isEqualTo(hex);
    assertThat(decoded(hex)).isEqualTo(new DecodedMessage.ViewReply(response));
  }

  @ParameterizedTest
  @CsvSource({
    "COMMITTED, 3a19080818ac022a120a0a76322e6578616d706c6510ffff031803",
    "REJECTED, 3a200808100118ac0222037768792a120a0a76322e6578616d706c6510ffff031803",
    "NOT_LEADER, 3a200808100218ac0222037768792a120a0a76322e6578616d706c6510ffff031803",
    "UNKNOWN, 3a200808100318ac0222037768792a120a0a76322e6578616d706c6510ffff031803",
    "BUSY, 3a200808100418ac0222037768792a120a0a76322e6578616d706c6510ffff031803"
  })
  void proposalReplyOfEachStatus(ProposalStatus status, String hex) {
    String reason = status == ProposalStatus.COMMITTED ? "" : "why";
    ProposalResult result = new ProposalResult(status, 300, reason, Optional.of(SECOND));
    assertThat(hex(AgreementMessageCodec.encodeProposalReply(8, result))).isEqualTo(hex);
    assertThat(decoded(hex)).isEqualTo(new DecodedMessage.ProposalReply(8, result));
  }

  @Test
  void formatCoversEachStatus() {
    assertThat(ProposalStatus.values())
        .containsExactly(
            ProposalStatus.COMMITTED,
            ProposalStatus.REJECTED,
            ProposalStatus.NOT_LEADER,
            ProposalStatus.UNKNOWN,
            ProposalStatus.BUSY);
  }

  @Test
  void proposalReplyWithoutLeaderAndWithLongReason() {
    ProposalResult result =
        new ProposalResult(ProposalStatus.UNKNOWN, 0, "x".repeat(500), Optional.empty());
    String prefix = "3a970308081003229003";
    String hex = hex(AgreementMessageCodec.encodeProposalReply(8, result));
    assertThat(hex).isEqualTo(prefix + "78".repeat(400));
    assertThat(decoded(hex))
        .isEqualTo(
            new DecodedMessage.ProposalReply(
                8,
                new ProposalResult(ProposalStatus.UNKNOWN, 0, "x".repeat(400), Optional.empty())));
  }
}
