package tamarindroute.agreement.raft;

import static org.assertj.core.api.Assertions.assertThat;
import static tamarindroute.agreement.raft.ClusterOperations.KEY;
import static tamarindroute.agreement.raft.ClusterOperations.SETTLE_TIME;
import static tamarindroute.agreement.raft.ClusterOperations.index;
import static tamarindroute.agreement.raft.ClusterOperations.propose;
import static tamarindroute.agreement.raft.ClusterOperations.put;
import static tamarindroute.agreement.raft.ClusterOperations.value;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import tamarindroute.agreement.Agreement.ProposalResult;
import tamarindroute.agreement.Agreement.ProposalStatus;
import tamarindroute.agreement.Command;
import tamarindroute.membership.Member;

/**
 * Commits, elections and voter changes of a running group under failures. Guards against commands
 * that are lost after they were reported as committed, commits on both sides of a partition, and
 * groups that remain without a leader.
 */
class RaftClusterTest {

  /** Adds a voter at an address that was not configured, then removes the leader. */
  @Test
  void votersAreChangedOneAtATime() {
    SimulatedCluster cluster = new SimulatedCluster(10, 3);
    propose(cluster, put(0, 1));
    Member added = new Member(SimulatedCluster.address(3), 400);
    cluster.node(3).start(400);
    cluster.run(Duration.ofSeconds(3));
    SimulatedNode leader = cluster.awaitLeader();
    List<ProposalResult> results = new ArrayList<>();
    leader.voter.changeVoters(added, true, results::add);
    leader.voter.changeVoters(new Member(SimulatedCluster.address(4), 1), true, results::add);
    cluster.run(Duration.ofSeconds(5));
    assertThat(results)
        .extracting(ProposalResult::status)
        .containsExactlyInAnyOrder(ProposalStatus.COMMITTED, ProposalStatus.BUSY);
    assertThat(cluster.node(3).voter.localView().voters()).hasSize(4).contains(added);
    ClusterOperations.changeVoters(cluster, leader.voter.self(), false);
    cluster.run(SETTLE_TIME);
    assertThat(cluster.awaitLeader()).isNotSameAs(leader);
    assertThat(cluster.node(3).voter.localView().voters())
        .hasSize(3)
        .doesNotContain(leader.voter.self());
    long baseNumber = cluster.node(3).voter.localView().baseNumber(KEY);
    assertThat(propose(cluster, put(baseNumber, 2)).status()).isEqualTo(ProposalStatus.COMMITTED);
    assertThat(cluster.violations).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(ints = {3, 5})
  void committedViewAndVotersReachAllNodes(int voters) {
    SimulatedCluster cluster = new SimulatedCluster(1, voters);
    cluster.awaitLeader();
    assertThat(propose(cluster, put(0, 1)).status()).isEqualTo(ProposalStatus.COMMITTED);
    cluster.run(Duration.ofSeconds(3));
    assertThat(cluster.nodes.values()).allMatch(node -> value(node.voter.localView()) == 1);
    assertThat(cluster.nodes.values())
        .allMatch(node -> node.voter.localView().voters().equals(cluster.founders));
    assertThat(cluster.awaitLeader().voter.status().reachableVoters()).isEqualTo(voters);
  }

  /**
   * The old leader, which is isolated by a partition, and the new leader propose puts with the same
   * base number. At most one put is committed, and both leaders win for some seeds.
   */
  @ParameterizedTest
  @ValueSource(ints = {3, 5})
  void onlyOneSideOfPartitionCommits(int voters) {
    int wonByOldLeader = 0;
    int wonByNewLeader = 0;
    for (int seed = 0; seed < 20; seed++) {
      if (oldLeaderWinsPartition(seed, voters)) {
        wonByOldLeader++;
      } else {
        wonByNewLeader++;
      }
    }
    assertThat(wonByOldLeader).as("commits of the old leader").isPositive();
    assertThat(wonByNewLeader).as("commits of the new leader").isPositive();
  }

  /** Returns whether the old leader's put was committed. */
  private static boolean oldLeaderWinsPartition(int seed, int voters) {
    SimulatedCluster cluster = new SimulatedCluster(seed, voters);
    SimulatedNode oldLeader = cluster.awaitLeader();
    List<ProposalResult> oldLeaderResults = new ArrayList<>();
    List<ProposalResult> newLeaderResults = new ArrayList<>();
    cluster.run(Duration.ofMillis(cluster.randomBelow(3_000)));
    boolean proposedBeforePartition = seed % 2 == 0;
    if (proposedBeforePartition) {
      oldLeader.voter.propose(put(0, 1), oldLeaderResults::add);
      cluster.run(Duration.ofMillis(cluster.randomBelow(40)));
    }
    cluster.setIsolated(index(cluster, oldLeader), voters, true);
    if (!proposedBeforePartition) {
      oldLeader.voter.propose(put(0, 1), oldLeaderResults::add);
    }
    assertThat(
            cluster.until(
                SETTLE_TIME, () -> cluster.leader().filter(node -> node != oldLeader).isPresent()))
        .isTrue();
    cluster.leader().get().voter.propose(put(0, 2), newLeaderResults::add);
    cluster.run(SETTLE_TIME);
    cluster.setIsolated(index(cluster, oldLeader), voters, false);
    cluster.run(SETTLE_TIME);
    boolean oldCommitted = oldLeaderResults.get(0).status() == ProposalStatus.COMMITTED;
    boolean newCommitted = newLeaderResults.get(0).status() == ProposalStatus.COMMITTED;
    assertThat(oldCommitted && newCommitted).as("seed " + seed).isFalse();
    byte value = value(cluster.nodes.get(oldLeader.address).voter.localView());
    assertThat(cluster.nodes.values()).allMatch(node -> value(node.voter.localView()) == value);
    assertThat((oldCommitted && value != 1) || (newCommitted && value != 2))
        .as("seed " + seed)
        .isFalse();
    assertThat(cluster.violations).isEmpty();
    return oldCommitted;
  }

  /** Kills the leader after 0, 1, 2 and more events from its proposal on. */
  @Test
  void leaderKilledAtAnyStepLeavesCommandCommittedOnAllOrNone() {
    int committed = 0;
    int reported = 0;
    for (int steps = 0; steps < 60; steps++) {
      SimulatedCluster cluster = new SimulatedCluster(3, 3);
      SimulatedNode leader = cluster.awaitLeader();
      cluster.run(Duration.ofSeconds(4));
      List<ProposalResult> results = new ArrayList<>();
      leader.voter.propose(put(0, 1), results::add);
      for (int i = 0; i < steps; i++) {
        cluster.step();
      }
      boolean isReported =
          results.stream().anyMatch(result -> result.status() == ProposalStatus.COMMITTED);
      leader.kill();
      cluster.awaitLeader();
      leader.start(999);
      cluster.run(SETTLE_TIME);
      boolean isCommitted =
          cluster.nodes.get(leader.address).voter.localView().entries().containsKey(KEY);
      assertThat(cluster.nodes.values())
          .as("after " + steps + " steps")
          .allMatch(node -> node.voter.localView().entries().containsKey(KEY) == isCommitted);
      assertThat(isReported && !isCommitted)
          .as("reported and lost after " + steps + " steps")
          .isFalse();
      assertThat(leader.voter.self().incarnation())
          .as("the identity comes from the store")
          .isNotEqualTo(999);
      assertThat(cluster.violations).isEmpty();
      committed += isCommitted ? 1 : 0;
      reported += isReported ? 1 : 0;
    }
    assertThat(committed).isBetween(1, 59);
    assertThat(reported).isBetween(1, committed);
  }

  @Test
  void withoutQuorumNothingCommitsAndStatusReportsIt() {
    SimulatedCluster cluster = new SimulatedCluster(5, 3);
    propose(cluster, put(0, 1));
    SimulatedNode leader = cluster.awaitLeader();
    SimulatedNode firstNode = cluster.node(0);
    SimulatedNode holder = cluster.node(3);
    holder.holdView(cluster.configuredVoters());
    cluster.run(Duration.ofSeconds(5));
    long number = leader.voter.localView().number();
    cluster.nodes.values().stream()
        .filter(node -> node != leader && node.voter != null)
        .forEach(SimulatedNode::kill);
    List<ProposalResult> results = new ArrayList<>();
    leader.voter.propose(put(number, 2), results::add);
    cluster.run(Duration.ofSeconds(5));
    assertThat(holder.lease.validView(holder.now())).as("within the lease").isPresent();
    cluster.run(SETTLE_TIME);
    assertThat(results).extracting(ProposalResult::status).containsExactly(ProposalStatus.UNKNOWN);
    assertThat(leader.voter.localView().number()).isEqualTo(number);
    assertThat(leader.lastStatusChange().noQuorumSince()).isPresent();
    assertThat(holder.lease.validView(holder.now())).as("after the lease").isEmpty();
    assertThat(firstNode.incarnation).isPositive();
  }

  @Test
  void oneWayPartitionEndsWithReachableLeader() {
    for (int seed = 0; seed < 10; seed++) {
      SimulatedCluster cluster = new SimulatedCluster(seed, 3);
      SimulatedNode oldLeader = cluster.awaitLeader();
      int leader = index(cluster, oldLeader);
      boolean sendingFails = seed % 2 == 0;
      for (int other = 0; other < 3; other++) {
        if (other != leader) {
          int from = sendingFails ? leader : other;
          int to = sendingFails ? other : leader;
          cluster.setLinkBroken(from, to, true);
        }
      }
      cluster.run(Duration.ofSeconds(30));
      assertThat(cluster.leader()).as("seed " + seed).isPresent().get().isNotSameAs(oldLeader);
      assertThat(oldLeader.voter.status().isLeader()).isFalse();
    }
  }

  /**
   * A node of MicroRaft 0.7 whose pre-vote was interrupted by the return of the leader never
   * becomes a candidate again. Without the restart of a voter that finds no leader, seed 7 leaves
   * two voters without a leader for good.
   */
  @Test
  void remainingVotersElectLeaderAfterMessageLoss() {
    for (int seed = 0; seed < 20; seed++) {
      SimulatedCluster cluster = new SimulatedCluster(seed, 3);
      cluster.awaitLeader();
      cluster.lossPercent = 20;
      cluster.node(3).holdView(cluster.configuredVoters());
      cluster.run(Duration.ofSeconds(20 + cluster.randomBelow(5)));
      cluster.awaitLeader().kill();
      assertThat(cluster.until(Duration.ofSeconds(40), () -> cluster.leader().isPresent()))
          .as("seed " + seed)
          .isTrue();
      assertThat(cluster.violations).isEmpty();
    }
  }

  @Test
  void snapshotsCatchUpLongAbsentVoter() {
    SimulatedCluster cluster = new SimulatedCluster(6, 3);
    SimulatedNode leader = cluster.awaitLeader();
    SimulatedNode absent = cluster.node((index(cluster, leader) + 1) % 3);
    absent.kill();
    int committed = 0;
    for (int i = 0; i < 1_500; i++) {
      List<ProposalResult> results = new ArrayList<>();
      leader.voter.propose(new Command.Put("k" + i, 0, "t", new byte[600]), results::add);
      cluster.until(SETTLE_TIME, () -> !results.isEmpty());
      committed += results.get(0).status() == ProposalStatus.COMMITTED ? 1 : 0;
    }
    assertThat(committed).isEqualTo(1_500);
    absent.start(77);
    cluster.run(SETTLE_TIME);
    assertThat(absent.voter.localView()).isEqualTo(leader.voter.localView());
    absent.kill();
    absent.start(78);
    cluster.run(SETTLE_TIME);
    assertThat(absent.voter.localView()).isEqualTo(leader.voter.localView());
  }

  @Test
  void voterWithFullDiskStopsAndOthersContinue() {
    SimulatedCluster cluster = new SimulatedCluster(13, 3);
    propose(cluster, put(0, 1));
    SimulatedNode leader = cluster.awaitLeader();
    long number = leader.voter.localView().number();
    leader.disk.setFull(true);
    List<ProposalResult> results = new ArrayList<>();
    leader.voter.propose(put(leader.voter.localView().baseNumber(KEY), 2), results::add);
    cluster.run(SETTLE_TIME);
    assertThat(leader.voter.failure()).contains("store is not writable");
    assertThat(leader.lastStatusChange().noQuorumSince()).isPresent();
    assertThat(results).extracting(ProposalResult::status).containsExactly(ProposalStatus.UNKNOWN);
    assertThat(leader.voter.localView().number()).isEqualTo(number);
    long baseNumber = cluster.awaitLeader().voter.localView().baseNumber(KEY);
    assertThat(propose(cluster, put(baseNumber, 3)).status()).isEqualTo(ProposalStatus.COMMITTED);
    assertThat(cluster.awaitLeader()).isNotSameAs(leader);
  }
}
