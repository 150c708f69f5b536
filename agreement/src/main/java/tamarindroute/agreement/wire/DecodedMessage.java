package tamarindroute.agreement.wire;

import java.util.List;
import java.util.Optional;
import tamarindroute.agreement.Agreement;
import tamarindroute.agreement.Command;
import tamarindroute.agreement.ViewResponse;
import tamarindroute.agreement.proto.RaftMessageProto;
import tamarindroute.membership.Member;

/**
 * A message between members and voters that was decoded and is within all limits. The content of a
 * {@link RaftEnvelope} is not checked yet.
 */
public sealed interface DecodedMessage {

  /**
   * A consensus message from one voter of a group to another. The consensus library's message
   * inside is not decoded yet.
   *
   * @param groupId identifier of the group
   * @param recipient the incarnation that the message is for; no other incarnation may handle it
   */
  record RaftEnvelope(long groupId, Member recipient, RaftMessageProto message)
      implements DecodedMessage {}

  /**
   * A member's request to a voter for the view.
   *
   * @param requestNumber number of the request, which the response repeats
   * @param heldGroupId identifier of the group whose view the member holds; 0 if it holds none
   * @param heldNumber number of the view that the member holds; 0 if it holds none
   */
  record ViewRequest(long requestNumber, long heldGroupId, long heldNumber)
      implements DecodedMessage {}

  /** A voter's response to a {@link ViewRequest}. */
  record ViewReply(ViewResponse response) implements DecodedMessage {}

  /**
   * A member's request to a voter to propose a command.
   *
   * @param proposalNumber number chosen by the member, which the response repeats
   */
  record Proposal(long proposalNumber, Command command) implements DecodedMessage {}

  /**
   * A voter's response to a {@link Proposal}.
   *
   * @param proposalNumber number of the proposal
   */
  record ProposalReply(long proposalNumber, Agreement.ProposalResult result)
      implements DecodedMessage {}

  /**
   * A bootstrap offer from one configured voter to another; see {@link
   * tamarindroute.agreement.Bootstrap.Offer}.
   */
  record BootstrapOffer(Member self, List<Member> pledgedFounders, boolean founded)
      implements DecodedMessage {}

  /** Returns the decoded message; empty if it is malformed or exceeds a limit. */
  static Optional<DecodedMessage> decode(byte[] message) {
    return AgreementMessageCodec.decode(message);
  }
}
