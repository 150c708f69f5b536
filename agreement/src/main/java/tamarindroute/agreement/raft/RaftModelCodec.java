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
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import tamarindroute.agreement.Command;
import tamarindroute.agreement.ViewTransitions;
import tamarindroute.agreement.proto.WChange;
import tamarindroute.agreement.proto.WChunk;
import tamarindroute.agreement.proto.WGroup;
import tamarindroute.agreement.proto.WLogEntry;
import tamarindroute.agreement.proto.WMember;
import tamarindroute.agreement.wire.AgreementMessageCodec;
import tamarindroute.agreement.wire.AgreementMessageCodec.InvalidMessageException;
import tamarindroute.membership.Member;

/** The library's values as bytes' words, and back: log entries, parts of a snapshot, the group. */
final class RaftModelCodec {

  static final RaftModelFactory MODEL_FACTORY = new DefaultRaftModelFactory();

  /** Longest part of a snapshot; the whole view is told in parts. */
  static final int MAX_CHUNK_BYTES = 256 * 1024;

  /** Voters, and one each that comes and goes. */
  static final int MAX_GROUP_MEMBERS = ViewTransitions.MAX_VOTERS + 2;

  private RaftModelCodec() {}

  static WMember toProto(RaftEndpoint endpoint) {
    return AgreementMessageCodec.toProto(VoterEndpoint.memberOf(endpoint));
  }

  static List<WMember> toProto(Collection<RaftEndpoint> endpoints) {
    return endpoints.stream().map(RaftModelCodec::toProto).toList();
  }

  static VoterEndpoint fromProto(WMember proto) {
    return new VoterEndpoint(AgreementMessageCodec.fromProto(proto));
  }

  static Collection<RaftEndpoint> fromProto(List<WMember> proto) {
    Collection<RaftEndpoint> endpoints = new LinkedHashSet<>();
    for (Member one : AgreementMessageCodec.fromProto(proto, MAX_GROUP_MEMBERS)) {
      endpoints.add(new VoterEndpoint(one));
    }
    return endpoints;
  }

  static WGroup toProto(RaftGroupMembersView group) {
    return WGroup.newBuilder()
        .setIndex(group.getLogIndex())
        .addAllMembers(toProto(group.getMembers()))
        .addAllVoting(toProto(group.getVotingMembers()))
        .build();
  }

  static RaftGroupMembersView fromProto(WGroup proto) {
    return MODEL_FACTORY
        .createRaftGroupMembersViewBuilder()
        .setLogIndex(proto.getIndex())
        .setMembers(fromProto(proto.getMembersList()))
        .setVotingMembers(fromProto(proto.getVotingList()))
        .build();
  }

  static WLogEntry toProto(LogEntry entry) {
    WLogEntry.Builder proto =
        WLogEntry.newBuilder().setIndex(entry.getIndex()).setTerm(entry.getTerm());
    if (entry.getOperation() instanceof UpdateRaftGroupMembersOp change) {
      WGroup group =
          WGroup.newBuilder()
              .addAllMembers(toProto(change.getMembers()))
              .addAllVoting(toProto(change.getVotingMembers()))
              .build();
      return proto
          .setChange(
              WChange.newBuilder()
                  .setGroup(group)
                  .setEndpoint(toProto(change.getEndpoint()))
                  .setMode(change.getMode().ordinal()))
          .build();
    }
    return proto.setCommand(AgreementMessageCodec.toProto((Command) entry.getOperation())).build();
  }

  static LogEntry fromProto(WLogEntry proto) {
    return MODEL_FACTORY
        .createLogEntryBuilder()
        .setIndex(proto.getIndex())
        .setTerm(proto.getTerm())
        .setOperation(decodeOperation(proto))
        .build();
  }

  private static Object decodeOperation(WLogEntry proto) {
    return switch (proto.getOperationCase()) {
      case COMMAND -> AgreementMessageCodec.fromProto(proto.getCommand());
      case CHANGE -> decodeChange(proto.getChange());
      case OPERATION_NOT_SET -> throw new InvalidMessageException("entry without an operation");
    };
  }

  private static UpdateRaftGroupMembersOp decodeChange(WChange proto) {
    MembershipChangeMode[] modes = MembershipChangeMode.values();
    if (proto.getMode() < 0 || proto.getMode() >= modes.length) {
      throw new InvalidMessageException("mode");
    }
    return MODEL_FACTORY
        .createUpdateRaftGroupMembersOpBuilder()
        .setMembers(fromProto(proto.getGroup().getMembersList()))
        .setVotingMembers(fromProto(proto.getGroup().getVotingList()))
        .setEndpoint(fromProto(proto.getEndpoint()))
        .setMode(modes[proto.getMode()])
        .build();
  }

  static List<LogEntry> decodeEntries(List<WLogEntry> proto) {
    List<LogEntry> entries = new ArrayList<>(proto.size());
    proto.forEach(one -> entries.add(fromProto(one)));
    return entries;
  }

  static WChunk toProto(SnapshotChunk chunk) {
    return WChunk.newBuilder()
        .setIndex(chunk.getIndex())
        .setTerm(chunk.getTerm())
        .setPart((ByteString) chunk.getOperation())
        .setNumber(chunk.getSnapshotChunkIndex())
        .setCount(chunk.getSnapshotChunkCount())
        .setGroup(toProto(chunk.getGroupMembersView()))
        .build();
  }

  static SnapshotChunk fromProto(WChunk proto) {
    int most = AgreementMessageCodec.MAX_MESSAGE_BYTES / MAX_CHUNK_BYTES + 1;
    boolean placed =
        proto.getCount() > 0
            && proto.getCount() <= most
            && proto.getNumber() >= 0
            && proto.getNumber() < proto.getCount();
    if (!placed || proto.getPart().size() > MAX_CHUNK_BYTES) {
      throw new InvalidMessageException("part of a snapshot");
    }
    return MODEL_FACTORY
        .createSnapshotChunkBuilder()
        .setIndex(proto.getIndex())
        .setTerm(proto.getTerm())
        .setOperation(proto.getPart())
        .setSnapshotChunkIndex(proto.getNumber())
        .setSnapshotChunkCount(proto.getCount())
        .setGroupMembersView(fromProto(proto.getGroup()))
        .build();
  }
}
