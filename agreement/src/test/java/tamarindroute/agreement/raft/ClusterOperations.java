package tamarindroute.agreement.raft;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import tamarindroute.agreement.Agreement.ProposalResult;
import tamarindroute.agreement.Agreement.ProposalStatus;
import tamarindroute.agreement.Command;
import tamarindroute.agreement.MembershipView;
import tamarindroute.membership.Member;

/** Operations on a simulated cluster for several tests. All puts use one key. */
final class ClusterOperations {

  static final String KEY = "window/7";

  /** Virtual time within which a group elects a leader and the started operations end. */
  static final Duration SETTLE_TIME = Duration.ofSeconds(20);

  private static final int MAX_ATTEMPTS = 20;

  private ClusterOperations() {}

  static Command.Put put(long baseNumber, int value) {
    return new Command.Put(KEY, baseNumber, "t", new byte[] {(byte) value});
  }

  static byte value(MembershipView view) {
    return view.entries().get(KEY).value()[0];
  }

  /** Returns the index of a node in its cluster. */
  static int index(SimulatedCluster cluster, SimulatedNode node) {
    return IntStream.range(0, 9)
        .filter(i -> cluster.nodes.get(SimulatedCluster.address(i)) == node)
        .findFirst()
        .orElseThrow();
  }

  /** Proposes to the current leader until the command is committed or rejected. */
  static ProposalResult propose(SimulatedCluster cluster, Command command) {
    return retry(
        cluster,
        (leader, onResult) -> leader.propose(command, onResult),
        result ->
            result.status() == ProposalStatus.COMMITTED
                || result.status() == ProposalStatus.REJECTED);
  }

  /** Changes the voters at the current leader until the change is committed. */
  static ProposalResult changeVoters(SimulatedCluster cluster, Member voter, boolean add) {
    return retry(
        cluster,
        (leader, onResult) -> leader.changeVoters(voter, add, onResult),
        result -> result.status() == ProposalStatus.COMMITTED);
  }

  private static ProposalResult retry(
      SimulatedCluster cluster,
      BiConsumer<RaftVoter, Consumer<ProposalResult>> operation,
      Predicate<ProposalResult> isFinal) {
    for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      List<ProposalResult> results = new ArrayList<>();
      operation.accept(cluster.awaitLeader().voter, results::add);
      cluster.until(SETTLE_TIME, () -> !results.isEmpty());
      if (isFinal.test(results.get(0))) {
        return results.get(0);
      }
      cluster.run(Duration.ofSeconds(1));
    }
    throw new AssertionError("operation not committed after " + MAX_ATTEMPTS + " attempts");
  }
}
