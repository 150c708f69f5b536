package tamarindroute.agreement.wire;

import java.util.List;
import java.util.Optional;
import tamarindroute.agreement.Agreement;
import tamarindroute.agreement.Command;
import tamarindroute.agreement.ViewResponse;
import tamarindroute.agreement.proto.WRaft;
import tamarindroute.membership.Member;

/** A message that was read whole and is within its bounds. */
public sealed interface DecodedMessage {

  /** For a voter of a group, from another: the library's. */
  record RaftEnvelope(long groupId, Member recipient, WRaft message) implements DecodedMessage {}

  /** For a voter: the view, please; this is what I hold. */
  record ViewRequest(long requestNumber, long heldGroupId, long heldNumber)
      implements DecodedMessage {}

  /** For whoever asked. */
  record ViewReply(ViewResponse response) implements DecodedMessage {}

  /** For a voter: propose this. */
  record Proposal(long proposalNumber, Command command) implements DecodedMessage {}

  /** For whoever proposed. */
  record ProposalReply(long proposalNumber, Agreement.ProposalResult result)
      implements DecodedMessage {}

  /** For a voter, from another that is told: of the group's founding. */
  record BootstrapOffer(Member self, List<Member> pledgedFounders, boolean founded)
      implements DecodedMessage {}

  /** What there is in a message; empty if it is none or past its bounds. */
  static Optional<DecodedMessage> decode(byte[] message) {
    return AgreementMessageCodec.decode(message);
  }
}
