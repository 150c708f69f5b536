package tamarindroute.agreement.raft;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Checks whether a history of operations on one register is linearizable: whether there is an order
 * of the completed operations, each between its call and its end, that a single register could have
 * executed. An operation with unknown result may have taken effect at any time after its call, or
 * never.
 */
final class LinearizabilityChecker {

  /** Operations of a history are the bits of a long. */
  private static final int MAX_OPERATIONS = 63;

  enum Result {
    WRITTEN,
    REJECTED,
    READ,
    UNKNOWN
  }

  /**
   * A read, or a conditional write.
   *
   * @param expected the value that was read, or that the write requires
   * @param written the value that is written
   */
  record Operation(Result result, int expected, int written, long call, long end) {

    boolean isLegal(int value) {
      return result == Result.REJECTED ? expected != value : expected == value;
    }

    int valueAfter(int value) {
      return result == Result.WRITTEN || result == Result.UNKNOWN ? written : value;
    }
  }

  private final List<Operation> operations;

  /** Pairs of executed operations and the register's value that were explored. */
  private final Set<List<Long>> visited = new HashSet<>();

  private LinearizabilityChecker(List<Operation> operations) {
    this.operations = operations;
  }

  static boolean isLinearizable(List<Operation> operations) {
    if (operations.size() > MAX_OPERATIONS) {
      throw new IllegalArgumentException(
          operations.size() + " operations, at most " + MAX_OPERATIONS + " allowed");
    }
    return new LinearizabilityChecker(operations).canContinue(0, 0);
  }

  private boolean canContinue(long executed, int value) {
    if (!visited.add(List.of(executed, (long) value))) {
      return false;
    }
    long firstEnd = firstEndOfRemaining(executed);
    if (firstEnd == Long.MAX_VALUE) {
      return true;
    }
    for (int i = 0; i < operations.size(); i++) {
      Operation operation = operations.get(i);
      if (!isExecuted(executed, i)
          && operation.call() <= firstEnd
          && operation.isLegal(value)
          && canContinue(executed | 1L << i, operation.valueAfter(value))) {
        return true;
      }
    }
    return false;
  }

  /** Returns the first end of a completed operation that is not executed; the maximum if none. */
  private long firstEndOfRemaining(long executed) {
    long firstEnd = Long.MAX_VALUE;
    for (int i = 0; i < operations.size(); i++) {
      Operation operation = operations.get(i);
      if (!isExecuted(executed, i) && operation.result() != Result.UNKNOWN) {
        firstEnd = Math.min(firstEnd, operation.end());
      }
    }
    return firstEnd;
  }

  private static boolean isExecuted(long executed, int index) {
    return (executed & 1L << index) != 0;
  }
}
