package tamarindroute.agreement.raft;

import java.time.Duration;
import java.util.Arrays;
import tamarindroute.agreement.Agreement.ProposalResult;
import tamarindroute.agreement.Agreement.ProposalStatus;
import tamarindroute.agreement.Command;

/**
 * Measures, in virtual time, how long a group takes from the loss of its leader until it commits a
 * command, and how often the view lease of a member expires meanwhile.
 */
final class FailoverBenchmark {

  /** Number of runs, one per seed. */
  private static final int RUNS = 40;

  private static final long GIVE_UP_MICROS = 120_000_000L;

  private final int voters;
  private final int lossPercent;
  private final long[] failoverMillis = new long[RUNS];

  /** Number of runs in which the member's lease expired. */
  private int expiredLeases;

  FailoverBenchmark(int voters, int lossPercent) {
    this.voters = voters;
    this.lossPercent = lossPercent;
  }

  /** Measures, and returns the results as text. */
  String run() {
    for (int seed = 0; seed < RUNS; seed++) {
      failoverMillis[seed] = run(seed);
    }
    Arrays.sort(failoverMillis);
    return String.format(
        "%d voters, %d%% loss: committed again after %d ms (%d to %d), lease expired in %d of %d",
        voters,
        lossPercent,
        failoverMillis[RUNS / 2],
        failoverMillis[0],
        failoverMillis[RUNS - 1],
        expiredLeases,
        RUNS);
  }

  /** Returns the time of one failover in milliseconds. */
  private long run(int seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed, voters);
    cluster.awaitLeader();
    cluster.lossPercent = lossPercent;
    cluster.node(voters).holdView(cluster.configuredVoters());
    cluster.run(Duration.ofSeconds(20 + cluster.randomBelow(5)));
    int refusedBefore = cluster.refusedActCount;
    long elapsedMicros = failover(cluster);
    cluster.run(Duration.ofSeconds(10));
    expiredLeases += cluster.refusedActCount > refusedBefore ? 1 : 0;
    return elapsedMicros / 1_000;
  }

  /** Returns the time of one failover in microseconds, at most {@link #GIVE_UP_MICROS}. */
  private static long failover(SimulatedCluster cluster) {
    SimulatedNode oldLeader = cluster.awaitLeader();
    long number = oldLeader.voter.localView().number();
    Command put = new Command.Put("k", number, "t", new byte[9]);
    long startMicros = cluster.nowMicros;
    oldLeader.kill();
    boolean[] committed = {false};
    while (!committed[0] && cluster.nowMicros < startMicros + GIVE_UP_MICROS) {
      cluster
          .leader()
          .ifPresent(
              leader -> leader.voter.propose(put, result -> committed[0] |= showsCommit(result)));
      cluster.run(Duration.ofMillis(50));
    }
    return cluster.nowMicros - startMicros;
  }

  /** A rejection shows that an earlier proposal of the same command was committed. */
  private static boolean showsCommit(ProposalResult result) {
    return result.status() == ProposalStatus.COMMITTED
        || result.status() == ProposalStatus.REJECTED;
  }
}
