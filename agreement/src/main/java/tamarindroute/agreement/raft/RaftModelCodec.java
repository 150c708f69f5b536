package tamarindroute.agreement.raft;

import com.google.protobuf.ByteString;
import io.microraft.MembershipChangeMode;
import io.microraft.RaftEndpoint;
import io.microraft.model.RaftModelFactory;
import io.microraft.model.groupop.UpdateRaftGroupMembersOp;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import tamarindroute.agreement.Command;
import tamarindroute.agreement.ViewLimits;
import tamarindroute.agreement.proto.GroupChangeProto;
import tamarindroute.agreement.proto.GroupProto;
import tamarindroute.agreement.proto.LogEntryProto;
import tamarindroute.agreement.proto.MemberProto;
import tamarindroute.agreement.proto.SnapshotChunkProto;
import tamarindroute.agreement.wire.AgreementMessageCodec;
import tamarindroute.agreement.wire.InvalidMessageException;
import tamarindroute.agreement.wire.ViewCodec;
import tamarindroute.membership.Member;

/**
 * Converts MicroRaft's model objects (endpoints, group members, log entries, snapshot chunks) to
 * Protocol Buffers and back, for messages and for the store.
 */
final class RaftModelCodec {

  static final RaftModelFactory MODEL_FACTORY = new DefaultRaftModelFactory();

  /** Largest content of a snapshot chunk in bytes. */
  static final int MAX_CHUNK_BYTES = 256 * 1024;

  /** Largest number of chunks in a snapshot, which holds one view. */
  private static final int MAX_CHUNKS =
      AgreementMessageCodec.MAX_MESSAGE_BYTES / MAX_CHUNK_BYTES + 1;

  /** Largest number of group members: all voters, one being added and one being removed. */
  private static final int MAX_GROUP_MEMBERS = ViewLimits.MAX_VOTERS + 2;

  private RaftModelCodec() {}

  static MemberProto toProto(RaftEndpoint endpoint) {
    return ViewCodec.toProto(VoterEndpoint.memberOf(endpoint));
  }

  static List<MemberProto> toProto(Collection<RaftEndpoint> endpoints) {
    return endpoints.stream().map(RaftModelCodec::toProto).toList();
  }

  static VoterEndpoint fromProto(MemberProto proto) {
    return new VoterEndpoint(ViewCodec.fromProto(proto));
  }

  static Collection<RaftEndpoint> fromProto(List<MemberProto> protos) {
    Collection<RaftEndpoint> endpoints = new LinkedHashSet<>();
    for (Member member : ViewCodec.fromProto(protos, MAX_GROUP_MEMBERS)) {
      endpoints.add(new VoterEndpoint(member));
    }
    return endpoints;
  }

  static GroupProto toProto(RaftGroupMembersView group) {
    return GroupProto.newBuilder()
        .setLogIndex(group.getLogIndex())
        .addAllMembers(toProto(group.getMembers()))
        .addAllVotingMembers(toProto(group.getVotingMembers()))
        .build();
  }

  static RaftGroupMembersView fromProto(GroupProto proto) {
    return MODEL_FACTORY
        .createRaftGroupMembersViewBuilder()
        .setLogIndex(proto.getLogIndex())
        .setMembers(fromProto(proto.getMembersList()))
        .setVotingMembers(fromProto(proto.getVotingMembersList()))
        .build();
  }

  static LogEntryProto toProto(LogEntry entry) {
    LogEntryProto.Builder proto =
        LogEntryProto.newBuilder().setIndex(entry.getIndex()).setTerm(entry.getTerm());
    if (entry.getOperation() instanceof UpdateRaftGroupMembersOp change) {
      proto.setGroupChange(toProto(change));
    } else {
      proto.setCommand(ViewCodec.toProto((Command) entry.getOperation()));
    }
    return proto.build();
  }

  private static GroupChangeProto toProto(UpdateRaftGroupMembersOp change) {
    GroupProto.Builder group =
        GroupProto.newBuilder()
            .addAllMembers(toProto(change.getMembers()))
            .addAllVotingMembers(toProto(change.getVotingMembers()));
    return GroupChangeProto.newBuilder()
        .setGroup(group)
        .setEndpoint(toProto(change.getEndpoint()))
        .setMode(toProto(change.getMode()))
        .build();
  }

  static LogEntry fromProto(LogEntryProto proto) {
    return MODEL_FACTORY
        .createLogEntryBuilder()
        .setIndex(proto.getIndex())
        .setTerm(proto.getTerm())
        .setOperation(operationFromProto(proto))
        .build();
  }

  private static Object operationFromProto(LogEntryProto proto) {
    return switch (proto.getOperationCase()) {
      case COMMAND -> ViewCodec.fromProto(proto.getCommand());
      case GROUP_CHANGE -> fromProto(proto.getGroupChange());
      case OPERATION_NOT_SET ->
          throw new InvalidMessageException(
              "log entry "
                  + proto.getIndex()
                  + " has no operation, expected a command or a group change");
    };
  }

  private static UpdateRaftGroupMembersOp fromProto(GroupChangeProto proto) {
    return MODEL_FACTORY
        .createUpdateRaftGroupMembersOpBuilder()
        .setMembers(fromProto(proto.getGroup().getMembersList()))
        .setVotingMembers(fromProto(proto.getGroup().getVotingMembersList()))
        .setEndpoint(fromProto(proto.getEndpoint()))
        .setMode(mode(proto))
        .build();
  }

  private static GroupChangeProto.Mode toProto(MembershipChangeMode mode) {
    return switch (mode) {
      case ADD_LEARNER -> GroupChangeProto.Mode.ADD_LEARNER;
      case ADD_OR_PROMOTE_TO_FOLLOWER -> GroupChangeProto.Mode.ADD_OR_PROMOTE_TO_FOLLOWER;
      case REMOVE_MEMBER -> GroupChangeProto.Mode.REMOVE_MEMBER;
    };
  }

  private static MembershipChangeMode mode(GroupChangeProto proto) {
    return switch (proto.getMode()) {
      case ADD_LEARNER -> MembershipChangeMode.ADD_LEARNER;
      case ADD_OR_PROMOTE_TO_FOLLOWER -> MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER;
      case REMOVE_MEMBER -> MembershipChangeMode.REMOVE_MEMBER;
      case UNRECOGNIZED ->
          throw new InvalidMessageException(
              "group change mode is "
                  + proto.getModeValue()
                  + ", expected "
                  + GroupChangeProto.Mode.ADD_LEARNER_VALUE
                  + " to "
                  + GroupChangeProto.Mode.REMOVE_MEMBER_VALUE);
    };
  }

  static SnapshotChunkProto toProto(SnapshotChunk chunk) {
    return SnapshotChunkProto.newBuilder()
        .setIndex(chunk.getIndex())
        .setTerm(chunk.getTerm())
        .setContent((ByteString) chunk.getOperation())
        .setChunkIndex(chunk.getSnapshotChunkIndex())
        .setChunkCount(chunk.getSnapshotChunkCount())
        .setGroup(toProto(chunk.getGroupMembersView()))
        .build();
  }

  static SnapshotChunk fromProto(SnapshotChunkProto proto) {
    int count = proto.getChunkCount();
    if (count <= 0 || count > MAX_CHUNKS) {
      throw new InvalidMessageException(
          "snapshot of " + count + " chunks, 1 to " + MAX_CHUNKS + " allowed");
    }
    if (proto.getChunkIndex() < 0 || proto.getChunkIndex() >= count) {
      throw new InvalidMessageException(
          "snapshot chunk index " + proto.getChunkIndex() + ", 0 to " + (count - 1) + " allowed");
    }
    if (proto.getContent().size() > MAX_CHUNK_BYTES) {
      throw new InvalidMessageException(
          "snapshot chunk content of "
              + proto.getContent().size()
              + " bytes, at most "
              + MAX_CHUNK_BYTES
              + " allowed");
    }
    return MODEL_FACTORY
        .createSnapshotChunkBuilder()
        .setIndex(proto.getIndex())
        .setTerm(proto.getTerm())
        .setOperation(proto.getContent())
        .setSnapshotChunkIndex(proto.getChunkIndex())
        .setSnapshotChunkCount(count)
        .setGroupMembersView(fromProto(proto.getGroup()))
        .build();
  }
}
