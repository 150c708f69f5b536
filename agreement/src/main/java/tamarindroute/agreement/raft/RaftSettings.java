package tamarindroute.agreement.raft;

import io.microraft.RaftConfig;
import java.time.Duration;

/** Settings of MicroRaft, which takes heartbeat and report periods in whole seconds only. */
final class RaftSettings {

  /** Period of a leader's heartbeats, and of the node's reports. */
  static final Duration HEARTBEAT_PERIOD = Duration.ofSeconds(1);

  /**
   * Time after which a leader without heartbeats is replaced: three missed heartbeats. A shorter
   * pause of the leader has no effect.
   */
  static final Duration HEARTBEAT_TIMEOUT = Duration.ofSeconds(3);

  /** Shortest time that a candidate waits for votes. MicroRaft adds a random time. */
  private static final Duration ELECTION_TIMEOUT = Duration.ofMillis(500);

  /** Log entries between snapshots. A restart replays about this number of entries at most. */
  private static final int SNAPSHOT_INTERVAL_ENTRIES = 1_000;

  /** Largest number of uncommitted log entries. Further proposals get the status {@code BUSY}. */
  private static final int MAX_PENDING_ENTRIES = 256;

  /**
   * Configured batch size of an append request. MicroRaft sends up to one entry more than
   * configured. With the full limit configured here, append requests to a voter that had missed a
   * few entries were dropped as too large, and the voter never caught up.
   */
  private static final int APPEND_BATCH_ENTRIES = RaftMessageDecoder.MAX_ENTRIES - 1;

  private RaftSettings() {}

  static RaftConfig config() {
    return RaftConfig.newBuilder()
        .setLeaderHeartbeatPeriodSecs(HEARTBEAT_PERIOD.toSeconds())
        .setLeaderHeartbeatTimeoutSecs(HEARTBEAT_TIMEOUT.toSeconds())
        .setLeaderElectionTimeoutMillis(ELECTION_TIMEOUT.toMillis())
        .setAppendEntriesRequestBatchSize(APPEND_BATCH_ENTRIES)
        .setCommitCountToTakeSnapshot(SNAPSHOT_INTERVAL_ENTRIES)
        .setMaxPendingLogEntryCount(MAX_PENDING_ENTRIES)
        .setTransferSnapshotsFromFollowersEnabled(false)
        .setRaftNodeReportPublishPeriodSecs((int) HEARTBEAT_PERIOD.toSeconds())
        .build();
  }
}
