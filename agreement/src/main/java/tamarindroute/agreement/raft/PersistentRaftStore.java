package tamarindroute.agreement.raft;

import com.google.protobuf.InvalidProtocolBufferException;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.log.SnapshotEntry;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import tamarindroute.agreement.ViewTransitions;
import tamarindroute.agreement.proto.WGroup;
import tamarindroute.agreement.proto.WKept;
import tamarindroute.agreement.proto.WOffer;
import tamarindroute.agreement.proto.WTerm;
import tamarindroute.agreement.store.RecordLog;
import tamarindroute.agreement.store.StorageMedium;
import tamarindroute.agreement.wire.AgreementMessageCodec;
import tamarindroute.membership.Member;

/**
 * Owns what a voter keeps: who it is, whom it gave its vote, the log, the last snapshot; as
 * records, and in memory.
 */
final class PersistentRaftStore implements RaftStore {

  /** The file may grow by so much before it is written anew with only what still counts. */
  private static final long MAX_GROWTH_BYTES = 4L * 1024 * 1024;

  private final RecordLog log;
  private long groupId;
  private WOffer pledge = WOffer.getDefaultInstance();
  private WKept self;
  private WGroup initialMembers;
  private WTerm term = WTerm.getDefaultInstance();
  private final TreeMap<Long, LogEntry> logEntries = new TreeMap<>();
  private final TreeMap<Long, TreeMap<Integer, SnapshotChunk>> snapshotChunks = new TreeMap<>();
  private long compactedSizeBytes;

  private PersistentRaftStore(RecordLog log) {
    this.log = log;
  }

  /**
   * Reads what there is; damage that no crash explains is told by an exception, and then nothing
   * may be voted.
   */
  static PersistentRaftStore open(StorageMedium medium) throws IOException {
    PersistentRaftStore store = new PersistentRaftStore(new RecordLog(medium));
    for (byte[] record : store.log.open()) {
      store.replay(record);
    }
    store.compactedSizeBytes = store.log.sizeBytes();
    return store;
  }

  private void replay(byte[] record) throws IOException {
    WKept proto;
    try {
      proto = WKept.parseFrom(record);
    } catch (InvalidProtocolBufferException unknown) {
      throw new IOException("a record of another form", unknown);
    }
    switch (proto.getWhatCase()) {
      case PLEDGE -> pledge = proto.getPledge();
      case GROUP -> groupId = proto.getGroup();
      case SELF -> self = proto;
      case INITIAL -> initialMembers = proto.getInitial();
      case TERM -> term = proto.getTerm();
      case ENTRY ->
          logEntries.put(proto.getEntry().getIndex(), RaftModelCodec.fromProto(proto.getEntry()));
      case CHUNK -> addChunk(RaftModelCodec.fromProto(proto.getChunk()));
      case TRUNCATED_FROM -> logEntries.tailMap(proto.getTruncatedFrom(), true).clear();
      case TRUNCATED_UNTIL -> logEntries.headMap(proto.getTruncatedUntil(), true).clear();
      case CHUNKS_DELETED -> snapshotChunks.remove(proto.getChunksDeleted());
      case WHAT_NOT_SET -> throw new IOException("a record that says nothing");
    }
  }

  private void addChunk(SnapshotChunk chunk) {
    snapshotChunks
        .computeIfAbsent(chunk.getIndex(), index -> new TreeMap<>())
        .put(chunk.getSnapshotChunkIndex(), chunk);
  }

  /** Who wrote it; empty if it is new. */
  Optional<Member> self() {
    return hasGroup()
        ? Optional.of(RaftModelCodec.fromProto(self.getSelf()).member())
        : Optional.empty();
  }

  /** Who it is since its store was made, and whom it is bound to found with, if anyone. */
  Optional<Member> pledgedSelf() {
    return pledge.hasSelf()
        ? Optional.of(AgreementMessageCodec.fromProto(pledge.getSelf()))
        : Optional.empty();
  }

  List<Member> pledgedFounders() {
    return AgreementMessageCodec.fromProto(pledge.getBoundList(), ViewTransitions.MAX_VOTERS);
  }

  /** Kept before it is told to anyone. */
  void pledge(Member who, List<Member> bound) throws IOException {
    WOffer.Builder proto = WOffer.newBuilder().setSelf(AgreementMessageCodec.toProto(who));
    bound.forEach(one -> proto.addBound(AgreementMessageCodec.toProto(one)));
    pledge = proto.build();
    append(WKept.newBuilder().setPledge(pledge));
    log.force();
  }

  long groupId() {
    return groupId;
  }

  /** A start that was cut off before all three were kept never gave a word. */
  boolean hasGroup() {
    return groupId != 0 && self != null && initialMembers != null;
  }

  /** Begins anew, for this group. */
  void beginGroup(long newGroup) throws IOException {
    self = null;
    initialMembers = null;
    term = WTerm.getDefaultInstance();
    logEntries.clear();
    snapshotChunks.clear();
    groupId = newGroup;
    compact();
  }

  RestoredRaftState restoredState() {
    RaftEndpointPersistentState endpoint =
        RaftModelCodec.MODEL_FACTORY
            .createRaftEndpointPersistentStateBuilder()
            .setLocalEndpoint(RaftModelCodec.fromProto(self.getSelf()))
            .setVoting(self.getVoting())
            .build();
    RaftTermPersistentState persistent =
        RaftModelCodec.MODEL_FACTORY
            .createRaftTermPersistentStateBuilder()
            .setTerm(term.getTerm())
            .setVotedFor(term.hasVoted() ? RaftModelCodec.fromProto(term.getVoted()) : null)
            .build();
    SnapshotEntry snapshot = latestCompleteSnapshot();
    List<LogEntry> after = new ArrayList<>();
    long next = snapshot == null ? 1 : snapshot.getIndex() + 1;
    for (LogEntry entry : logEntries.tailMap(next, true).values()) {
      if (entry.getIndex() != next++) {
        throw new IllegalStateException("the kept log has a hole at " + (next - 1));
      }
      after.add(entry);
    }
    return new RestoredRaftState(
        endpoint, RaftModelCodec.fromProto(initialMembers), persistent, snapshot, after);
  }

  /** The last snapshot of which every part is there. */
  private SnapshotEntry latestCompleteSnapshot() {
    for (Map.Entry<Long, TreeMap<Integer, SnapshotChunk>> one :
        snapshotChunks.descendingMap().entrySet()) {
      SnapshotChunk first = one.getValue().firstEntry().getValue();
      if (one.getValue().size() == first.getSnapshotChunkCount()) {
        return RaftModelCodec.MODEL_FACTORY
            .createSnapshotEntryBuilder()
            .setIndex(first.getIndex())
            .setTerm(first.getTerm())
            .setSnapshotChunks(new ArrayList<>(one.getValue().values()))
            .setGroupMembersView(first.getGroupMembersView())
            .build();
      }
    }
    return null;
  }

  private void append(WKept.Builder proto) throws IOException {
    log.append(proto.build().toByteArray());
  }

  @Override
  public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState endpoint)
      throws IOException {
    self =
        WKept.newBuilder()
            .setSelf(RaftModelCodec.toProto(endpoint.getLocalEndpoint()))
            .setVoting(endpoint.isVoting())
            .build();
    append(self.toBuilder());
    log.force();
  }

  @Override
  public void persistAndFlushInitialGroupMembers(RaftGroupMembersView members) throws IOException {
    initialMembers = RaftModelCodec.toProto(members);
    append(WKept.newBuilder().setInitial(initialMembers));
    log.force();
  }

  @Override
  public void persistAndFlushTerm(RaftTermPersistentState state) throws IOException {
    WTerm.Builder proto = WTerm.newBuilder().setTerm(state.getTerm());
    if (state.getVotedFor() != null) {
      proto.setVoted(RaftModelCodec.toProto(state.getVotedFor()));
    }
    term = proto.build();
    append(WKept.newBuilder().setTerm(term));
    log.force();
  }

  @Override
  public void persistLogEntries(List<LogEntry> newEntries) throws IOException {
    for (LogEntry entry : newEntries) {
      logEntries.put(entry.getIndex(), entry);
      append(WKept.newBuilder().setEntry(RaftModelCodec.toProto(entry)));
    }
  }

  @Override
  public void persistSnapshotChunk(SnapshotChunk chunk) throws IOException {
    addChunk(chunk);
    append(WKept.newBuilder().setChunk(RaftModelCodec.toProto(chunk)));
  }

  @Override
  public void truncateLogEntriesFrom(long index) throws IOException {
    logEntries.tailMap(index, true).clear();
    append(WKept.newBuilder().setTruncatedFrom(index));
  }

  @Override
  public void truncateLogEntriesUntil(long index) throws IOException {
    logEntries.headMap(index, true).clear();
    append(WKept.newBuilder().setTruncatedUntil(index));
  }

  @Override
  public void deleteSnapshotChunks(long index, int count) throws IOException {
    snapshotChunks.remove(index);
    append(WKept.newBuilder().setChunksDeleted(index));
  }

  @Override
  public void flush() throws IOException {
    if (log.sizeBytes() - compactedSizeBytes > MAX_GROWTH_BYTES) {
      compact();
    } else {
      log.force();
    }
  }

  /** Only what still counts, in place of all. */
  private void compact() throws IOException {
    List<byte[]> records = new ArrayList<>();
    records.add(WKept.newBuilder().setGroup(groupId).build().toByteArray());
    if (pledge.hasSelf()) {
      records.add(WKept.newBuilder().setPledge(pledge).build().toByteArray());
    }
    if (self != null) {
      records.add(self.toByteArray());
    }
    if (initialMembers != null) {
      records.add(WKept.newBuilder().setInitial(initialMembers).build().toByteArray());
    }
    records.add(WKept.newBuilder().setTerm(term).build().toByteArray());
    for (Collection<SnapshotChunk> parts :
        snapshotChunks.values().stream().map(TreeMap::values).toList()) {
      parts.forEach(
          one ->
              records.add(
                  WKept.newBuilder().setChunk(RaftModelCodec.toProto(one)).build().toByteArray()));
    }
    logEntries
        .values()
        .forEach(
            one ->
                records.add(
                    WKept.newBuilder()
                        .setEntry(RaftModelCodec.toProto(one))
                        .build()
                        .toByteArray()));
    log.replace(records);
    compactedSizeBytes = log.sizeBytes();
  }

  /** A write has failed: no word may be given any more. */
  boolean hasFailed() {
    return log.hasFailed();
  }

  void close() throws IOException {
    log.close();
  }

  /** Whatever counted was forced when it was written; a failure to close loses nothing. */
  void closeQuietly() {
    try {
      close();
    } catch (IOException nothingLost) {
      return;
    }
  }
}
