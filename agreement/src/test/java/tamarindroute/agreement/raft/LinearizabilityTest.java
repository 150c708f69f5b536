package tamarindroute.agreement.raft;

import static org.assertj.core.api.Assertions.assertThat;

import io.microraft.QueryPolicy;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import tamarindroute.agreement.raft.LinearizabilityChecker.Operation;
import tamarindroute.agreement.raft.LinearizabilityChecker.Result;

/**
 * Linearizability of puts and reads under faults. Guards against reads of an outdated view, as from
 * a leader that was replaced during a partition, and against two writes from the same base number
 * that are both committed. The checker is tested with a cluster that reads without a quorum.
 */
class LinearizabilityTest {

  /** Returns the operations of three clients on a cluster with faults, all drawn from the seed. */
  private static List<Operation> recordHistory(long seed, int voters, QueryPolicy queryPolicy) {
    SimulatedCluster cluster = new SimulatedCluster(seed, voters, queryPolicy);
    cluster.awaitLeader();
    cluster.lossPercent = (int) (seed % 3) * 10;
    List<Operation> history = new ArrayList<>();
    List<RegisterClient> clients =
        IntStream.range(0, 3).mapToObj(i -> new RegisterClient(cluster, history)).toList();
    for (int turn = 1; history.size() < 60 && turn < 600; turn++) {
      int voter = cluster.randomBelow(voters);
      SimulatedNode node = cluster.node(voter);
      switch (cluster.randomBelow(30)) {
        case 0 -> cluster.setIsolated(voter, voters, true);
        case 1, 2, 3 -> cluster.setIsolated(voter, voters, false);
        case 4 -> node.setPaused(true);
        case 5, 6 -> node.setPaused(false);
        case 7 -> {
          node.kill();
          node.start(1);
          clients.forEach(RegisterClient::giveUp);
        }
        default -> clients.get(turn % 3).startNext(node, turn);
      }
      cluster.run(Duration.ofMillis(cluster.randomBelow(200)));
    }
    assertThat(cluster.violations).isEmpty();
    return history;
  }

  @ParameterizedTest
  @ValueSource(ints = {3, 5})
  void putsAndReadsAreLinearizable(int voters) {
    long written = 0;
    long unknown = 0;
    for (int seed = 0; seed < 25; seed++) {
      List<Operation> history = recordHistory(seed, voters, QueryPolicy.LINEARIZABLE);
      assertThat(LinearizabilityChecker.isLinearizable(history))
          .as("seed " + seed + ": " + history)
          .isTrue();
      written += count(history, Result.WRITTEN);
      unknown += count(history, Result.UNKNOWN);
    }
    assertThat(written).isGreaterThan(80);
    assertThat(unknown).isPositive();
  }

  private static long count(List<Operation> history, Result result) {
    return history.stream().filter(operation -> operation.result() == result).count();
  }

  @Test
  void checkerDetectsReadsWithoutQuorum() {
    assertThat(
            IntStream.range(0, 40)
                .mapToObj(seed -> recordHistory(seed, 3, QueryPolicy.EVENTUAL_CONSISTENCY))
                .allMatch(LinearizabilityChecker::isLinearizable))
        .isFalse();
  }

  @Test
  void checkerDetectsTwoWritesFromSameBase() {
    Operation write = new Operation(Result.WRITTEN, 0, 1, 0, 10);
    Operation otherWrite = new Operation(Result.WRITTEN, 0, 2, 5, 20);
    Operation rejectedWrite = new Operation(Result.REJECTED, 0, 2, 5, 20);
    assertThat(isLinearizable(write, otherWrite)).isFalse();
    assertThat(isLinearizable(write, rejectedWrite)).isTrue();
    assertThat(isLinearizable(write, new Operation(Result.READ, 0, 0, 11, 12)))
        .as("read of an old value")
        .isFalse();
    assertThat(isLinearizable(write, new Operation(Result.READ, 0, 0, 5, 12))).isTrue();
    Operation unknownWrite = new Operation(Result.UNKNOWN, 0, 3, 0, Long.MAX_VALUE);
    assertThat(isLinearizable(unknownWrite, new Operation(Result.READ, 3, 0, 50, 60))).isTrue();
  }

  private static boolean isLinearizable(Operation... operations) {
    return LinearizabilityChecker.isLinearizable(List.of(operations));
  }
}
