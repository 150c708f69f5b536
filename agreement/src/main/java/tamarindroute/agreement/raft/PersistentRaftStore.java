package tamarindroute.agreement.raft;

import com.google.protobuf.InvalidProtocolBufferException;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import tamarindroute.agreement.proto.BootstrapOfferProto;
import tamarindroute.agreement.proto.GroupProto;
import tamarindroute.agreement.proto.StoreRecordProto;
import tamarindroute.agreement.proto.TermProto;
import tamarindroute.agreement.store.RecordLog;
import tamarindroute.agreement.store.StorageMedium;
import tamarindroute.agreement.wire.ViewCodec;
import tamarindroute.membership.Member;

/**
 * Persists a voter's state as records of a {@link RecordLog}: its pledge, identity, group, term and
 * vote, log entries and snapshot chunks. Compacts the record log when it has grown.
 */
final class PersistentRaftStore implements RaftStore {

  /** Growth of the record log since the last compaction, in bytes, that causes a compaction. */
  private static final long COMPACTION_GROWTH_BYTES = 4L * 1024 * 1024;

  private final RecordLog log;
  private final StoredRaftState state = new StoredRaftState();
  private long compactedSizeBytes;

  private PersistentRaftStore(RecordLog log) {
    this.log = log;
  }

  /**
   * Opens the store and reads its records.
   *
   * @throws IOException if the store cannot be read, or is damaged in a way that no crash explains.
   *     The voter must not vote then, as it may have forgotten a vote
   */
  static PersistentRaftStore open(StorageMedium medium) throws IOException {
    RecordLog log = new RecordLog(medium);
    PersistentRaftStore store = new PersistentRaftStore(log);
    for (byte[] storeRecord : log.open()) {
      store.state.apply(parse(storeRecord));
    }
    store.compactedSizeBytes = log.sizeBytes();
    return store;
  }

  private static StoreRecordProto parse(byte[] storeRecord) throws IOException {
    try {
      return StoreRecordProto.parseFrom(storeRecord);
    } catch (InvalidProtocolBufferException malformed) {
      throw new IOException(
          "store record of " + storeRecord.length + " bytes is not a valid StoreRecordProto",
          malformed);
    }
  }

  /** Returns the identity that this voter has in its group; empty if the store has no group. */
  Optional<Member> self() {
    return state.self();
  }

  /** Returns the identity that the store was created for; empty if the store is new. */
  Optional<Member> pledgedSelf() {
    return state.pledgedSelf();
  }

  /** Returns the founders that this voter has pledged to; empty if none. */
  List<Member> pledgedFounders() {
    return state.pledgedFounders();
  }

  /**
   * Durably records the voter's identity and pledge. To be called before they are sent in an offer.
   *
   * @param founders the founders pledged to; empty if the voter has not pledged yet
   */
  void pledge(Member self, List<Member> founders) throws IOException {
    BootstrapOfferProto.Builder pledge =
        BootstrapOfferProto.newBuilder().setSelf(ViewCodec.toProto(self));
    founders.forEach(founder -> pledge.addPledgedFounders(ViewCodec.toProto(founder)));
    state.setPledge(pledge.build());
    append(StoreRecordProto.newBuilder().setPledge(pledge));
    log.force();
  }

  long groupId() {
    return state.groupId();
  }

  /**
   * Returns whether the store has a group: the group's identifier, the voter's own endpoint and the
   * initial members are all recorded.
   */
  boolean hasGroup() {
    return state.hasGroup();
  }

  /** Discards everything but the pledge, and records the identifier of a new group. */
  void beginGroup(long groupId) throws IOException {
    state.beginGroup(groupId);
    compact();
  }

  /** Returns the state to restart MicroRaft from. Requires {@link #hasGroup}. */
  RestoredRaftState restoredState() {
    return state.restoredState();
  }

  @Override
  public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState endpoint)
      throws IOException {
    StoreRecordProto self =
        StoreRecordProto.newBuilder()
            .setSelf(RaftModelCodec.toProto(endpoint.getLocalEndpoint()))
            .setVoting(endpoint.isVoting())
            .build();
    state.setSelf(self);
    append(self.toBuilder());
    log.force();
  }

  @Override
  public void persistAndFlushInitialGroupMembers(RaftGroupMembersView members) throws IOException {
    GroupProto initialMembers = RaftModelCodec.toProto(members);
    state.setInitialMembers(initialMembers);
    append(StoreRecordProto.newBuilder().setInitialMembers(initialMembers));
    log.force();
  }

  @Override
  public void persistAndFlushTerm(RaftTermPersistentState termState) throws IOException {
    TermProto.Builder term = TermProto.newBuilder().setTerm(termState.getTerm());
    if (termState.getVotedFor() != null) {
      term.setVotedFor(RaftModelCodec.toProto(termState.getVotedFor()));
    }
    state.setTerm(term.build());
    append(StoreRecordProto.newBuilder().setTerm(term));
    log.force();
  }

  @Override
  public void persistLogEntries(List<LogEntry> newEntries) throws IOException {
    for (LogEntry entry : newEntries) {
      state.putLogEntry(entry);
      append(StoreRecordProto.newBuilder().setLogEntry(RaftModelCodec.toProto(entry)));
    }
  }

  @Override
  public void persistSnapshotChunk(SnapshotChunk chunk) throws IOException {
    state.putChunk(chunk);
    append(StoreRecordProto.newBuilder().setSnapshotChunk(RaftModelCodec.toProto(chunk)));
  }

  @Override
  public void truncateLogEntriesFrom(long index) throws IOException {
    state.truncateLogFrom(index);
    append(StoreRecordProto.newBuilder().setTruncatedFromIndex(index));
  }

  @Override
  public void truncateLogEntriesUntil(long index) throws IOException {
    state.truncateLogUntil(index);
    append(StoreRecordProto.newBuilder().setTruncatedUntilIndex(index));
  }

  @Override
  public void deleteSnapshotChunks(long index, int count) throws IOException {
    state.deleteSnapshot(index);
    append(StoreRecordProto.newBuilder().setDeletedSnapshotIndex(index));
  }

  @Override
  public void flush() throws IOException {
    if (log.sizeBytes() - compactedSizeBytes > COMPACTION_GROWTH_BYTES) {
      compact();
    } else {
      log.force();
    }
  }

  private void append(StoreRecordProto.Builder storeRecord) throws IOException {
    log.append(storeRecord.build().toByteArray());
  }

  private void compact() throws IOException {
    log.replace(state.compactedRecords());
    compactedSizeBytes = log.sizeBytes();
  }

  /**
   * Returns whether a write has failed. The voter must not send anything from then on, as the state
   * that it would promise to keep may not be durable.
   */
  boolean hasFailed() {
    return log.hasFailed();
  }

  void close() throws IOException {
    log.close();
  }

  /**
   * Closes the store and ignores failures. Nothing is lost by them, as everything that must be
   * durable was forced when it was written.
   */
  void closeQuietly() {
    try {
      close();
    } catch (IOException ignored) {
      return;
    }
  }
}
