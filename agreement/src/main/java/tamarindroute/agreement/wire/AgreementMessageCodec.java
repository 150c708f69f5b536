package tamarindroute.agreement.wire;

import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import tamarindroute.agreement.Agreement.ProposalResult;
import tamarindroute.agreement.Agreement.ProposalStatus;
import tamarindroute.agreement.Command;
import tamarindroute.agreement.MembershipView;
import tamarindroute.agreement.ViewLease;
import tamarindroute.agreement.ViewLimits;
import tamarindroute.agreement.ViewResponse;
import tamarindroute.agreement.proto.BootstrapOfferProto;
import tamarindroute.agreement.proto.EnvelopeProto;
import tamarindroute.agreement.proto.ProposalProto;
import tamarindroute.agreement.proto.ProposalResultProto;
import tamarindroute.agreement.proto.RaftMessageProto;
import tamarindroute.agreement.proto.ViewRequestProto;
import tamarindroute.agreement.proto.ViewResponseProto;
import tamarindroute.membership.Member;

/** Encodes and decodes the messages between members and voters as Protocol Buffers envelopes. */
public final class AgreementMessageCodec {

  /**
   * Largest message in bytes. A view at all its limits takes less than 3 MiB, and a consensus
   * message with four of the largest commands takes 2 MiB.
   */
  public static final int MAX_MESSAGE_BYTES = 4 * 1024 * 1024;

  /** Largest number of commands that are sent instead of the full view. */
  public static final int MAX_REPLAYED_COMMANDS = 64;

  /** Longest reason of a proposal's result, in characters. Longer reasons are truncated. */
  private static final int MAX_REASON_LENGTH = 400;

  private AgreementMessageCodec() {}

  /**
   * Encodes a view request.
   *
   * @param lease state of the lease after {@link ViewLease#requestSent}, with the request's number
   */
  public static byte[] encodeViewRequest(ViewLease lease) {
    ViewRequestProto.Builder request =
        ViewRequestProto.newBuilder().setRequestNumber(lease.requestNumber());
    lease
        .view()
        .ifPresent(held -> request.setHeldGroupId(held.groupId()).setHeldNumber(held.number()));
    return EnvelopeProto.newBuilder().setViewRequest(request).build().toByteArray();
  }

  /** Encodes a response to a view request. */
  public static byte[] encodeViewReply(ViewResponse response) {
    ViewResponseProto.Builder proto =
        ViewResponseProto.newBuilder()
            .setRequestNumber(response.requestNumber())
            .setFromLeader(response.fromLeader())
            .setLeaseMillis(response.lease().toMillis())
            .setGroupId(response.groupId());
    response.leader().ifPresent(leader -> proto.setLeader(ViewCodec.toProto(leader)));
    response.fullView().ifPresent(view -> proto.setFullView(ViewCodec.toProto(view)));
    response.commands().forEach(command -> proto.addCommands(ViewCodec.toProto(command)));
    return EnvelopeProto.newBuilder().setViewResponse(proto).build().toByteArray();
  }

  /**
   * Encodes a proposal.
   *
   * @param proposalNumber number chosen by the sender, which the result repeats
   */
  public static byte[] encodeProposal(long proposalNumber, Command command) {
    ProposalProto.Builder proposal =
        ProposalProto.newBuilder()
            .setProposalNumber(proposalNumber)
            .setCommand(ViewCodec.toProto(command));
    return EnvelopeProto.newBuilder().setProposal(proposal).build().toByteArray();
  }

  /**
   * Encodes the result of a proposal.
   *
   * @param proposalNumber number of the proposal
   */
  public static byte[] encodeProposalReply(long proposalNumber, ProposalResult result) {
    String reason = result.reason();
    ProposalResultProto.Builder proto =
        ProposalResultProto.newBuilder()
            .setProposalNumber(proposalNumber)
            .setStatus(toProto(result.status()))
            .setViewNumber(result.viewNumber())
            .setReason(reason.substring(0, Math.min(reason.length(), MAX_REASON_LENGTH)));
    result.leader().ifPresent(leader -> proto.setLeader(ViewCodec.toProto(leader)));
    return EnvelopeProto.newBuilder().setProposalResult(proto).build().toByteArray();
  }

  /**
   * Encodes a bootstrap offer.
   *
   * @param self identity of the sender
   * @param pledgedFounders the sender's pledge, or the founders if the group is established
   * @param founded whether the group is established
   */
  public static byte[] encodeOffer(Member self, List<Member> pledgedFounders, boolean founded) {
    BootstrapOfferProto.Builder offer =
        BootstrapOfferProto.newBuilder().setSelf(ViewCodec.toProto(self)).setFounded(founded);
    pledgedFounders.forEach(founder -> offer.addPledgedFounders(ViewCodec.toProto(founder)));
    return EnvelopeProto.newBuilder().setBootstrapOffer(offer).build().toByteArray();
  }

  /** Encodes a consensus message to one incarnation of a voter of a group. */
  public static byte[] encodeRaftMessage(long groupId, Member recipient, RaftMessageProto message) {
    return EnvelopeProto.newBuilder()
        .setGroupId(groupId)
        .setRecipient(ViewCodec.toProto(recipient))
        .setRaft(message)
        .build()
        .toByteArray();
  }

  static Optional<DecodedMessage> decode(byte[] message) {
    if (message.length > MAX_MESSAGE_BYTES) {
      return Optional.empty();
    }
    try {
      return Optional.of(decode(EnvelopeProto.parseFrom(message)));
    } catch (InvalidProtocolBufferException | InvalidMessageException invalid) {
      return Optional.empty();
    }
  }

  private static DecodedMessage decode(EnvelopeProto envelope) {
    return switch (envelope.getMessageCase()) {
      case RAFT ->
          new DecodedMessage.RaftEnvelope(
              envelope.getGroupId(),
              ViewCodec.fromProto(envelope.getRecipient()),
              envelope.getRaft());
      case VIEW_REQUEST -> decode(envelope.getViewRequest());
      case VIEW_RESPONSE -> new DecodedMessage.ViewReply(decode(envelope.getViewResponse()));
      case PROPOSAL -> decode(envelope.getProposal());
      case PROPOSAL_RESULT ->
          new DecodedMessage.ProposalReply(
              envelope.getProposalResult().getProposalNumber(),
              decode(envelope.getProposalResult()));
      case BOOTSTRAP_OFFER -> decode(envelope.getBootstrapOffer());
      case MESSAGE_NOT_SET ->
          throw new InvalidMessageException(
              "envelope has no message, expected one field of EnvelopeProto.message");
    };
  }

  private static DecodedMessage.ViewRequest decode(ViewRequestProto request) {
    return new DecodedMessage.ViewRequest(
        request.getRequestNumber(), request.getHeldGroupId(), request.getHeldNumber());
  }

  private static ViewResponse decode(ViewResponseProto proto) {
    ViewCodec.requireAtMost(
        proto.getCommandsCount(), MAX_REPLAYED_COMMANDS, "commands in a view response");
    List<Command> commands = proto.getCommandsList().stream().map(ViewCodec::fromProto).toList();
    Optional<MembershipView> fullView =
        proto.hasFullView()
            ? Optional.of(ViewCodec.fromProto(proto.getFullView()))
            : Optional.empty();
    Optional<Member> leader =
        proto.hasLeader() ? Optional.of(ViewCodec.fromProto(proto.getLeader())) : Optional.empty();
    long leaseMillis = proto.getLeaseMillis();
    if (leaseMillis < 0 || leaseMillis > ViewLease.MAX_LEASE.toMillis()) {
      throw new InvalidMessageException(
          "lease of "
              + leaseMillis
              + " ms, 0 to "
              + ViewLease.MAX_LEASE.toMillis()
              + " ms allowed");
    }
    return new ViewResponse(
        proto.getRequestNumber(),
        proto.getFromLeader(),
        leader,
        Duration.ofMillis(leaseMillis),
        proto.getGroupId(),
        fullView,
        commands);
  }

  private static DecodedMessage.Proposal decode(ProposalProto proposal) {
    return new DecodedMessage.Proposal(
        proposal.getProposalNumber(), ViewCodec.fromProto(proposal.getCommand()));
  }

  private static ProposalResult decode(ProposalResultProto proto) {
    ViewCodec.requireAtMost(
        proto.getReason().length(), MAX_REASON_LENGTH, "characters of a reason");
    Optional<Member> leader =
        proto.hasLeader() ? Optional.of(ViewCodec.fromProto(proto.getLeader())) : Optional.empty();
    return new ProposalResult(status(proto), proto.getViewNumber(), proto.getReason(), leader);
  }

  private static ProposalResultProto.Status toProto(ProposalStatus status) {
    return switch (status) {
      case COMMITTED -> ProposalResultProto.Status.COMMITTED;
      case REJECTED -> ProposalResultProto.Status.REJECTED;
      case NOT_LEADER -> ProposalResultProto.Status.NOT_LEADER;
      case UNKNOWN -> ProposalResultProto.Status.UNKNOWN;
      case BUSY -> ProposalResultProto.Status.BUSY;
    };
  }

  private static ProposalStatus status(ProposalResultProto proto) {
    return switch (proto.getStatus()) {
      case COMMITTED -> ProposalStatus.COMMITTED;
      case REJECTED -> ProposalStatus.REJECTED;
      case NOT_LEADER -> ProposalStatus.NOT_LEADER;
      case UNKNOWN -> ProposalStatus.UNKNOWN;
      case BUSY -> ProposalStatus.BUSY;
      case UNRECOGNIZED ->
          throw new InvalidMessageException(
              "proposal status is "
                  + proto.getStatusValue()
                  + ", expected "
                  + ProposalResultProto.Status.COMMITTED_VALUE
                  + " to "
                  + ProposalResultProto.Status.BUSY_VALUE);
    };
  }

  private static DecodedMessage.BootstrapOffer decode(BootstrapOfferProto offer) {
    List<Member> pledgedFounders =
        ViewCodec.fromProto(offer.getPledgedFoundersList(), ViewLimits.MAX_VOTERS);
    return new DecodedMessage.BootstrapOffer(
        ViewCodec.fromProto(offer.getSelf()), pledgedFounders, offer.getFounded());
  }
}
