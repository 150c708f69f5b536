package tamarindroute.agreement.raft;

import static tamarindroute.agreement.raft.RaftModelCodec.MODEL_FACTORY;

import io.microraft.RaftEndpoint;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.log.SnapshotEntry;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import tamarindroute.agreement.ViewLimits;
import tamarindroute.agreement.proto.BootstrapOfferProto;
import tamarindroute.agreement.proto.GroupProto;
import tamarindroute.agreement.proto.StoreRecordProto;
import tamarindroute.agreement.proto.TermProto;
import tamarindroute.agreement.wire.ViewCodec;
import tamarindroute.membership.Member;

/**
 * In-memory image of a voter's store: its pledge, identity, group, term, log entries and snapshot
 * chunks. Rebuilt from the store's records when the store is opened, and written as records when
 * the store is compacted.
 */
final class StoredRaftState {

  /** 0 if there is no group. */
  private long groupId;

  private BootstrapOfferProto pledge = BootstrapOfferProto.getDefaultInstance();

  /** Record with the voter's identity and voting right; null until it is recorded for the group. */
  private StoreRecordProto self;

  /** Null until they are recorded for the group. */
  private GroupProto initialMembers;

  private TermProto term = TermProto.getDefaultInstance();
  private final TreeMap<Long, LogEntry> logEntries = new TreeMap<>();

  /** By log index of the snapshot, then by chunk index. */
  private final TreeMap<Long, TreeMap<Integer, SnapshotChunk>> snapshotChunks = new TreeMap<>();

  /**
   * Applies a record that was read from the store.
   *
   * @throws IOException if the record has no content
   */
  void apply(StoreRecordProto storeRecord) throws IOException {
    switch (storeRecord.getRecordCase()) {
      case PLEDGE -> pledge = storeRecord.getPledge();
      case GROUP_ID -> groupId = storeRecord.getGroupId();
      case SELF -> self = storeRecord;
      case INITIAL_MEMBERS -> initialMembers = storeRecord.getInitialMembers();
      case TERM -> term = storeRecord.getTerm();
      case LOG_ENTRY -> putLogEntry(RaftModelCodec.fromProto(storeRecord.getLogEntry()));
      case SNAPSHOT_CHUNK -> putChunk(RaftModelCodec.fromProto(storeRecord.getSnapshotChunk()));
      case TRUNCATED_FROM_INDEX -> truncateLogFrom(storeRecord.getTruncatedFromIndex());
      case TRUNCATED_UNTIL_INDEX -> truncateLogUntil(storeRecord.getTruncatedUntilIndex());
      case DELETED_SNAPSHOT_INDEX -> deleteSnapshot(storeRecord.getDeletedSnapshotIndex());
      case RECORD_NOT_SET ->
          throw new IOException(
              "store record of "
                  + storeRecord.getSerializedSize()
                  + " bytes has no content, expected one field of StoreRecordProto.record");
    }
  }

  /** Discards everything but the pledge, and sets the identifier of a new group. */
  void beginGroup(long newGroupId) {
    self = null;
    initialMembers = null;
    term = TermProto.getDefaultInstance();
    logEntries.clear();
    snapshotChunks.clear();
    groupId = newGroupId;
  }

  void setPledge(BootstrapOfferProto newPledge) {
    pledge = newPledge;
  }

  /** Sets the record with the voter's identity and voting right. */
  void setSelf(StoreRecordProto newSelf) {
    self = newSelf;
  }

  void setInitialMembers(GroupProto members) {
    initialMembers = members;
  }

  void setTerm(TermProto newTerm) {
    term = newTerm;
  }

  void putLogEntry(LogEntry entry) {
    logEntries.put(entry.getIndex(), entry);
  }

  void putChunk(SnapshotChunk chunk) {
    snapshotChunks
        .computeIfAbsent(chunk.getIndex(), index -> new TreeMap<>())
        .put(chunk.getSnapshotChunkIndex(), chunk);
  }

  void truncateLogFrom(long index) {
    logEntries.tailMap(index, true).clear();
  }

  void truncateLogUntil(long index) {
    logEntries.headMap(index, true).clear();
  }

  void deleteSnapshot(long index) {
    snapshotChunks.remove(index);
  }

  long groupId() {
    return groupId;
  }

  /**
   * Returns whether the group's identifier, the voter's own endpoint and the initial members are
   * all recorded. A voter that was stopped before the last of the three was recorded has never
   * voted.
   */
  boolean hasGroup() {
    return groupId != 0 && self != null && initialMembers != null;
  }

  /** Returns the identity that this voter has in its group; empty if there is no group. */
  Optional<Member> self() {
    return hasGroup() ? Optional.of(ViewCodec.fromProto(self.getSelf())) : Optional.empty();
  }

  /** Returns the identity that the store was created for; empty if the store is new. */
  Optional<Member> pledgedSelf() {
    return pledge.hasSelf() ? Optional.of(ViewCodec.fromProto(pledge.getSelf())) : Optional.empty();
  }

  /** Returns the founders that this voter has pledged to; empty if none. */
  List<Member> pledgedFounders() {
    return ViewCodec.fromProto(pledge.getPledgedFoundersList(), ViewLimits.MAX_VOTERS);
  }

  /**
   * Returns the state to restart MicroRaft from. Requires {@link #hasGroup}.
   *
   * @throws IllegalStateException if a log entry after the last complete snapshot is missing
   */
  RestoredRaftState restoredState() {
    RaftEndpointPersistentState endpointState =
        MODEL_FACTORY
            .createRaftEndpointPersistentStateBuilder()
            .setLocalEndpoint(RaftModelCodec.fromProto(self.getSelf()))
            .setVoting(self.getVoting())
            .build();
    SnapshotEntry snapshot = latestCompleteSnapshot();
    long firstIndex = snapshot == null ? 1 : snapshot.getIndex() + 1;
    return new RestoredRaftState(
        endpointState,
        RaftModelCodec.fromProto(initialMembers),
        restoredTerm(),
        snapshot,
        logEntriesFrom(firstIndex));
  }

  private RaftTermPersistentState restoredTerm() {
    RaftEndpoint votedFor =
        term.hasVotedFor() ? RaftModelCodec.fromProto(term.getVotedFor()) : null;
    return MODEL_FACTORY
        .createRaftTermPersistentStateBuilder()
        .setTerm(term.getTerm())
        .setVotedFor(votedFor)
        .build();
  }

  private List<LogEntry> logEntriesFrom(long firstIndex) {
    List<LogEntry> entries = new ArrayList<>();
    long expectedIndex = firstIndex;
    for (LogEntry entry : logEntries.tailMap(firstIndex, true).values()) {
      if (entry.getIndex() != expectedIndex) {
        throw new IllegalStateException(
            "stored log continues at index " + entry.getIndex() + ", expected " + expectedIndex);
      }
      entries.add(entry);
      expectedIndex++;
    }
    return entries;
  }

  /** Returns the snapshot of the highest log index that has all its chunks; null if none has. */
  private SnapshotEntry latestCompleteSnapshot() {
    for (TreeMap<Integer, SnapshotChunk> chunks : snapshotChunks.descendingMap().values()) {
      SnapshotChunk first = chunks.firstEntry().getValue();
      if (chunks.size() == first.getSnapshotChunkCount()) {
        return MODEL_FACTORY
            .createSnapshotEntryBuilder()
            .setIndex(first.getIndex())
            .setTerm(first.getTerm())
            .setSnapshotChunks(new ArrayList<>(chunks.values()))
            .setGroupMembersView(first.getGroupMembersView())
            .build();
      }
    }
    return null;
  }

  /** Returns the records of the compacted store, in the order in which they are written. */
  List<byte[]> compactedRecords() {
    List<byte[]> records = new ArrayList<>();
    records.add(bytes(StoreRecordProto.newBuilder().setGroupId(groupId)));
    if (pledge.hasSelf()) {
      records.add(bytes(StoreRecordProto.newBuilder().setPledge(pledge)));
    }
    if (self != null) {
      records.add(self.toByteArray());
    }
    if (initialMembers != null) {
      records.add(bytes(StoreRecordProto.newBuilder().setInitialMembers(initialMembers)));
    }
    records.add(bytes(StoreRecordProto.newBuilder().setTerm(term)));
    for (TreeMap<Integer, SnapshotChunk> chunks : snapshotChunks.values()) {
      for (SnapshotChunk chunk : chunks.values()) {
        records.add(
            bytes(StoreRecordProto.newBuilder().setSnapshotChunk(RaftModelCodec.toProto(chunk))));
      }
    }
    for (LogEntry entry : logEntries.values()) {
      records.add(bytes(StoreRecordProto.newBuilder().setLogEntry(RaftModelCodec.toProto(entry))));
    }
    return records;
  }

  private static byte[] bytes(StoreRecordProto.Builder storeRecord) {
    return storeRecord.build().toByteArray();
  }
}
