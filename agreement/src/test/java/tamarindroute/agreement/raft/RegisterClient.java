package tamarindroute.agreement.raft;

import java.nio.ByteBuffer;
import java.util.List;
import tamarindroute.agreement.Agreement.ProposalResult;
import tamarindroute.agreement.Agreement.ProposalStatus;
import tamarindroute.agreement.Command;
import tamarindroute.agreement.MembershipView;
import tamarindroute.agreement.raft.LinearizabilityChecker.Operation;
import tamarindroute.agreement.raft.LinearizabilityChecker.Result;

/**
 * A client that uses one entry of the view as a register, and records its operations: it reads at
 * any voter, and then writes on condition of what it read. One operation at a time.
 */
final class RegisterClient {

  private static final String KEY = "level/1";

  /** Expected value of a write that was never attempted; no value matches it. */
  private static final int NO_VALUE = -1;

  private final SimulatedCluster cluster;
  private final List<Operation> history;
  private MembershipView lastRead;
  private boolean busy;
  private int operationNumber;

  RegisterClient(SimulatedCluster cluster, List<Operation> history) {
    this.cluster = cluster;
    this.history = history;
  }

  private static int value(MembershipView view) {
    return view.entries().containsKey(KEY)
        ? ByteBuffer.wrap(view.entries().get(KEY).value()).getInt()
        : 0;
  }

  /** Starts the next operation at a voter, unless one is running or the voter is down. */
  void startNext(SimulatedNode node, int uniqueValue) {
    boolean isUp = node.voter != null && !node.paused;
    if (busy || !isUp) {
      return;
    }
    busy = true;
    operationNumber++;
    if (lastRead == null) {
      read(node);
    } else {
      write(node, uniqueValue);
    }
  }

  private void read(SimulatedNode node) {
    int started = operationNumber;
    long call = cluster.nowMicros;
    node.voter.read(
        view -> {
          if (started == operationNumber) {
            busy = false;
            lastRead = view.orElse(null);
            view.ifPresent(
                read ->
                    history.add(
                        new Operation(Result.READ, value(read), 0, call, cluster.nowMicros)));
          }
        });
  }

  private void write(SimulatedNode node, int newValue) {
    int started = operationNumber;
    int index = history.size();
    Operation unknown =
        new Operation(Result.UNKNOWN, value(lastRead), newValue, cluster.nowMicros, Long.MAX_VALUE);
    history.add(unknown);
    byte[] encoded = ByteBuffer.allocate(Integer.BYTES).putInt(newValue).array();
    Command put = new Command.Put(KEY, lastRead.baseNumber(KEY), "t", encoded);
    node.voter.propose(
        put,
        result -> {
          if (started == operationNumber) {
            busy = false;
            lastRead = null;
            history.set(index, completed(unknown, result));
          }
        });
  }

  private Operation completed(Operation write, ProposalResult result) {
    if (result.status() == ProposalStatus.UNKNOWN) {
      return write;
    }
    boolean isInLog =
        result.status() == ProposalStatus.COMMITTED || result.status() == ProposalStatus.REJECTED;
    return new Operation(
        result.status() == ProposalStatus.COMMITTED ? Result.WRITTEN : Result.REJECTED,
        isInLog ? write.expected() : NO_VALUE,
        write.written(),
        write.call(),
        cluster.nowMicros);
  }

  /** Abandons the running operation, as its voter was killed. */
  void giveUp() {
    operationNumber++;
    busy = false;
    lastRead = null;
  }
}
