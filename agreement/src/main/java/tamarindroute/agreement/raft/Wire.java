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
import tamarindroute.agreement.Ledger;
import tamarindroute.agreement.proto.WChange;
import tamarindroute.agreement.proto.WChunk;
import tamarindroute.agreement.proto.WGroup;
import tamarindroute.agreement.proto.WLogEntry;
import tamarindroute.agreement.proto.WMember;
import tamarindroute.agreement.wire.Words;
import tamarindroute.agreement.wire.Words.Unbelievable;
import tamarindroute.membership.Member;

/** The library's values as bytes' words, and back: log entries, parts of a snapshot, the group. */
final class Wire {

  static final RaftModelFactory MODELS = new DefaultRaftModelFactory();

  /** Longest part of a snapshot; the whole view is told in parts. */
  static final int PART_MOST = 256 * 1024;

  /** Voters, and one each that comes and goes. */
  static final int GROUP_MOST = Ledger.VOTERS_MOST + 2;

  private Wire() {}

  static WMember to(RaftEndpoint endpoint) {
    return Words.to(Seat.of(endpoint));
  }

  static List<WMember> to(Collection<RaftEndpoint> endpoints) {
    return endpoints.stream().map(Wire::to).toList();
  }

  static Seat from(WMember words) {
    return new Seat(Words.from(words));
  }

  static Collection<RaftEndpoint> from(List<WMember> words) {
    Collection<RaftEndpoint> seats = new LinkedHashSet<>();
    for (Member one : Words.from(words, GROUP_MOST)) {
      seats.add(new Seat(one));
    }
    return seats;
  }

  static WGroup to(RaftGroupMembersView group) {
    return WGroup.newBuilder()
        .setIndex(group.getLogIndex())
        .addAllMembers(to(group.getMembers()))
        .addAllVoting(to(group.getVotingMembers()))
        .build();
  }

  static RaftGroupMembersView from(WGroup words) {
    return MODELS
        .createRaftGroupMembersViewBuilder()
        .setLogIndex(words.getIndex())
        .setMembers(from(words.getMembersList()))
        .setVotingMembers(from(words.getVotingList()))
        .build();
  }

  static WLogEntry to(LogEntry entry) {
    WLogEntry.Builder words =
        WLogEntry.newBuilder().setIndex(entry.getIndex()).setTerm(entry.getTerm());
    if (entry.getOperation() instanceof UpdateRaftGroupMembersOp change) {
      WGroup group =
          WGroup.newBuilder()
              .addAllMembers(to(change.getMembers()))
              .addAllVoting(to(change.getVotingMembers()))
              .build();
      return words
          .setChange(
              WChange.newBuilder()
                  .setGroup(group)
                  .setEndpoint(to(change.getEndpoint()))
                  .setMode(change.getMode().ordinal()))
          .build();
    }
    return words.setCommand(Words.to((Command) entry.getOperation())).build();
  }

  static LogEntry from(WLogEntry words) {
    return MODELS
        .createLogEntryBuilder()
        .setIndex(words.getIndex())
        .setTerm(words.getTerm())
        .setOperation(operation(words))
        .build();
  }

  private static Object operation(WLogEntry words) {
    return switch (words.getOperationCase()) {
      case COMMAND -> Words.from(words.getCommand());
      case CHANGE -> change(words.getChange());
      case OPERATION_NOT_SET -> throw new Unbelievable("entry without an operation");
    };
  }

  private static UpdateRaftGroupMembersOp change(WChange words) {
    MembershipChangeMode[] modes = MembershipChangeMode.values();
    if (words.getMode() < 0 || words.getMode() >= modes.length) {
      throw new Unbelievable("mode");
    }
    return MODELS
        .createUpdateRaftGroupMembersOpBuilder()
        .setMembers(from(words.getGroup().getMembersList()))
        .setVotingMembers(from(words.getGroup().getVotingList()))
        .setEndpoint(from(words.getEndpoint()))
        .setMode(modes[words.getMode()])
        .build();
  }

  static List<LogEntry> entries(List<WLogEntry> words) {
    List<LogEntry> entries = new ArrayList<>(words.size());
    words.forEach(one -> entries.add(from(one)));
    return entries;
  }

  static WChunk to(SnapshotChunk chunk) {
    return WChunk.newBuilder()
        .setIndex(chunk.getIndex())
        .setTerm(chunk.getTerm())
        .setPart((ByteString) chunk.getOperation())
        .setNumber(chunk.getSnapshotChunkIndex())
        .setCount(chunk.getSnapshotChunkCount())
        .setGroup(to(chunk.getGroupMembersView()))
        .build();
  }

  static SnapshotChunk from(WChunk words) {
    int most = Words.MESSAGE_MOST / PART_MOST + 1;
    boolean placed =
        words.getCount() > 0
            && words.getCount() <= most
            && words.getNumber() >= 0
            && words.getNumber() < words.getCount();
    if (!placed || words.getPart().size() > PART_MOST) {
      throw new Unbelievable("part of a snapshot");
    }
    return MODELS
        .createSnapshotChunkBuilder()
        .setIndex(words.getIndex())
        .setTerm(words.getTerm())
        .setOperation(words.getPart())
        .setSnapshotChunkIndex(words.getNumber())
        .setSnapshotChunkCount(words.getCount())
        .setGroupMembersView(from(words.getGroup()))
        .build();
  }
}
