package tamarindroute.agreement.raft;

import static tamarindroute.agreement.raft.RaftModelCodec.MODEL_FACTORY;

import com.google.protobuf.ByteString;
import io.microraft.MembershipChangeMode;
import io.microraft.RaftEndpoint;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;

/** Sample values of MicroRaft's types for the tests of formats. */
final class RaftSamples {

  static final Object GROUP = 77L;
  static final VoterEndpoint FIRST =
      new VoterEndpoint(new Member(new Address("10.0.0.1", 7000), 100));
  static final VoterEndpoint SECOND =
      new VoterEndpoint(new Member(new Address("10.0.0.2", 7000), 300));
  static final VoterEndpoint THIRD =
      new VoterEndpoint(new Member(new Address("v3", 1), 1_700_000_000_001L));

  static Collection<RaftEndpoint> members(RaftEndpoint... members) {
    return new LinkedHashSet<>(List.of(members));
  }

  static RaftGroupMembersView group() {
    return MODEL_FACTORY
        .createRaftGroupMembersViewBuilder()
        .setLogIndex(12)
        .setMembers(members(FIRST, SECOND, THIRD))
        .setVotingMembers(members(FIRST, SECOND))
        .build();
  }

  static LogEntry entry(long index, Object operation) {
    return MODEL_FACTORY
        .createLogEntryBuilder()
        .setIndex(index)
        .setTerm(3)
        .setOperation(operation)
        .build();
  }

  static LogEntry change(long index, MembershipChangeMode mode) {
    return entry(
        index,
        MODEL_FACTORY
            .createUpdateRaftGroupMembersOpBuilder()
            .setMembers(members(FIRST, SECOND, THIRD))
            .setVotingMembers(members(FIRST, SECOND))
            .setEndpoint(THIRD)
            .setMode(mode)
            .build());
  }

  static SnapshotChunk chunk() {
    return MODEL_FACTORY
        .createSnapshotChunkBuilder()
        .setIndex(500)
        .setTerm(3)
        .setOperation(ByteString.copyFrom(new byte[] {8, 0, -1}))
        .setSnapshotChunkIndex(1)
        .setSnapshotChunkCount(2)
        .setGroupMembersView(group())
        .build();
  }

  private RaftSamples() {}
}
