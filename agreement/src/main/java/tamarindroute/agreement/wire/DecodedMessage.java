package tamarindroute.agreement.wire;

import java.util.List;
import java.util.Optional;
import tamarindroute.agreement.Agreement;
import tamarindroute.agreement.Command;
import tamarindroute.agreement.ViewResponse;
import tamarindroute.agreement.proto.RaftMessageProto;
import tamarindroute.membership.Member;

/** A message that was decoded completely and is within all limits. */
public sealed interface DecodedMessage {

  /** A consensus message from one voter of a group to another, not decoded yet. */
  record RaftEnvelope(long groupId, Member recipient, RaftMessageProto message)
      implements DecodedMessage {}

  /**
   * A member's request for the view, to a voter.
   *
   * @param heldGroupId group of the view that the member holds; 0 for none
   * @param heldNumber number of the view that the member holds; 0 for none
   */
  record ViewRequest(long requestNumber, long heldGroupId, long heldNumber)
      implements DecodedMessage {}

  /** A voter's response to a {@link ViewRequest}. */
  record ViewReply(ViewResponse response) implements DecodedMessage {}

  /** A member's request to propose a command, to a voter. */
  record Proposal(long proposalNumber, Command command) implements DecodedMessage {}

  /** A voter's response to a {@link Proposal}. */
  record ProposalReply(long proposalNumber, Agreement.ProposalResult result)
      implements DecodedMessage {}

  /** A bootstrap offer from one configured voter to another. */
  record BootstrapOffer(Member self, List<Member> pledgedFounders, boolean founded)
      implements DecodedMessage {}

  /** Decodes a message; empty if it is malformed or exceeds a limit. */
  static Optional<DecodedMessage> decode(byte[] message) {
    return AgreementMessageCodec.decode(message);
  }
}
