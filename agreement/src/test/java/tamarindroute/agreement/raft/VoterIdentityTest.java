package tamarindroute.agreement.raft;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static tamarindroute.agreement.raft.ClusterOperations.KEY;
import static tamarindroute.agreement.raft.ClusterOperations.SETTLE_TIME;
import static tamarindroute.agreement.raft.ClusterOperations.index;
import static tamarindroute.agreement.raft.ClusterOperations.propose;
import static tamarindroute.agreement.raft.ClusterOperations.put;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import tamarindroute.agreement.Agreement.ProposalStatus;
import tamarindroute.agreement.store.InMemoryStorageMedium;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;

/**
 * Bootstrap of a group, and voters whose store was lost or restored from a copy. Guards against a
 * voter that forgot its vote and votes again in the same term, and against a second group beside a
 * running one.
 */
class VoterIdentityTest {

  @Test
  void voterWithLostStoreCountsOnlyAfterAdmission() {
    SimulatedCluster cluster = new SimulatedCluster(4, 3);
    propose(cluster, put(0, 1));
    int leader = index(cluster, cluster.awaitLeader());
    int lost = (leader + 1) % 3;
    int third = (leader + 2) % 3;
    SimulatedNode lostNode = cluster.node(lost);
    restartWithoutStore(lostNode, 500);
    cluster.node(third).kill();
    cluster.run(SETTLE_TIME);
    assertThat(cluster.leader()).as("one voter and one that lost its store").isEmpty();
    cluster.node(third).start(998);
    Member successor = new Member(SimulatedCluster.address(lost), 500);
    assertThat(lostNode.voter.self()).isEqualTo(successor);
    cluster.run(SETTLE_TIME);
    assertThat(lostNode.voter.status().voters()).contains(successor).hasSize(3);
    assertThat(lostNode.voter.localView().voters()).contains(successor).hasSize(3);
    cluster.node(third).kill();
    long baseNumber = lostNode.voter.localView().entries().get(KEY).lastChangedNumber();
    assertThat(propose(cluster, put(baseNumber, 2)).status())
        .as("with the admitted successor")
        .isEqualTo(ProposalStatus.COMMITTED);
    assertThat(cluster.violations).isEmpty();
  }

  private static void restartWithoutStore(SimulatedNode node, long incarnation) {
    node.kill();
    node.disk = new InMemoryStorageMedium();
    node.start(incarnation);
  }

  /** The successor is not admitted yet, and does not respond to messages for its predecessor. */
  @Test
  void messagesForPreviousIncarnationAreIgnored() {
    SimulatedCluster cluster = new SimulatedCluster(12, 3);
    propose(cluster, put(0, 1));
    int leader = index(cluster, cluster.awaitLeader());
    int lost = (leader + 1) % 3;
    Address address = SimulatedCluster.address(lost);
    byte[] messageToPredecessor = cluster.lastMessageTo.get(address);
    SimulatedNode lostNode = cluster.node(lost);
    lostNode.kill();
    lostNode.disk = new InMemoryStorageMedium();
    cluster.setLinkBroken(lost, leader, true);
    lostNode.start(500);
    cluster.run(Duration.ofSeconds(3));
    assertThat(lostNode.voter.status().voters())
        .as("voters seen from outside the group")
        .isEqualTo(cluster.founders);
    cluster.lastMessageFrom.remove(address);
    lostNode.voter.onMessage(SimulatedCluster.address(leader), messageToPredecessor);
    cluster.run(Duration.ofSeconds(1));
    assertThat(cluster.lastMessageFrom).doesNotContainKey(address);
    assertThat(lostNode.voter.status().leader()).isEmpty();
  }

  /**
   * A voter that lost its store is started with its previous incarnation by mistake. The group,
   * which has that incarnation as a voter, does not admit it, and it does not act as a voter.
   */
  @Test
  void voterWithLostStoreAndReusedIncarnationStaysOut() {
    SimulatedCluster cluster = new SimulatedCluster(8, 3);
    propose(cluster, put(0, 1));
    SimulatedNode lost = cluster.node((index(cluster, cluster.awaitLeader()) + 1) % 3);
    restartWithoutStore(lost, cluster.founders.get(index(cluster, lost)).incarnation());
    cluster.run(SETTLE_TIME);
    assertThat(lost.voter.status().voters()).isEmpty();
    assertThat(lost.voter.localView().number()).isZero();
  }

  /**
   * A voter cannot detect that its store was restored from an old copy, and votes twice in a term.
   * The cluster's check of the votes must detect this, or it would not detect other double votes.
   */
  @Test
  void voteMonitorDetectsDoubleVoting() {
    boolean detected = false;
    for (int seed = 0; seed < 50 && !detected; seed++) {
      SimulatedCluster cluster = new SimulatedCluster(seed, 3);
      cluster.run(Duration.ofMillis(1_500 + cluster.randomBelow(3_000)));
      List<InMemoryStorageMedium> copies = new ArrayList<>();
      for (int i = 0; i < 3; i++) {
        copies.add(cluster.node(i).disk.crashed(0));
      }
      cluster.lossPercent = 30;
      for (int turn = 0; turn < 40 && !detected; turn++) {
        SimulatedNode node = cluster.node(turn % 3);
        node.kill();
        node.disk = copies.get(turn % 3).crashed(0);
        node.start(1);
        cluster.run(Duration.ofMillis(400 + cluster.randomBelow(800)));
        detected = !cluster.violations.isEmpty();
      }
    }
    assertThat(detected).isTrue();
  }

  @Test
  void groupIsBootstrappedByAllConfiguredVotersOrNotAtAll() {
    SimulatedCluster cluster = new SimulatedCluster(9, 3);
    cluster.node(2).kill();
    cluster.run(SETTLE_TIME);
    assertThat(cluster.leader()).as("two of three configured voters").isEmpty();
    cluster.node(2).start(300);
    cluster.awaitLeader();
    cluster.run(Duration.ofSeconds(3));
    assertThat(cluster.node(0).voter.localView().voters()).isEqualTo(cluster.founders);
  }

  /**
   * Two voters pledged to found the group with an incarnation that then lost its store. They must
   * not found the group with its successor, as the lost incarnation may have pledged, too.
   */
  @Test
  void pledgeToEndedIncarnationPreventsBootstrap() {
    SimulatedCluster cluster = new SimulatedCluster(9, 3);
    cluster.node(2).kill();
    cluster.run(SETTLE_TIME);
    cluster.node(2).disk = new InMemoryStorageMedium();
    cluster.node(2).start(300);
    cluster.run(SETTLE_TIME);
    assertThat(cluster.leader()).isEmpty();
    assertThat(cluster.nodes.values())
        .allMatch(node -> node.voter.status().noQuorumSince().isPresent());
  }

  @Test
  void storeOfAnotherAddressIsRejected() {
    SimulatedCluster cluster = new SimulatedCluster(7, 3);
    cluster.run(Duration.ofSeconds(5));
    SimulatedNode node = cluster.node(0);
    node.kill();
    assertThatThrownBy(
            () ->
                RaftVoter.open(
                    node,
                    (to, message) -> {},
                    node.disk,
                    cluster.founders.get(1),
                    cluster.configuredVoters(),
                    status -> {}))
        .isInstanceOf(IOException.class)
        .hasMessageContaining("store belongs to");
  }
}
