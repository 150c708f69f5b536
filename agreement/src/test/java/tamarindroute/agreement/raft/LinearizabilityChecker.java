package tamarindroute.agreement.raft;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Judges a history of one register that is read and changed from one value to another: is there an
 * order of all that was told done, each between its call and its end, that a single register could
 * have played? What was never answered may have been done at any time after its call, or never. Up
 * to 63 operations.
 */
final class LinearizabilityChecker {

  enum Result {
    DONE,
    REFUSED,
    READ,
    UNKNOWN
  }

  /**
   * @param from the value it expects, or that was read; @param to the value it sets
   */
  record Operation(Result result, int from, int to, long call, long end) {}

  private final List<Operation> operations;
  private final Set<List<Long>> visited = new HashSet<>();

  private LinearizabilityChecker(List<Operation> operations) {
    this.operations = operations;
  }

  static boolean isLinearizable(List<Operation> operations) {
    if (operations.size() > 63) {
      throw new IllegalArgumentException(operations.size() + " operations");
    }
    return new LinearizabilityChecker(operations).from(0, 0);
  }

  private boolean from(long done, int value) {
    if (!visited.add(List.of(done, (long) value))) {
      return false;
    }
    long firstEnd = Long.MAX_VALUE;
    for (int i = 0; i < operations.size(); i++) {
      if ((done & 1L << i) == 0 && operations.get(i).result() != Result.UNKNOWN) {
        firstEnd = Math.min(firstEnd, operations.get(i).end());
      }
    }
    if (firstEnd == Long.MAX_VALUE) {
      return true;
    }
    for (int i = 0; i < operations.size(); i++) {
      Operation operation = operations.get(i);
      if ((done & 1L << i) == 0
          && operation.call() <= firstEnd
          && isLegal(operation, value)
          && from(
              done | 1L << i,
              operation.result() == Result.DONE || operation.result() == Result.UNKNOWN
                  ? operation.to()
                  : value)) {
        return true;
      }
    }
    return false;
  }

  private static boolean isLegal(Operation operation, int value) {
    return operation.result() == Result.REFUSED
        ? operation.from() != value
        : operation.from() == value;
  }
}
