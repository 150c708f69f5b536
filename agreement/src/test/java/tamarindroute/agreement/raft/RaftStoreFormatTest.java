package tamarindroute.agreement.raft;

import static org.assertj.core.api.Assertions.assertThat;
import static tamarindroute.agreement.raft.RaftModelCodec.MODEL_FACTORY;

import com.google.protobuf.ByteString;
import io.microraft.RaftEndpoint;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.util.Collection;
import java.util.HexFormat;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import tamarindroute.agreement.Command;
import tamarindroute.agreement.MembershipView;
import tamarindroute.agreement.ReplicatedEntry;
import tamarindroute.agreement.store.InMemoryStorageMedium;
import tamarindroute.agreement.wire.ViewCodec;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;

/**
 * Pins the bytes of each record of a voter's store and of a snapshot, written and read back. Guards
 * against a changed format, with which a voter could not restart from the store of an earlier
 * version.
 */
class RaftStoreFormatTest {

  private static final HexFormat HEX = HexFormat.of();
  private static final Member SELF = new Member(new Address("10.0.0.1", 7000), 100);
  private static final Member OTHER = new Member(new Address("10.0.0.2", 7000), 300);
  private static final String PLEDGE =
      "0000003694c353402c6d49cd5a340a0f0a0831302e302e302e3110d8361864120f0a0831"
          + "302e302e302e3110d836186412100a0831302e302e302e3210d83618ac025a";
  private static final String BEGIN =
      "00000002b577a7f589326b43504d5a0000003694c353402c6d49cd5a340a0f0a0831302e"
          + "302e302e3110d8361864120f0a0831302e302e302e3110d836186412100a0831302e302e"
          + "302e3210d83618ac025a00000002b577a7f58bc9f1e11a005a";
  private static final String ENDPOINT =
      "00000013dfc787077410eaea0a0f0a0831302e302e302e3110d836186448015a";
  private static final String INITIAL_MEMBERS =
      "00000048237e0f7ba81009681246120f0a0831302e302e302e3110d836186412100a0831"
          + "302e302e302e3210d83618ac021a0f0a0831302e302e302e3110d83618641a100a083130"
          + "2e302e302e3210d83618ac025a";
  private static final String TERM_WITH_VOTE =
      "00000016afad73882d3d58d21a14080112100a0831302e302e302e3210d83618ac025a";
  private static final String TERM_WITHOUT_VOTE = "000000045c1402c0418e4e681a0208025a";
  private static final String ENTRY =
      "0000001441a312a4b778ad45221208f50310021a0b08022a016b3201743a01015a";
  private static final String CHUNK =
      "00000055407863a200b2304d2a5308f40310021a02080728013246120f0a0831302e302e"
          + "302e3110d836186412100a0831302e302e302e3210d83618ac021a0f0a0831302e302e30"
          + "2e3110d83618641a100a0831302e302e302e3210d83618ac025a";
  private static final String TRUNCATED_FROM = "00000003c27097637af832c630f6035a";
  private static final String TRUNCATED_UNTIL = "00000003c270976346dd01fc38f4035a";
  private static final String CHUNKS_DELETED = "00000003c27097631dae96b74090035a";

  private static RaftGroupMembersView group() {
    Collection<RaftEndpoint> members =
        new LinkedHashSet<>(List.of(new VoterEndpoint(SELF), new VoterEndpoint(OTHER)));
    return MODEL_FACTORY
        .createRaftGroupMembersViewBuilder()
        .setLogIndex(0)
        .setMembers(members)
        .setVotingMembers(members)
        .build();
  }

  private static LogEntry entry(long index) {
    return MODEL_FACTORY
        .createLogEntryBuilder()
        .setIndex(index)
        .setTerm(2)
        .setOperation(new Command.Put("k", 0, "t", new byte[] {1}))
        .build();
  }

  private static SnapshotChunk chunk() {
    return MODEL_FACTORY
        .createSnapshotChunkBuilder()
        .setIndex(500)
        .setTerm(2)
        .setOperation(ByteString.copyFrom(new byte[] {8, 7}))
        .setSnapshotChunkIndex(0)
        .setSnapshotChunkCount(1)
        .setGroupMembersView(group())
        .build();
  }

  private static RaftEndpointPersistentState endpoint() {
    return MODEL_FACTORY
        .createRaftEndpointPersistentStateBuilder()
        .setLocalEndpoint(new VoterEndpoint(SELF))
        .setVoting(true)
        .build();
  }

  private static RaftTermPersistentState term(int term, RaftEndpoint votedFor) {
    return MODEL_FACTORY
        .createRaftTermPersistentStateBuilder()
        .setTerm(term)
        .setVotedFor(votedFor)
        .build();
  }

  private interface WriteOperation {
    void run() throws IOException;
  }

  /** Returns the bytes that a write appends to the medium, as hexadecimal digits. */
  private static String appended(InMemoryStorageMedium medium, WriteOperation write)
      throws IOException {
    int before = medium.read().length;
    write.run();
    byte[] after = medium.read();
    return HEX.formatHex(after, before, after.length);
  }

  @Test
  void eachRecordAsWritten() throws IOException {
    InMemoryStorageMedium medium = new InMemoryStorageMedium();
    PersistentRaftStore store = PersistentRaftStore.open(medium);
    assertThat(appended(medium, () -> store.pledge(SELF, List.of(SELF, OTHER)))).isEqualTo(PLEDGE);
    store.beginGroup(77);
    assertThat(HEX.formatHex(medium.read())).isEqualTo(BEGIN);
    assertThat(appended(medium, () -> store.persistAndFlushLocalEndpoint(endpoint())))
        .isEqualTo(ENDPOINT);
    assertThat(appended(medium, () -> store.persistAndFlushInitialGroupMembers(group())))
        .isEqualTo(INITIAL_MEMBERS);
    assertThat(appended(medium, () -> store.persistAndFlushTerm(term(1, new VoterEndpoint(OTHER)))))
        .isEqualTo(TERM_WITH_VOTE);
    assertThat(appended(medium, () -> store.persistAndFlushTerm(term(2, null))))
        .isEqualTo(TERM_WITHOUT_VOTE);
    assertThat(appended(medium, () -> store.persistLogEntries(List.of(entry(501)))))
        .isEqualTo(ENTRY);
    assertThat(appended(medium, () -> store.persistSnapshotChunk(chunk()))).isEqualTo(CHUNK);
    assertThat(appended(medium, () -> store.truncateLogEntriesFrom(502))).isEqualTo(TRUNCATED_FROM);
    assertThat(appended(medium, () -> store.truncateLogEntriesUntil(500)))
        .isEqualTo(TRUNCATED_UNTIL);
    assertThat(appended(medium, () -> store.deleteSnapshotChunks(400, 1)))
        .isEqualTo(CHUNKS_DELETED);
    assertThat(appended(medium, store::flush)).isEmpty();
  }

  @Test
  void recordsAreReadBack() throws IOException {
    InMemoryStorageMedium medium = new InMemoryStorageMedium();
    medium.append(
        HEX.parseHex(
            BEGIN
                + ENDPOINT
                + INITIAL_MEMBERS
                + TERM_WITHOUT_VOTE
                + TERM_WITH_VOTE
                + ENTRY
                + CHUNK
                + TRUNCATED_FROM
                + TRUNCATED_UNTIL
                + CHUNKS_DELETED));
    PersistentRaftStore store = PersistentRaftStore.open(medium);
    assertThat(store.hasGroup()).isTrue();
    assertThat(store.groupId()).isEqualTo(77);
    assertThat(store.self()).contains(SELF);
    assertThat(store.pledgedSelf()).contains(SELF);
    assertThat(store.pledgedFounders()).containsExactly(SELF, OTHER);
    RestoredRaftState state = store.restoredState();
    assertThat(state.getLocalEndpointPersistentState().getLocalEndpoint())
        .isEqualTo(new VoterEndpoint(SELF));
    assertThat(state.getLocalEndpointPersistentState().isVoting()).isTrue();
    assertThat(state.getTermPersistentState().getTerm()).isEqualTo(1);
    assertThat(state.getTermPersistentState().getVotedFor()).isEqualTo(new VoterEndpoint(OTHER));
    assertThat(state.getInitialGroupMembers().getMembers())
        .containsExactly(new VoterEndpoint(SELF), new VoterEndpoint(OTHER));
    assertThat(state.getSnapshotEntry().getIndex()).isEqualTo(500);
    assertThat(state.getLogEntries())
        .hasSize(1)
        .allSatisfy(entry -> assertThat(entry.getIndex()).isEqualTo(501));
  }

  @Test
  void pledgeAloneIsReadBack() throws IOException {
    InMemoryStorageMedium medium = new InMemoryStorageMedium();
    medium.append(HEX.parseHex(PLEDGE));
    PersistentRaftStore store = PersistentRaftStore.open(medium);
    assertThat(store.hasGroup()).isFalse();
    assertThat(store.pledgedSelf()).contains(SELF);
    assertThat(store.pledgedFounders()).containsExactly(SELF, OTHER);
  }

  /**
   * A file that has grown by more than the limit is compacted to the records of the current state,
   * in a fixed order.
   */
  @Test
  void compactedFile() throws IOException {
    InMemoryStorageMedium medium = new InMemoryStorageMedium();
    medium.append(
        HEX.parseHex(BEGIN + ENDPOINT + INITIAL_MEMBERS + TERM_WITHOUT_VOTE + ENTRY + CHUNK));
    PersistentRaftStore store = PersistentRaftStore.open(medium);
    LogEntry large =
        MODEL_FACTORY
            .createLogEntryBuilder()
            .setIndex(502)
            .setTerm(2)
            .setOperation(new Command.Put("k", 0, "t", new byte[16 * 1024]))
            .build();
    for (int i = 0; i < 300; i++) {
      store.persistLogEntries(List.of(large));
    }
    store.truncateLogEntriesFrom(502);
    store.flush();
    int pledgeEnd = BEGIN.indexOf(PLEDGE) + PLEDGE.length();
    assertThat(HEX.formatHex(medium.read()))
        .isEqualTo(
            BEGIN.substring(0, pledgeEnd)
                + ENDPOINT
                + INITIAL_MEMBERS
                + TERM_WITHOUT_VOTE
                + CHUNK
                + ENTRY);
  }

  @Test
  void snapshotOfTheView() {
    String hex =
        "084d10041a0f0a0831302e302e302e3110d83618641a100a0831302e302e302e3210d836"
            + "18ac02220f0a0831302e302e302e3110d83618642a110a076c6576656c2f3112016c1a01"
            + "0520033002";
    TreeMap<String, ReplicatedEntry> entries = new TreeMap<>();
    entries.put("level/1", new ReplicatedEntry("l", new byte[] {5}, 3));
    MembershipView view =
        new MembershipView(77, 4, 2, List.of(SELF, OTHER), List.of(SELF), entries);
    assertThat(HEX.formatHex(ViewCodec.toProto(view).toByteArray())).isEqualTo(hex);
    ViewStateMachine stateMachine = new ViewStateMachine(1);
    stateMachine.installSnapshot(
        9,
        List.of(
            ByteString.copyFrom(HEX.parseHex(hex.substring(0, 20))),
            ByteString.copyFrom(HEX.parseHex(hex.substring(20)))));
    assertThat(stateMachine.view()).isEqualTo(view);
    StringBuilder chunks = new StringBuilder();
    stateMachine.takeSnapshot(
        10, chunk -> chunks.append(HEX.formatHex(((ByteString) chunk).toByteArray())));
    assertThat(chunks).hasToString(hex);
  }
}
