package tamarindroute.agreement.raft;

import static org.assertj.core.api.Assertions.assertThat;
import static tamarindroute.agreement.raft.ClusterOperations.KEY;
import static tamarindroute.agreement.raft.ClusterOperations.put;

import io.microraft.QueryPolicy;
import java.time.Duration;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import tamarindroute.agreement.MembershipView;

/**
 * View leases under random faults. Guards against members that act on a view which was replaced
 * longer than a lease ago, as after delayed responses, pauses, restarts or a change of the leader.
 */
class ViewLeaseFaultsTest {

  /**
   * Runs a cluster with message loss, partitions, pauses and restarts, all drawn from the seed,
   * while commands are proposed and two members hold the view.
   */
  private static SimulatedCluster runWithFaults(long seed, int voters, QueryPolicy queryPolicy) {
    SimulatedCluster cluster = new SimulatedCluster(seed, voters, queryPolicy);
    cluster.awaitLeader();
    cluster.lossPercent = (int) (seed % 4) * 7;
    cluster.node(voters).holdView(cluster.configuredVoters());
    cluster.node(voters + 1).holdView(cluster.configuredVoters());
    for (int turn = 0; turn < 25; turn++) {
      injectFault(cluster, voters);
      for (int puts = 0; puts < 3; puts++) {
        cluster.leader().ifPresent(ViewLeaseFaultsTest::proposePut);
        cluster.run(Duration.ofMillis(500 + cluster.randomBelow(2_500)));
      }
    }
    return cluster;
  }

  private static void injectFault(SimulatedCluster cluster, int voters) {
    int voter = cluster.randomBelow(voters);
    SimulatedNode node = cluster.node(voter);
    SimulatedNode holder = cluster.node(voters);
    SimulatedNode otherHolder = cluster.node(voters + 1);
    switch (cluster.randomBelow(7)) {
      case 0 -> cluster.setIsolated(voter, voters, true);
      case 1 -> cluster.setIsolated(voter, voters, false);
      case 2 -> cluster.setLinkBroken(voter, (voter + 1) % voters, cluster.randomBelow(2) == 0);
      case 3 -> node.setPaused(!node.paused);
      case 4 -> {
        node.kill();
        node.start(100 + voter);
      }
      case 5 -> otherHolder.restartHolder(cluster.configuredVoters());
      default -> holder.setPaused(!holder.paused);
    }
  }

  private static void proposePut(SimulatedNode leader) {
    MembershipView view = leader.voter.localView();
    leader.voter.propose(put(view.baseNumber(KEY), 1), result -> {});
  }

  @ParameterizedTest
  @ValueSource(ints = {3, 5})
  void noMemberActsOnViewReplacedLongerThanLeaseAgo(int voters) {
    int acts = 0;
    int refused = 0;
    long views = 0;
    for (int seed = 0; seed < 20; seed++) {
      SimulatedCluster cluster = runWithFaults(seed, voters, QueryPolicy.LINEARIZABLE);
      assertThat(cluster.violations).as("seed " + seed).isEmpty();
      acts += cluster.actCount;
      refused += cluster.refusedActCount;
      views += cluster.firstCommittedMicros.size();
    }
    assertThat(acts).isGreaterThan(4_000);
    assertThat(refused).isGreaterThan(100);
    assertThat(views).isGreaterThan(400);
  }

  /** Voters that respond from their local view without a quorum grant leases of outdated views. */
  @Test
  void checkerDetectsLeasesGrantedWithoutQuorum() {
    boolean detected =
        IntStream.range(0, 30)
            .mapToObj(seed -> runWithFaults(seed, 3, QueryPolicy.EVENTUAL_CONSISTENCY))
            .anyMatch(cluster -> !cluster.violations.isEmpty());
    assertThat(detected).isTrue();
  }

  @Test
  void sameSeedGivesSameRun() {
    SimulatedCluster first = runWithFaults(11, 3, QueryPolicy.LINEARIZABLE);
    SimulatedCluster second = runWithFaults(11, 3, QueryPolicy.LINEARIZABLE);
    assertThat(second.firstCommittedMicros).isEqualTo(first.firstCommittedMicros);
    assertThat(second.actCount).isEqualTo(first.actCount);
    assertThat(second.node(0).statusChanges).isEqualTo(first.node(0).statusChanges);
  }
}
