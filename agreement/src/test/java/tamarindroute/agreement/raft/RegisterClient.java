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
 * A client that uses one entry of the view as a register and records its operations. The client
 * reads at any voter, and then writes on the condition that the register still has the value read.
 * One operation runs at a time.
 */
final class RegisterClient {

  private static final String KEY = "level/1";

  /** Expected value of a write that was not proposed. No register value equals it. */
  private static final int NO_VALUE = -1;

  private final SimulatedCluster cluster;
  private final List<Operation> history;

  /** The view that the next write is derived from; null if the next operation is a read. */
  private MembershipView lastRead;

  private boolean busy;

  /** Number of the last operation. Outcomes of earlier operations are ignored. */
  private int operationNumber;

  RegisterClient(SimulatedCluster cluster, List<Operation> history) {
    this.cluster = cluster;
    this.history = history;
  }

  /** Returns the register's value; 0 if there is no entry. */
  private static int value(MembershipView view) {
    return view.entries().containsKey(KEY)
        ? ByteBuffer.wrap(view.entries().get(KEY).value()).getInt()
        : 0;
  }

  /**
   * Starts the next operation at a voter, unless an operation is running or the voter is down.
   *
   * @param uniqueValue the value to write, if the operation is a write
   */
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

  /** Abandons the running operation, whose result stays unknown, as its voter was killed. */
  void giveUp() {
    operationNumber++;
    busy = false;
    lastRead = null;
  }
}
