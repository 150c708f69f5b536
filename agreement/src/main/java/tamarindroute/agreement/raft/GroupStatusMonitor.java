package tamarindroute.agreement.raft;

import io.microraft.RaftEndpoint;
import io.microraft.RaftNodeStatus;
import io.microraft.RaftRole;
import io.microraft.report.RaftGroupMembers;
import io.microraft.report.RaftNodeReport;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import tamarindroute.agreement.Agreement.GroupStatus;
import tamarindroute.agreement.MembershipView;
import tamarindroute.membership.Member;

/** Derives a voter's {@link GroupStatus} from the reports of its MicroRaft node. */
final class GroupStatusMonitor {

  private final EventLoop eventLoop;
  private final Member self;
  private final Duration startedAt;
  private GroupStatus status;

  GroupStatusMonitor(EventLoop eventLoop, Member self) {
    this.eventLoop = eventLoop;
    this.self = self;
    this.startedAt = eventLoop.now();
    this.status =
        new GroupStatus(false, Optional.empty(), 0, List.of(), false, Optional.of(eventLoop.now()));
  }

  GroupStatus status() {
    return status;
  }

  /**
   * Takes over the status of the node that this monitor's node replaces, so that one loss of the
   * quorum is reported once.
   */
  void continueFrom(GroupStatus previous) {
    status = previous;
  }

  /**
   * Updates the status from a report.
   *
   * @param leader leader of the current term; empty if unknown
   * @return whether the status has changed
   */
  boolean update(RaftNodeReport report, Optional<Member> leader) {
    boolean isLeader =
        report.getRole() == RaftRole.LEADER && report.getStatus() != RaftNodeStatus.TERMINATED;
    int reachable = reachableVoters(report);
    boolean hasQuorum =
        isLeader
            ? reachable >= report.getEffectiveMembers().getMajorityQuorumSize()
            : leader.isPresent() && isRecent(report.getLeaderHeartbeatTimestamp().orElse(0L));
    GroupStatus next =
        new GroupStatus(
            isLeader,
            hasQuorum ? leader : Optional.empty(),
            isLeader ? reachable : 0,
            voters(report.getCommittedMembers()),
            report.getStatus() == RaftNodeStatus.UPDATING_RAFT_GROUP_MEMBER_LIST,
            hasQuorum ? Optional.empty() : Optional.of(noQuorumSince()));
    boolean changed = !next.equals(status);
    status = next;
    return changed;
  }

  /** Records that the voter has stopped, and so no longer observes a leader or a quorum. */
  void onStopped(RaftGroupMembers members) {
    status =
        new GroupStatus(
            false, Optional.empty(), 0, voters(members), false, Optional.of(noQuorumSince()));
  }

  /**
   * Returns whether this voter is not the leader and has observed no quorum for the whole timeout.
   * The time is counted from the creation of this monitor at the earliest.
   */
  boolean isLeaderlessFor(Duration timeout) {
    Duration now = eventLoop.now();
    Duration deadline = status.noQuorumSince().orElse(now).plus(timeout);
    return !status.isLeader()
        && now.compareTo(deadline) >= 0
        && now.compareTo(startedAt.plus(timeout)) >= 0;
  }

  private Duration noQuorumSince() {
    return status.noQuorumSince().orElseGet(eventLoop::now);
  }

  /**
   * Returns the number of voters that this leader received a message from within the heartbeat
   * timeout, itself included.
   */
  private int reachableVoters(RaftNodeReport report) {
    int reachable = 1;
    for (RaftEndpoint voter : report.getEffectiveMembers().getVotingMembers()) {
      boolean isSelf = voter.getId().equals(self);
      if (!isSelf && isRecent(report.getHeartbeatTimestamps().getOrDefault(voter, 0L))) {
        reachable++;
      }
    }
    return reachable;
  }

  private boolean isRecent(long heartbeatMillis) {
    long oldestMillis =
        EventLoopClock.toClockMillis(eventLoop.now()) - RaftSettings.HEARTBEAT_TIMEOUT.toMillis();
    return heartbeatMillis >= oldestMillis;
  }

  private static List<Member> voters(RaftGroupMembers members) {
    return members.getVotingMembers().stream()
        .map(VoterEndpoint::memberOf)
        .sorted(MembershipView.MEMBER_ORDER)
        .toList();
  }
}
