package tamarindroute.agreement.raft;

import static tamarindroute.agreement.raft.RaftModelCodec.MODEL_FACTORY;

import io.microraft.model.log.LogEntry;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.message.RaftMessage;
import java.util.ArrayList;
import java.util.List;
import tamarindroute.agreement.proto.LogEntryProto;
import tamarindroute.agreement.proto.RaftMessageProto;
import tamarindroute.agreement.wire.InvalidMessageException;

/**
 * Converts Protocol Buffers messages to MicroRaft's messages. Throws {@link
 * InvalidMessageException} if a message is malformed or exceeds a limit.
 */
final class RaftMessageDecoder {

  /**
   * Largest number of log entries in one message. With the largest commands the message stays below
   * {@link tamarindroute.agreement.wire.AgreementMessageCodec#MAX_MESSAGE_BYTES}.
   */
  static final int MAX_ENTRIES = 4;

  private final Object groupId;
  private final RaftMessageProto proto;
  private final VoterEndpoint sender;

  private RaftMessageDecoder(Object groupId, RaftMessageProto proto) {
    this.groupId = groupId;
    this.proto = proto;
    this.sender = RaftModelCodec.fromProto(proto.getSender());
  }

  static RaftMessage fromProto(Object groupId, RaftMessageProto proto) {
    if (proto.getEntriesCount() > MAX_ENTRIES) {
      throw new InvalidMessageException(
          "consensus message has "
              + proto.getEntriesCount()
              + " log entries, at most "
              + MAX_ENTRIES
              + " allowed");
    }
    if (proto.getTerm() < 0) {
      throw new InvalidMessageException(
          "consensus message has term " + proto.getTerm() + ", expected 0 or more");
    }
    return new RaftMessageDecoder(groupId, proto).decode();
  }

  private RaftMessage decode() {
    return switch (proto.getKind()) {
      case PRE_VOTE_REQUEST -> preVoteRequest();
      case PRE_VOTE_RESPONSE -> preVoteResponse();
      case VOTE_REQUEST -> voteRequest();
      case VOTE_RESPONSE -> voteResponse();
      case APPEND_REQUEST -> appendRequest();
      case APPEND_SUCCESS -> appendSuccess();
      case APPEND_FAILURE -> appendFailure();
      case SNAPSHOT_REQUEST -> snapshotRequest();
      case SNAPSHOT_RESPONSE -> snapshotResponse();
      case TRIGGER_ELECTION -> triggerElection();
      case NONE, UNRECOGNIZED ->
          throw new InvalidMessageException(
              "consensus message kind is "
                  + proto.getKindValue()
                  + ", expected "
                  + RaftMessageProto.Kind.PRE_VOTE_REQUEST_VALUE
                  + " to "
                  + RaftMessageProto.Kind.TRIGGER_ELECTION_VALUE);
    };
  }

  private RaftMessage preVoteRequest() {
    return MODEL_FACTORY
        .createPreVoteRequestBuilder()
        .setGroupId(groupId)
        .setSender(sender)
        .setTerm(proto.getTerm())
        .setLastLogTerm(proto.getLogTerm())
        .setLastLogIndex(proto.getLogIndex())
        .build();
  }

  private RaftMessage preVoteResponse() {
    return MODEL_FACTORY
        .createPreVoteResponseBuilder()
        .setGroupId(groupId)
        .setSender(sender)
        .setTerm(proto.getTerm())
        .setGranted(proto.getFlag())
        .build();
  }

  private RaftMessage voteRequest() {
    return MODEL_FACTORY
        .createVoteRequestBuilder()
        .setGroupId(groupId)
        .setSender(sender)
        .setTerm(proto.getTerm())
        .setLastLogTerm(proto.getLogTerm())
        .setLastLogIndex(proto.getLogIndex())
        .setSticky(proto.getFlag())
        .build();
  }

  private RaftMessage voteResponse() {
    return MODEL_FACTORY
        .createVoteResponseBuilder()
        .setGroupId(groupId)
        .setSender(sender)
        .setTerm(proto.getTerm())
        .setGranted(proto.getFlag())
        .build();
  }

  private RaftMessage appendRequest() {
    return MODEL_FACTORY
        .createAppendEntriesRequestBuilder()
        .setGroupId(groupId)
        .setSender(sender)
        .setTerm(proto.getTerm())
        .setPreviousLogTerm(proto.getLogTerm())
        .setPreviousLogIndex(proto.getLogIndex())
        .setCommitIndex(proto.getCommitIndex())
        .setLogEntries(logEntries())
        .setQuerySequenceNumber(proto.getQuerySequenceNumber())
        .setFlowControlSequenceNumber(proto.getFlowControlSequenceNumber())
        .build();
  }

  private List<LogEntry> logEntries() {
    List<LogEntry> entries = new ArrayList<>(proto.getEntriesCount());
    for (LogEntryProto entry : proto.getEntriesList()) {
      entries.add(RaftModelCodec.fromProto(entry));
    }
    return entries;
  }

  private RaftMessage appendSuccess() {
    return MODEL_FACTORY
        .createAppendEntriesSuccessResponseBuilder()
        .setGroupId(groupId)
        .setSender(sender)
        .setTerm(proto.getTerm())
        .setLastLogIndex(proto.getLogIndex())
        .setQuerySequenceNumber(proto.getQuerySequenceNumber())
        .setFlowControlSequenceNumber(proto.getFlowControlSequenceNumber())
        .build();
  }

  private RaftMessage appendFailure() {
    return MODEL_FACTORY
        .createAppendEntriesFailureResponseBuilder()
        .setGroupId(groupId)
        .setSender(sender)
        .setTerm(proto.getTerm())
        .setExpectedNextIndex(proto.getLogIndex())
        .setQuerySequenceNumber(proto.getQuerySequenceNumber())
        .setFlowControlSequenceNumber(proto.getFlowControlSequenceNumber())
        .build();
  }

  private RaftMessage snapshotRequest() {
    SnapshotChunk chunk = proto.hasChunk() ? RaftModelCodec.fromProto(proto.getChunk()) : null;
    return MODEL_FACTORY
        .createInstallSnapshotRequestBuilder()
        .setGroupId(groupId)
        .setSender(sender)
        .setTerm(proto.getTerm())
        .setSenderLeader(proto.getFlag())
        .setSnapshotTerm(proto.getLogTerm())
        .setSnapshotIndex(proto.getLogIndex())
        .setTotalSnapshotChunkCount(proto.getChunkNumber())
        .setSnapshotChunk(chunk)
        .setSnapshottedMembers(RaftModelCodec.fromProto(proto.getSnapshottedMembersList()))
        .setGroupMembersView(RaftModelCodec.fromProto(proto.getGroup()))
        .setQuerySequenceNumber(proto.getQuerySequenceNumber())
        .setFlowControlSequenceNumber(proto.getFlowControlSequenceNumber())
        .build();
  }

  private RaftMessage snapshotResponse() {
    return MODEL_FACTORY
        .createInstallSnapshotResponseBuilder()
        .setGroupId(groupId)
        .setSender(sender)
        .setTerm(proto.getTerm())
        .setSnapshotIndex(proto.getLogIndex())
        .setRequestedSnapshotChunkIndex(proto.getChunkNumber())
        .setQuerySequenceNumber(proto.getQuerySequenceNumber())
        .setFlowControlSequenceNumber(proto.getFlowControlSequenceNumber())
        .build();
  }

  private RaftMessage triggerElection() {
    return MODEL_FACTORY
        .createTriggerLeaderElectionRequestBuilder()
        .setGroupId(groupId)
        .setSender(sender)
        .setTerm(proto.getTerm())
        .setLastLogTerm(proto.getLogTerm())
        .setLastLogIndex(proto.getLogIndex())
        .build();
  }
}
