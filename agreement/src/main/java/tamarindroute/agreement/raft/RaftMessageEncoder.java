package tamarindroute.agreement.raft;

import io.microraft.model.message.AppendEntriesFailureResponse;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.AppendEntriesSuccessResponse;
import io.microraft.model.message.InstallSnapshotRequest;
import io.microraft.model.message.InstallSnapshotResponse;
import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.PreVoteResponse;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.TriggerLeaderElectionRequest;
import io.microraft.model.message.VoteRequest;
import io.microraft.model.message.VoteResponse;
import tamarindroute.agreement.proto.RaftMessageProto;
import tamarindroute.agreement.proto.RaftMessageProto.Kind;

/** Converts MicroRaft's messages to Protocol Buffers messages. */
final class RaftMessageEncoder {

  private RaftMessageEncoder() {}

  static RaftMessageProto toProto(RaftMessage message) {
    RaftMessageProto.Builder proto =
        RaftMessageProto.newBuilder()
            .setSender(RaftModelCodec.toProto(message.getSender()))
            .setTerm(message.getTerm());
    if (message instanceof AppendEntriesRequest request) {
      encode(request, proto);
    } else if (message instanceof AppendEntriesSuccessResponse response) {
      encode(response, proto);
    } else if (message instanceof AppendEntriesFailureResponse response) {
      encode(response, proto);
    } else if (message instanceof InstallSnapshotRequest request) {
      encode(request, proto);
    } else if (message instanceof InstallSnapshotResponse response) {
      encode(response, proto);
    } else {
      encodeElectionMessage(message, proto);
    }
    return proto.build();
  }

  private static void encode(AppendEntriesRequest request, RaftMessageProto.Builder proto) {
    proto
        .setKind(Kind.APPEND_REQUEST)
        .setLogTerm(request.getPreviousLogTerm())
        .setLogIndex(request.getPreviousLogIndex())
        .setCommitIndex(request.getCommitIndex())
        .setQuerySequenceNumber(request.getQuerySequenceNumber())
        .setFlowControlSequenceNumber(request.getFlowControlSequenceNumber());
    request.getLogEntries().forEach(entry -> proto.addEntries(RaftModelCodec.toProto(entry)));
  }

  private static void encode(
      AppendEntriesSuccessResponse response, RaftMessageProto.Builder proto) {
    proto
        .setKind(Kind.APPEND_SUCCESS)
        .setLogIndex(response.getLastLogIndex())
        .setQuerySequenceNumber(response.getQuerySequenceNumber())
        .setFlowControlSequenceNumber(response.getFlowControlSequenceNumber());
  }

  private static void encode(
      AppendEntriesFailureResponse response, RaftMessageProto.Builder proto) {
    proto
        .setKind(Kind.APPEND_FAILURE)
        .setLogIndex(response.getExpectedNextIndex())
        .setQuerySequenceNumber(response.getQuerySequenceNumber())
        .setFlowControlSequenceNumber(response.getFlowControlSequenceNumber());
  }

  private static void encode(InstallSnapshotRequest request, RaftMessageProto.Builder proto) {
    proto
        .setKind(Kind.SNAPSHOT_REQUEST)
        .setFlag(request.isSenderLeader())
        .setLogTerm(request.getSnapshotTerm())
        .setLogIndex(request.getSnapshotIndex())
        .setChunkNumber(request.getTotalSnapshotChunkCount())
        .addAllSnapshottedMembers(RaftModelCodec.toProto(request.getSnapshottedMembers()))
        .setGroup(RaftModelCodec.toProto(request.getGroupMembersView()))
        .setQuerySequenceNumber(request.getQuerySequenceNumber())
        .setFlowControlSequenceNumber(request.getFlowControlSequenceNumber());
    if (request.getSnapshotChunk() != null) {
      proto.setChunk(RaftModelCodec.toProto(request.getSnapshotChunk()));
    }
  }

  private static void encode(InstallSnapshotResponse response, RaftMessageProto.Builder proto) {
    proto
        .setKind(Kind.SNAPSHOT_RESPONSE)
        .setLogIndex(response.getSnapshotIndex())
        .setChunkNumber(response.getRequestedSnapshotChunkIndex())
        .setQuerySequenceNumber(response.getQuerySequenceNumber())
        .setFlowControlSequenceNumber(response.getFlowControlSequenceNumber());
  }

  private static void encodeElectionMessage(RaftMessage message, RaftMessageProto.Builder proto) {
    if (message instanceof PreVoteRequest request) {
      proto
          .setKind(Kind.PRE_VOTE_REQUEST)
          .setLogTerm(request.getLastLogTerm())
          .setLogIndex(request.getLastLogIndex());
    } else if (message instanceof PreVoteResponse response) {
      proto.setKind(Kind.PRE_VOTE_RESPONSE).setFlag(response.isGranted());
    } else if (message instanceof VoteRequest request) {
      proto
          .setKind(Kind.VOTE_REQUEST)
          .setLogTerm(request.getLastLogTerm())
          .setLogIndex(request.getLastLogIndex())
          .setFlag(request.isSticky());
    } else if (message instanceof VoteResponse response) {
      proto.setKind(Kind.VOTE_RESPONSE).setFlag(response.isGranted());
    } else if (message instanceof TriggerLeaderElectionRequest request) {
      proto
          .setKind(Kind.TRIGGER_ELECTION)
          .setLogTerm(request.getLastLogTerm())
          .setLogIndex(request.getLastLogIndex());
    } else {
      throw new IllegalArgumentException(
          "consensus message has type "
              + message.getClass().getName()
              + ", expected a message type of MicroRaft 0.7");
    }
  }
}
