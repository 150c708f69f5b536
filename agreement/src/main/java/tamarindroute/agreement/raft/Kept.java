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
import tamarindroute.agreement.Ledger;
import tamarindroute.agreement.proto.WGroup;
import tamarindroute.agreement.proto.WKept;
import tamarindroute.agreement.proto.WOffer;
import tamarindroute.agreement.proto.WTerm;
import tamarindroute.agreement.store.Medium;
import tamarindroute.agreement.store.RecordLog;
import tamarindroute.agreement.wire.Words;
import tamarindroute.membership.Member;

/**
 * Owns what a voter keeps: who it is, whom it gave its vote, the log, the last snapshot; as
 * records, and in memory.
 */
final class Kept implements RaftStore {

  /** The file may grow by so much before it is written anew with only what still counts. */
  private static final long GROWTH_MOST = 4L * 1024 * 1024;

  private final RecordLog log;
  private long group;
  private WOffer pledge = WOffer.getDefaultInstance();
  private WKept self;
  private WGroup initial;
  private WTerm term = WTerm.getDefaultInstance();
  private final TreeMap<Long, LogEntry> entries = new TreeMap<>();
  private final TreeMap<Long, TreeMap<Integer, SnapshotChunk>> chunks = new TreeMap<>();
  private long rewritten;

  private Kept(RecordLog log) {
    this.log = log;
  }

  /**
   * Reads what there is; damage that no crash explains is told by an exception, and then nothing
   * may be voted.
   */
  static Kept open(Medium medium) throws IOException {
    Kept kept = new Kept(new RecordLog(medium));
    for (byte[] record : kept.log.open()) {
      kept.replay(record);
    }
    kept.rewritten = kept.log.size();
    return kept;
  }

  private void replay(byte[] record) throws IOException {
    WKept words;
    try {
      words = WKept.parseFrom(record);
    } catch (InvalidProtocolBufferException unknown) {
      throw new IOException("a record of another form", unknown);
    }
    switch (words.getWhatCase()) {
      case PLEDGE -> pledge = words.getPledge();
      case GROUP -> group = words.getGroup();
      case SELF -> self = words;
      case INITIAL -> initial = words.getInitial();
      case TERM -> term = words.getTerm();
      case ENTRY -> entries.put(words.getEntry().getIndex(), Wire.from(words.getEntry()));
      case CHUNK -> hold(Wire.from(words.getChunk()));
      case TRUNCATED_FROM -> entries.tailMap(words.getTruncatedFrom(), true).clear();
      case TRUNCATED_UNTIL -> entries.headMap(words.getTruncatedUntil(), true).clear();
      case CHUNKS_DELETED -> chunks.remove(words.getChunksDeleted());
      case WHAT_NOT_SET -> throw new IOException("a record that says nothing");
    }
  }

  private void hold(SnapshotChunk chunk) {
    chunks
        .computeIfAbsent(chunk.getIndex(), index -> new TreeMap<>())
        .put(chunk.getSnapshotChunkIndex(), chunk);
  }

  /** Who wrote it; empty if it is new. */
  Optional<Member> self() {
    return runs() ? Optional.of(Wire.from(self.getSelf()).member()) : Optional.empty();
  }

  /** Who it is since its store was made, and whom it is bound to found with, if anyone. */
  Optional<Member> pledged() {
    return pledge.hasSelf() ? Optional.of(Words.from(pledge.getSelf())) : Optional.empty();
  }

  List<Member> bound() {
    return Words.from(pledge.getBoundList(), Ledger.VOTERS_MOST);
  }

  /** Kept before it is told to anyone. */
  void pledge(Member who, List<Member> bound) throws IOException {
    WOffer.Builder words = WOffer.newBuilder().setSelf(Words.to(who));
    bound.forEach(one -> words.addBound(Words.to(one)));
    pledge = words.build();
    append(WKept.newBuilder().setPledge(pledge));
    log.force();
  }

  long group() {
    return group;
  }

  /** A start that was cut off before all three were kept never gave a word. */
  boolean runs() {
    return group != 0 && self != null && initial != null;
  }

  /** Begins anew, for this group. */
  void begin(long newGroup) throws IOException {
    self = null;
    initial = null;
    term = WTerm.getDefaultInstance();
    entries.clear();
    chunks.clear();
    group = newGroup;
    rewrite();
  }

  RestoredRaftState restored() {
    RaftEndpointPersistentState endpoint =
        Wire.MODELS
            .createRaftEndpointPersistentStateBuilder()
            .setLocalEndpoint(Wire.from(self.getSelf()))
            .setVoting(self.getVoting())
            .build();
    RaftTermPersistentState persistent =
        Wire.MODELS
            .createRaftTermPersistentStateBuilder()
            .setTerm(term.getTerm())
            .setVotedFor(term.hasVoted() ? Wire.from(term.getVoted()) : null)
            .build();
    SnapshotEntry snapshot = snapshot();
    List<LogEntry> after = new ArrayList<>();
    long next = snapshot == null ? 1 : snapshot.getIndex() + 1;
    for (LogEntry entry : entries.tailMap(next, true).values()) {
      if (entry.getIndex() != next++) {
        throw new IllegalStateException("the kept log has a hole at " + (next - 1));
      }
      after.add(entry);
    }
    return new RestoredRaftState(endpoint, Wire.from(initial), persistent, snapshot, after);
  }

  /** The last snapshot of which every part is there. */
  private SnapshotEntry snapshot() {
    for (Map.Entry<Long, TreeMap<Integer, SnapshotChunk>> one : chunks.descendingMap().entrySet()) {
      SnapshotChunk first = one.getValue().firstEntry().getValue();
      if (one.getValue().size() == first.getSnapshotChunkCount()) {
        return Wire.MODELS
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

  private void append(WKept.Builder words) throws IOException {
    log.append(words.build().toByteArray());
  }

  @Override
  public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState endpoint)
      throws IOException {
    self =
        WKept.newBuilder()
            .setSelf(Wire.to(endpoint.getLocalEndpoint()))
            .setVoting(endpoint.isVoting())
            .build();
    append(self.toBuilder());
    log.force();
  }

  @Override
  public void persistAndFlushInitialGroupMembers(RaftGroupMembersView members) throws IOException {
    initial = Wire.to(members);
    append(WKept.newBuilder().setInitial(initial));
    log.force();
  }

  @Override
  public void persistAndFlushTerm(RaftTermPersistentState state) throws IOException {
    WTerm.Builder words = WTerm.newBuilder().setTerm(state.getTerm());
    if (state.getVotedFor() != null) {
      words.setVoted(Wire.to(state.getVotedFor()));
    }
    term = words.build();
    append(WKept.newBuilder().setTerm(term));
    log.force();
  }

  @Override
  public void persistLogEntries(List<LogEntry> more) throws IOException {
    for (LogEntry entry : more) {
      entries.put(entry.getIndex(), entry);
      append(WKept.newBuilder().setEntry(Wire.to(entry)));
    }
  }

  @Override
  public void persistSnapshotChunk(SnapshotChunk chunk) throws IOException {
    hold(chunk);
    append(WKept.newBuilder().setChunk(Wire.to(chunk)));
  }

  @Override
  public void truncateLogEntriesFrom(long index) throws IOException {
    entries.tailMap(index, true).clear();
    append(WKept.newBuilder().setTruncatedFrom(index));
  }

  @Override
  public void truncateLogEntriesUntil(long index) throws IOException {
    entries.headMap(index, true).clear();
    append(WKept.newBuilder().setTruncatedUntil(index));
  }

  @Override
  public void deleteSnapshotChunks(long index, int count) throws IOException {
    chunks.remove(index);
    append(WKept.newBuilder().setChunksDeleted(index));
  }

  @Override
  public void flush() throws IOException {
    if (log.size() - rewritten > GROWTH_MOST) {
      rewrite();
    } else {
      log.force();
    }
  }

  /** Only what still counts, in place of all. */
  private void rewrite() throws IOException {
    List<byte[]> records = new ArrayList<>();
    records.add(WKept.newBuilder().setGroup(group).build().toByteArray());
    if (pledge.hasSelf()) {
      records.add(WKept.newBuilder().setPledge(pledge).build().toByteArray());
    }
    if (self != null) {
      records.add(self.toByteArray());
    }
    if (initial != null) {
      records.add(WKept.newBuilder().setInitial(initial).build().toByteArray());
    }
    records.add(WKept.newBuilder().setTerm(term).build().toByteArray());
    for (Collection<SnapshotChunk> parts : chunks.values().stream().map(TreeMap::values).toList()) {
      parts.forEach(
          one -> records.add(WKept.newBuilder().setChunk(Wire.to(one)).build().toByteArray()));
    }
    entries
        .values()
        .forEach(
            one -> records.add(WKept.newBuilder().setEntry(Wire.to(one)).build().toByteArray()));
    log.replace(records);
    rewritten = log.size();
  }

  /** A write has failed: no word may be given any more. */
  boolean failed() {
    return log.failed();
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
