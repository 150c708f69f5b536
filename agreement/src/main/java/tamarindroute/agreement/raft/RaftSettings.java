package tamarindroute.agreement.raft;

import io.microraft.RaftConfig;
import java.time.Duration;

/** Settings of MicroRaft. It takes periods in whole seconds. */
final class RaftSettings {

  /** Period of a leader's heartbeats, and of the node's reports. */
  static final Duration HEARTBEAT_PERIOD = Duration.ofSeconds(1);

  /** A leader that was not heard from for so long is replaced; shorter pauses have no effect. */
  static final Duration HEARTBEAT_TIMEOUT = Duration.ofSeconds(3);

  /** Shortest wait for votes; MicroRaft adds a random time. */
  private static final Duration ELECTION_TIMEOUT = Duration.ofMillis(500);

  /** Log entries between snapshots, and about the most that a restart replays. */
  private static final int SNAPSHOT_INTERVAL_ENTRIES = 1_000;

  /** Most uncommitted log entries; further proposals are rejected as busy. */
  private static final int MAX_PENDING_ENTRIES = 256;

  /** MicroRaft sends up to one entry more than configured. */
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
