package tamarindroute.agreement.raft;

import static org.assertj.core.api.Assertions.assertThat;
import static tamarindroute.agreement.raft.RaftSamples.change;

import com.google.protobuf.InvalidProtocolBufferException;
import io.microraft.MembershipChangeMode;
import io.microraft.model.groupop.UpdateRaftGroupMembersOp;
import io.microraft.model.log.LogEntry;
import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Test;
import tamarindroute.agreement.proto.LogEntryProto;
import tamarindroute.agreement.wire.DecodedMessage;

/**
 * Pins the bytes of membership changes, and computed values that must be the same in all versions.
 * Guards against voters of two versions that cannot read each other's log entries or messages.
 */
class RaftModelFormatTest {

  private static final HexFormat HEX = HexFormat.of();

  @Test
  void membershipChangesOfEachMode() throws InvalidProtocolBufferException {
    assertChange(
        MembershipChangeMode.ADD_LEARNER,
        "08f703100322660a55120f0a0831302e302e302e3110d836186412100a0831302e302e30"
            + "2e3210d83618ac02120d0a02763310011881d095ffbc311a0f0a0831302e302e302e3110"
            + "d83618641a100a0831302e302e302e3210d83618ac02120d0a02763310011881d095ffbc"
            + "31");
    assertChange(
        MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER,
        "08f703100322680a55120f0a0831302e302e302e3110d836186412100a0831302e302e30"
            + "2e3210d83618ac02120d0a02763310011881d095ffbc311a0f0a0831302e302e302e3110"
            + "d83618641a100a0831302e302e302e3210d83618ac02120d0a02763310011881d095ffbc"
            + "311801");
    assertChange(
        MembershipChangeMode.REMOVE_MEMBER,
        "08f703100322680a55120f0a0831302e302e302e3110d836186412100a0831302e302e30"
            + "2e3210d83618ac02120d0a02763310011881d095ffbc311a0f0a0831302e302e302e3110"
            + "d83618641a100a0831302e302e302e3210d83618ac02120d0a02763310011881d095ffbc"
            + "311802");
  }

  private static void assertChange(MembershipChangeMode mode, String hex)
      throws InvalidProtocolBufferException {
    assertThat(HEX.formatHex(RaftModelCodec.toProto(change(503, mode)).toByteArray()))
        .isEqualTo(hex);
    LogEntry read = RaftModelCodec.fromProto(LogEntryProto.parseFrom(HEX.parseHex(hex)));
    assertThat(((UpdateRaftGroupMembersOp) read.getOperation()).getMode()).isEqualTo(mode);
    assertThat(HEX.formatHex(RaftModelCodec.toProto(read).toByteArray())).isEqualTo(hex);
  }

  /**
   * The group's identifier is computed from its founders, so all versions must compute the same.
   */
  @Test
  void groupNumberOfFounders() {
    SimulatedCluster cluster = new SimulatedCluster(1, 3);
    cluster.awaitLeader();
    DecodedMessage.RaftEnvelope message =
        (DecodedMessage.RaftEnvelope)
            DecodedMessage.decode(cluster.lastMessageTo.get(SimulatedCluster.address(0)))
                .orElseThrow();
    assertThat(message.groupId()).isEqualTo(4_784_654_027_431_817_514L);
  }

  @Test
  void electionTimeoutsAreDrawnFromTheSeed() {
    DeterministicRandom random = new DeterministicRandom(42);
    assertThat(List.of(random.nextInt(), random.nextInt(1_000), random.nextInt(1_000)))
        .containsExactly(-77_315_224, 999, 562);
  }
}
