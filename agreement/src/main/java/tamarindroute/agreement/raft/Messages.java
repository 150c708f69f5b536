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
import tamarindroute.agreement.wire.Words.Unbelievable;

/** The library's messages between voters, to words and back. */
final class Messages {

  /**
   * Entries in one message; with the longest command it stays below the longest message. The
   * library sends one more than it is told to: told this number, its messages to a voter that had
   * missed a few were dropped, and it never caught up.
   */
  static final int ENTRIES_MOST = 4;

  private Messages() {}

  static WRaft to(RaftMessage message) {
    WRaft.Builder words =
        WRaft.newBuilder().setSender(Wire.to(message.getSender())).setTerm(message.getTerm());
    if (message instanceof AppendEntriesRequest it) {
      words
          .setKind(WRaft.Kind.APPEND_REQUEST)
          .setLogTerm(it.getPreviousLogTerm())
          .setLogIndex(it.getPreviousLogIndex())
          .setCommit(it.getCommitIndex())
          .setQuery(it.getQuerySequenceNumber())
          .setFlow(it.getFlowControlSequenceNumber());
      it.getLogEntries().forEach(entry -> words.addEntries(Wire.to(entry)));
    } else if (message instanceof AppendEntriesSuccessResponse it) {
      words
          .setKind(WRaft.Kind.APPEND_SUCCESS)
          .setLogIndex(it.getLastLogIndex())
          .setQuery(it.getQuerySequenceNumber())
          .setFlow(it.getFlowControlSequenceNumber());
    } else if (message instanceof AppendEntriesFailureResponse it) {
      words
          .setKind(WRaft.Kind.APPEND_FAILURE)
          .setLogIndex(it.getExpectedNextIndex())
          .setQuery(it.getQuerySequenceNumber())
          .setFlow(it.getFlowControlSequenceNumber());
    } else if (message instanceof InstallSnapshotRequest
        || message instanceof InstallSnapshotResponse) {
      snapshot(message, words);
    } else {
      vote(message, words);
    }
    return words.build();
  }

  private static void snapshot(RaftMessage message, WRaft.Builder words) {
    if (message instanceof InstallSnapshotRequest it) {
      words
          .setKind(WRaft.Kind.SNAPSHOT_REQUEST)
          .setFlag(it.isSenderLeader())
          .setLogTerm(it.getSnapshotTerm())
          .setLogIndex(it.getSnapshotIndex())
          .setChunkNumber(it.getTotalSnapshotChunkCount())
          .addAllSnapshotted(Wire.to(it.getSnapshottedMembers()))
          .setGroup(Wire.to(it.getGroupMembersView()))
          .setQuery(it.getQuerySequenceNumber())
          .setFlow(it.getFlowControlSequenceNumber());
      if (it.getSnapshotChunk() != null) {
        words.setChunk(Wire.to(it.getSnapshotChunk()));
      }
    } else if (message instanceof InstallSnapshotResponse it) {
      words
          .setKind(WRaft.Kind.SNAPSHOT_RESPONSE)
          .setLogIndex(it.getSnapshotIndex())
          .setChunkNumber(it.getRequestedSnapshotChunkIndex())
          .setQuery(it.getQuerySequenceNumber())
          .setFlow(it.getFlowControlSequenceNumber());
    }
  }

  private static void vote(RaftMessage message, WRaft.Builder words) {
    if (message instanceof PreVoteRequest it) {
      words
          .setKind(WRaft.Kind.PRE_VOTE_REQUEST)
          .setLogTerm(it.getLastLogTerm())
          .setLogIndex(it.getLastLogIndex());
    } else if (message instanceof PreVoteResponse it) {
      words.setKind(WRaft.Kind.PRE_VOTE_RESPONSE).setFlag(it.isGranted());
    } else if (message instanceof VoteRequest it) {
      words
          .setKind(WRaft.Kind.VOTE_REQUEST)
          .setLogTerm(it.getLastLogTerm())
          .setLogIndex(it.getLastLogIndex())
          .setFlag(it.isSticky());
    } else if (message instanceof VoteResponse it) {
      words.setKind(WRaft.Kind.VOTE_RESPONSE).setFlag(it.isGranted());
    } else if (message instanceof TriggerLeaderElectionRequest it) {
      words
          .setKind(WRaft.Kind.TRIGGER_ELECTION)
          .setLogTerm(it.getLastLogTerm())
          .setLogIndex(it.getLastLogIndex());
    } else {
      throw new IllegalArgumentException(
          "a message the library did not have: " + message.getClass());
    }
  }

  static RaftMessage from(Object group, WRaft words) {
    if (words.getEntriesCount() > ENTRIES_MOST || words.getTerm() < 0) {
      throw new Unbelievable("message");
    }
    Seat sender = Wire.from(words.getSender());
    return switch (words.getKind()) {
      case APPEND_REQUEST ->
          Wire.MODELS
              .createAppendEntriesRequestBuilder()
              .setGroupId(group)
              .setSender(sender)
              .setTerm(words.getTerm())
              .setPreviousLogTerm(words.getLogTerm())
              .setPreviousLogIndex(words.getLogIndex())
              .setCommitIndex(words.getCommit())
              .setLogEntries(Wire.entries(words.getEntriesList()))
              .setQuerySequenceNumber(words.getQuery())
              .setFlowControlSequenceNumber(words.getFlow())
              .build();
      case APPEND_SUCCESS ->
          Wire.MODELS
              .createAppendEntriesSuccessResponseBuilder()
              .setGroupId(group)
              .setSender(sender)
              .setTerm(words.getTerm())
              .setLastLogIndex(words.getLogIndex())
              .setQuerySequenceNumber(words.getQuery())
              .setFlowControlSequenceNumber(words.getFlow())
              .build();
      case APPEND_FAILURE ->
          Wire.MODELS
              .createAppendEntriesFailureResponseBuilder()
              .setGroupId(group)
              .setSender(sender)
              .setTerm(words.getTerm())
              .setExpectedNextIndex(words.getLogIndex())
              .setQuerySequenceNumber(words.getQuery())
              .setFlowControlSequenceNumber(words.getFlow())
              .build();
      case SNAPSHOT_REQUEST ->
          Wire.MODELS
              .createInstallSnapshotRequestBuilder()
              .setGroupId(group)
              .setSender(sender)
              .setTerm(words.getTerm())
              .setSenderLeader(words.getFlag())
              .setSnapshotTerm(words.getLogTerm())
              .setSnapshotIndex(words.getLogIndex())
              .setTotalSnapshotChunkCount(words.getChunkNumber())
              .setSnapshotChunk(words.hasChunk() ? Wire.from(words.getChunk()) : null)
              .setSnapshottedMembers(Wire.from(words.getSnapshottedList()))
              .setGroupMembersView(Wire.from(words.getGroup()))
              .setQuerySequenceNumber(words.getQuery())
              .setFlowControlSequenceNumber(words.getFlow())
              .build();
      case SNAPSHOT_RESPONSE ->
          Wire.MODELS
              .createInstallSnapshotResponseBuilder()
              .setGroupId(group)
              .setSender(sender)
              .setTerm(words.getTerm())
              .setSnapshotIndex(words.getLogIndex())
              .setRequestedSnapshotChunkIndex(words.getChunkNumber())
              .setQuerySequenceNumber(words.getQuery())
              .setFlowControlSequenceNumber(words.getFlow())
              .build();
      case PRE_VOTE_REQUEST ->
          Wire.MODELS
              .createPreVoteRequestBuilder()
              .setGroupId(group)
              .setSender(sender)
              .setTerm(words.getTerm())
              .setLastLogTerm(words.getLogTerm())
              .setLastLogIndex(words.getLogIndex())
              .build();
      case PRE_VOTE_RESPONSE ->
          Wire.MODELS
              .createPreVoteResponseBuilder()
              .setGroupId(group)
              .setSender(sender)
              .setTerm(words.getTerm())
              .setGranted(words.getFlag())
              .build();
      case VOTE_REQUEST ->
          Wire.MODELS
              .createVoteRequestBuilder()
              .setGroupId(group)
              .setSender(sender)
              .setTerm(words.getTerm())
              .setLastLogTerm(words.getLogTerm())
              .setLastLogIndex(words.getLogIndex())
              .setSticky(words.getFlag())
              .build();
      case VOTE_RESPONSE ->
          Wire.MODELS
              .createVoteResponseBuilder()
              .setGroupId(group)
              .setSender(sender)
              .setTerm(words.getTerm())
              .setGranted(words.getFlag())
              .build();
      case TRIGGER_ELECTION ->
          Wire.MODELS
              .createTriggerLeaderElectionRequestBuilder()
              .setGroupId(group)
              .setSender(sender)
              .setTerm(words.getTerm())
              .setLastLogTerm(words.getLogTerm())
              .setLastLogIndex(words.getLogIndex())
              .build();
      case NONE, UNRECOGNIZED -> throw new Unbelievable("kind");
    };
  }
}
