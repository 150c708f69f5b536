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
import tamarindroute.agreement.proto.WRaft;
import tamarindroute.agreement.wire.AgreementMessageCodec.InvalidMessageException;

/** The library's messages between voters, to words and back. */
final class RaftMessageCodec {

  /**
   * Entries in one message; with the longest command it stays below the longest message. The
   * library sends one more than it is told to: told this number, its messages to a voter that had
   * missed a few were dropped, and it never caught up.
   */
  static final int MAX_ENTRIES = 4;

  private RaftMessageCodec() {}

  static WRaft toProto(RaftMessage message) {
    WRaft.Builder proto =
        WRaft.newBuilder()
            .setSender(RaftModelCodec.toProto(message.getSender()))
            .setTerm(message.getTerm());
    if (message instanceof AppendEntriesRequest it) {
      proto
          .setKind(WRaft.Kind.APPEND_REQUEST)
          .setLogTerm(it.getPreviousLogTerm())
          .setLogIndex(it.getPreviousLogIndex())
          .setCommit(it.getCommitIndex())
          .setQuery(it.getQuerySequenceNumber())
          .setFlow(it.getFlowControlSequenceNumber());
      it.getLogEntries().forEach(entry -> proto.addEntries(RaftModelCodec.toProto(entry)));
    } else if (message instanceof AppendEntriesSuccessResponse it) {
      proto
          .setKind(WRaft.Kind.APPEND_SUCCESS)
          .setLogIndex(it.getLastLogIndex())
          .setQuery(it.getQuerySequenceNumber())
          .setFlow(it.getFlowControlSequenceNumber());
    } else if (message instanceof AppendEntriesFailureResponse it) {
      proto
          .setKind(WRaft.Kind.APPEND_FAILURE)
          .setLogIndex(it.getExpectedNextIndex())
          .setQuery(it.getQuerySequenceNumber())
          .setFlow(it.getFlowControlSequenceNumber());
    } else if (message instanceof InstallSnapshotRequest
        || message instanceof InstallSnapshotResponse) {
      encodeSnapshotMessage(message, proto);
    } else {
      encodeVoteMessage(message, proto);
    }
    return proto.build();
  }

  private static void encodeSnapshotMessage(RaftMessage message, WRaft.Builder proto) {
    if (message instanceof InstallSnapshotRequest it) {
      proto
          .setKind(WRaft.Kind.SNAPSHOT_REQUEST)
          .setFlag(it.isSenderLeader())
          .setLogTerm(it.getSnapshotTerm())
          .setLogIndex(it.getSnapshotIndex())
          .setChunkNumber(it.getTotalSnapshotChunkCount())
          .addAllSnapshotted(RaftModelCodec.toProto(it.getSnapshottedMembers()))
          .setGroup(RaftModelCodec.toProto(it.getGroupMembersView()))
          .setQuery(it.getQuerySequenceNumber())
          .setFlow(it.getFlowControlSequenceNumber());
      if (it.getSnapshotChunk() != null) {
        proto.setChunk(RaftModelCodec.toProto(it.getSnapshotChunk()));
      }
    } else if (message instanceof InstallSnapshotResponse it) {
      proto
          .setKind(WRaft.Kind.SNAPSHOT_RESPONSE)
          .setLogIndex(it.getSnapshotIndex())
          .setChunkNumber(it.getRequestedSnapshotChunkIndex())
          .setQuery(it.getQuerySequenceNumber())
          .setFlow(it.getFlowControlSequenceNumber());
    }
  }

  private static void encodeVoteMessage(RaftMessage message, WRaft.Builder proto) {
    if (message instanceof PreVoteRequest it) {
      proto
          .setKind(WRaft.Kind.PRE_VOTE_REQUEST)
          .setLogTerm(it.getLastLogTerm())
          .setLogIndex(it.getLastLogIndex());
    } else if (message instanceof PreVoteResponse it) {
      proto.setKind(WRaft.Kind.PRE_VOTE_RESPONSE).setFlag(it.isGranted());
    } else if (message instanceof VoteRequest it) {
      proto
          .setKind(WRaft.Kind.VOTE_REQUEST)
          .setLogTerm(it.getLastLogTerm())
          .setLogIndex(it.getLastLogIndex())
          .setFlag(it.isSticky());
    } else if (message instanceof VoteResponse it) {
      proto.setKind(WRaft.Kind.VOTE_RESPONSE).setFlag(it.isGranted());
    } else if (message instanceof TriggerLeaderElectionRequest it) {
      proto
          .setKind(WRaft.Kind.TRIGGER_ELECTION)
          .setLogTerm(it.getLastLogTerm())
          .setLogIndex(it.getLastLogIndex());
    } else {
      throw new IllegalArgumentException(
          "a message the library did not have: " + message.getClass());
    }
  }

  static RaftMessage fromProto(Object group, WRaft proto) {
    if (proto.getEntriesCount() > MAX_ENTRIES || proto.getTerm() < 0) {
      throw new InvalidMessageException("message");
    }
    VoterEndpoint sender = RaftModelCodec.fromProto(proto.getSender());
    return switch (proto.getKind()) {
      case APPEND_REQUEST ->
          RaftModelCodec.MODEL_FACTORY
              .createAppendEntriesRequestBuilder()
              .setGroupId(group)
              .setSender(sender)
              .setTerm(proto.getTerm())
              .setPreviousLogTerm(proto.getLogTerm())
              .setPreviousLogIndex(proto.getLogIndex())
              .setCommitIndex(proto.getCommit())
              .setLogEntries(RaftModelCodec.decodeEntries(proto.getEntriesList()))
              .setQuerySequenceNumber(proto.getQuery())
              .setFlowControlSequenceNumber(proto.getFlow())
              .build();
      case APPEND_SUCCESS ->
          RaftModelCodec.MODEL_FACTORY
              .createAppendEntriesSuccessResponseBuilder()
              .setGroupId(group)
              .setSender(sender)
              .setTerm(proto.getTerm())
              .setLastLogIndex(proto.getLogIndex())
              .setQuerySequenceNumber(proto.getQuery())
              .setFlowControlSequenceNumber(proto.getFlow())
              .build();
      case APPEND_FAILURE ->
          RaftModelCodec.MODEL_FACTORY
              .createAppendEntriesFailureResponseBuilder()
              .setGroupId(group)
              .setSender(sender)
              .setTerm(proto.getTerm())
              .setExpectedNextIndex(proto.getLogIndex())
              .setQuerySequenceNumber(proto.getQuery())
              .setFlowControlSequenceNumber(proto.getFlow())
              .build();
      case SNAPSHOT_REQUEST ->
          RaftModelCodec.MODEL_FACTORY
              .createInstallSnapshotRequestBuilder()
              .setGroupId(group)
              .setSender(sender)
              .setTerm(proto.getTerm())
              .setSenderLeader(proto.getFlag())
              .setSnapshotTerm(proto.getLogTerm())
              .setSnapshotIndex(proto.getLogIndex())
              .setTotalSnapshotChunkCount(proto.getChunkNumber())
              .setSnapshotChunk(
                  proto.hasChunk() ? RaftModelCodec.fromProto(proto.getChunk()) : null)
              .setSnapshottedMembers(RaftModelCodec.fromProto(proto.getSnapshottedList()))
              .setGroupMembersView(RaftModelCodec.fromProto(proto.getGroup()))
              .setQuerySequenceNumber(proto.getQuery())
              .setFlowControlSequenceNumber(proto.getFlow())
              .build();
      case SNAPSHOT_RESPONSE ->
          RaftModelCodec.MODEL_FACTORY
              .createInstallSnapshotResponseBuilder()
              .setGroupId(group)
              .setSender(sender)
              .setTerm(proto.getTerm())
              .setSnapshotIndex(proto.getLogIndex())
              .setRequestedSnapshotChunkIndex(proto.getChunkNumber())
              .setQuerySequenceNumber(proto.getQuery())
              .setFlowControlSequenceNumber(proto.getFlow())
              .build();
      case PRE_VOTE_REQUEST ->
          RaftModelCodec.MODEL_FACTORY
              .createPreVoteRequestBuilder()
              .setGroupId(group)
              .setSender(sender)
              .setTerm(proto.getTerm())
              .setLastLogTerm(proto.getLogTerm())
              .setLastLogIndex(proto.getLogIndex())
              .build();
      case PRE_VOTE_RESPONSE ->
          RaftModelCodec.MODEL_FACTORY
              .createPreVoteResponseBuilder()
              .setGroupId(group)
              .setSender(sender)
              .setTerm(proto.getTerm())
              .setGranted(proto.getFlag())
              .build();
      case VOTE_REQUEST ->
          RaftModelCodec.MODEL_FACTORY
              .createVoteRequestBuilder()
              .setGroupId(group)
              .setSender(sender)
              .setTerm(proto.getTerm())
              .setLastLogTerm(proto.getLogTerm())
              .setLastLogIndex(proto.getLogIndex())
              .setSticky(proto.getFlag())
              .build();
      case VOTE_RESPONSE ->
          RaftModelCodec.MODEL_FACTORY
              .createVoteResponseBuilder()
              .setGroupId(group)
              .setSender(sender)
              .setTerm(proto.getTerm())
              .setGranted(proto.getFlag())
              .build();
      case TRIGGER_ELECTION ->
          RaftModelCodec.MODEL_FACTORY
              .createTriggerLeaderElectionRequestBuilder()
              .setGroupId(group)
              .setSender(sender)
              .setTerm(proto.getTerm())
              .setLastLogTerm(proto.getLogTerm())
              .setLastLogIndex(proto.getLogIndex())
              .build();
      case NONE, UNRECOGNIZED -> throw new InvalidMessageException("kind");
    };
  }
}
