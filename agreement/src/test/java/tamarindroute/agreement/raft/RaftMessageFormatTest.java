package tamarindroute.agreement.raft;

import static org.assertj.core.api.Assertions.assertThat;
import static tamarindroute.agreement.raft.RaftModelCodec.MODEL_FACTORY;
import static tamarindroute.agreement.raft.RaftSamples.FIRST;
import static tamarindroute.agreement.raft.RaftSamples.GROUP;
import static tamarindroute.agreement.raft.RaftSamples.SECOND;
import static tamarindroute.agreement.raft.RaftSamples.THIRD;
import static tamarindroute.agreement.raft.RaftSamples.change;
import static tamarindroute.agreement.raft.RaftSamples.chunk;
import static tamarindroute.agreement.raft.RaftSamples.entry;
import static tamarindroute.agreement.raft.RaftSamples.group;
import static tamarindroute.agreement.raft.RaftSamples.members;

import com.google.protobuf.InvalidProtocolBufferException;
import io.microraft.MembershipChangeMode;
import io.microraft.RaftEndpoint;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.message.RaftMessage;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Test;
import tamarindroute.agreement.Command;
import tamarindroute.agreement.proto.RaftMessageProto;
import tamarindroute.agreement.wire.AgreementMessageCodec;
import tamarindroute.agreement.wire.DecodedMessage;

/**
 * Pins the bytes of each consensus message between voters, written and read back. Guards against a
 * changed format, with which voters of two versions could not exchange messages.
 */
class RaftMessageFormatTest {

  private static final HexFormat HEX = HexFormat.of();
  private static final String SNAPSHOT_REQUEST_WITH_CHUNK =
      "0808120f0a0831302e302e302e3110d83618641804200328f4033806400748015a6708f4"
          + "0310031a030800ff200128023257080c120f0a0831302e302e302e3110d836186412100a"
          + "0831302e302e302e3210d83618ac02120d0a02763310011881d095ffbc311a0f0a083130"
          + "2e302e302e3110d83618641a100a0831302e302e302e3210d83618ac0260026a0f0a0831"
          + "302e302e302e3110d83618646a100a0831302e302e302e3210d83618ac027257080c120f"
          + "0a0831302e302e302e3110d836186412100a0831302e302e302e3210d83618ac02120d0a"
          + "02763310011881d095ffbc311a0f0a0831302e302e302e3110d83618641a100a0831302e"
          + "302e302e3210d83618ac02";
  private static final String SNAPSHOT_REQUEST_WITHOUT_CHUNK =
      "0808120f0a0831302e302e302e3110d83618641804200328f4033806400760026a0f0a08"
          + "31302e302e302e3110d83618647257080c120f0a0831302e302e302e3110d83618641210"
          + "0a0831302e302e302e3210d83618ac02120d0a02763310011881d095ffbc311a0f0a0831"
          + "302e302e302e3110d83618641a100a0831302e302e302e3210d83618ac02";

  private static void assertFormat(RaftMessage message, String hex)
      throws InvalidProtocolBufferException {
    assertThat(HEX.formatHex(RaftMessageEncoder.toProto(message).toByteArray())).isEqualTo(hex);
    RaftMessage read =
        RaftMessageDecoder.fromProto(GROUP, RaftMessageProto.parseFrom(HEX.parseHex(hex)));
    assertThat(read.getClass()).isEqualTo(message.getClass());
    assertThat(read.getGroupId()).isEqualTo(GROUP);
    assertThat(read.getSender()).isEqualTo(message.getSender());
    assertThat(HEX.formatHex(RaftMessageEncoder.toProto(read).toByteArray())).isEqualTo(hex);
  }

  @Test
  void preVoteRequestAndResponse() throws InvalidProtocolBufferException {
    assertFormat(
        MODEL_FACTORY
            .createPreVoteRequestBuilder()
            .setGroupId(GROUP)
            .setSender(FIRST)
            .setTerm(4)
            .setLastLogTerm(3)
            .setLastLogIndex(500)
            .build(),
        "0801120f0a0831302e302e302e3110d83618641804200328f403");
    assertFormat(
        MODEL_FACTORY
            .createPreVoteResponseBuilder()
            .setGroupId(GROUP)
            .setSender(FIRST)
            .setTerm(4)
            .setGranted(true)
            .build(),
        "0802120f0a0831302e302e302e3110d836186418044801");
    assertFormat(
        MODEL_FACTORY
            .createPreVoteResponseBuilder()
            .setGroupId(GROUP)
            .setSender(FIRST)
            .setTerm(4)
            .setGranted(false)
            .build(),
        "0802120f0a0831302e302e302e3110d83618641804");
  }

  @Test
  void voteRequestAndResponse() throws InvalidProtocolBufferException {
    assertFormat(
        MODEL_FACTORY
            .createVoteRequestBuilder()
            .setGroupId(GROUP)
            .setSender(THIRD)
            .setTerm(4)
            .setLastLogTerm(3)
            .setLastLogIndex(500)
            .setSticky(true)
            .build(),
        "0803120d0a02763310011881d095ffbc311804200328f4034801");
    assertFormat(
        MODEL_FACTORY
            .createVoteResponseBuilder()
            .setGroupId(GROUP)
            .setSender(FIRST)
            .setTerm(4)
            .setGranted(true)
            .build(),
        "0804120f0a0831302e302e302e3110d836186418044801");
  }

  @Test
  void appendRequestWithEachOperation() throws InvalidProtocolBufferException {
    List<LogEntry> entries =
        List.of(
            entry(501, new Command.Put("k", 2, "t", new byte[] {1})),
            entry(502, new Command.NoOp()),
            change(503, MembershipChangeMode.ADD_LEARNER));
    assertFormat(
        MODEL_FACTORY
            .createAppendEntriesRequestBuilder()
            .setGroupId(GROUP)
            .setSender(FIRST)
            .setTerm(4)
            .setPreviousLogTerm(3)
            .setPreviousLogIndex(500)
            .setCommitIndex(499)
            .setLogEntries(entries)
            .setQuerySequenceNumber(6)
            .setFlowControlSequenceNumber(7)
            .build(),
        "0805120f0a0831302e302e302e3110d83618641804200328f40330f30338064007521408"
            + "f50310031a0d080210022a016b3201743a0101520708f60310031a00526d08f703100322"
            + "660a55120f0a0831302e302e302e3110d836186412100a0831302e302e302e3210d83618"
            + "ac02120d0a02763310011881d095ffbc311a0f0a0831302e302e302e3110d83618641a10"
            + "0a0831302e302e302e3210d83618ac02120d0a02763310011881d095ffbc31");
    assertFormat(
        MODEL_FACTORY
            .createAppendEntriesRequestBuilder()
            .setGroupId(GROUP)
            .setSender(FIRST)
            .setTerm(4)
            .setPreviousLogTerm(3)
            .setPreviousLogIndex(500)
            .setCommitIndex(499)
            .setLogEntries(new ArrayList<>())
            .setQuerySequenceNumber(6)
            .setFlowControlSequenceNumber(7)
            .build(),
        "0805120f0a0831302e302e302e3110d83618641804200328f40330f30338064007");
  }

  @Test
  void appendResponses() throws InvalidProtocolBufferException {
    assertFormat(
        MODEL_FACTORY
            .createAppendEntriesSuccessResponseBuilder()
            .setGroupId(GROUP)
            .setSender(SECOND)
            .setTerm(4)
            .setLastLogIndex(503)
            .setQuerySequenceNumber(6)
            .setFlowControlSequenceNumber(7)
            .build(),
        "080612100a0831302e302e302e3210d83618ac02180428f70338064007");
    assertFormat(
        MODEL_FACTORY
            .createAppendEntriesFailureResponseBuilder()
            .setGroupId(GROUP)
            .setSender(SECOND)
            .setTerm(4)
            .setExpectedNextIndex(400)
            .setQuerySequenceNumber(6)
            .setFlowControlSequenceNumber(7)
            .build(),
        "080712100a0831302e302e302e3210d83618ac02180428900338064007");
  }

  @Test
  void snapshotRequestAndResponse() throws InvalidProtocolBufferException {
    assertFormat(
        snapshotRequest(true, chunk(), members(FIRST, SECOND)), SNAPSHOT_REQUEST_WITH_CHUNK);
    assertFormat(snapshotRequest(false, null, members(FIRST)), SNAPSHOT_REQUEST_WITHOUT_CHUNK);
    assertFormat(
        MODEL_FACTORY
            .createInstallSnapshotResponseBuilder()
            .setGroupId(GROUP)
            .setSender(SECOND)
            .setTerm(4)
            .setSnapshotIndex(500)
            .setRequestedSnapshotChunkIndex(1)
            .setQuerySequenceNumber(6)
            .setFlowControlSequenceNumber(7)
            .build(),
        "080912100a0831302e302e302e3210d83618ac02180428f403380640076001");
  }

  private static RaftMessage snapshotRequest(
      boolean senderLeader, SnapshotChunk chunk, Collection<RaftEndpoint> snapshottedMembers) {
    return MODEL_FACTORY
        .createInstallSnapshotRequestBuilder()
        .setGroupId(GROUP)
        .setSender(FIRST)
        .setTerm(4)
        .setSenderLeader(senderLeader)
        .setSnapshotTerm(3)
        .setSnapshotIndex(500)
        .setTotalSnapshotChunkCount(2)
        .setSnapshotChunk(chunk)
        .setSnapshottedMembers(snapshottedMembers)
        .setGroupMembersView(group())
        .setQuerySequenceNumber(6)
        .setFlowControlSequenceNumber(7)
        .build();
  }

  @Test
  void triggerLeaderElectionRequest() throws InvalidProtocolBufferException {
    assertFormat(
        MODEL_FACTORY
            .createTriggerLeaderElectionRequestBuilder()
            .setGroupId(GROUP)
            .setSender(FIRST)
            .setTerm(4)
            .setLastLogTerm(3)
            .setLastLogIndex(500)
            .build(),
        "080a120f0a0831302e302e302e3110d83618641804200328f403");
  }

  @Test
  void envelopeOfAConsensusMessage() {
    String hex =
        "084d12100a0831302e302e302e3210d83618ac021a170802120f0a0831302e302e302e31"
            + "10d836186418044801";
    RaftMessageProto message =
        RaftMessageEncoder.toProto(
            MODEL_FACTORY
                .createPreVoteResponseBuilder()
                .setGroupId(GROUP)
                .setSender(FIRST)
                .setTerm(4)
                .setGranted(true)
                .build());
    byte[] bytes = AgreementMessageCodec.encodeRaftMessage(77, SECOND.member(), message);
    assertThat(HEX.formatHex(bytes)).isEqualTo(hex);
    assertThat(DecodedMessage.decode(HEX.parseHex(hex)))
        .contains(new DecodedMessage.RaftEnvelope(77, SECOND.member(), message));
  }
}
