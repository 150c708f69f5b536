package tamarindroute.agreement.raft;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Checks whether a history of operations on one register is linearizable (Herlihy and Wing 1990),
 * that is, whether a single register could have executed the completed operations in some order,
 * each between its call and its end. An operation with unknown result may have taken effect at any
 * time after its call, or never. Searches the orders recursively and visits each pair of executed
 * operations and register value once.
 */
final class LinearizabilityChecker {

  /** Largest number of operations in a history, as a set of operations is stored in a long. */
  private static final int MAX_OPERATIONS = 63;

  enum Result {
    /** The write took effect. */
    WRITTEN,
    /** The write did not take effect, as the register did not have the expected value. */
    REJECTED,
    /** The read returned the expected value. */
    READ,
    /** The write may have taken effect or not, or may still do so. */
    UNKNOWN
  }

  /**
   * A read, or a conditional write.
   *
   * @param expected the value that was read, or that the write requires
   * @param written the value that the write sets
   * @param call when the operation was called, in microseconds
   * @param end when the operation ended, in microseconds
   */
  record Operation(Result result, int expected, int written, long call, long end) {

    boolean isPossible(int value) {
      return result == Result.REJECTED ? expected != value : expected == value;
    }

    int valueAfter(int value) {
      return result == Result.WRITTEN || result == Result.UNKNOWN ? written : value;
    }
  }

  private final List<Operation> operations;

  /** Visited pairs of the set of executed operations, as bits, and the register's value. */
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

  /** Returns whether the operations that are not executed yet can be executed in some order. */
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
          && operation.isPossible(value)
          && canContinue(executed | 1L << i, operation.valueAfter(value))) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns the earliest end of a completed operation that is not executed yet; {@link
   * Long#MAX_VALUE} if all are executed.
   */
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
