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
final class Linear {

  enum Told {
    DONE,
    REFUSED,
    READ,
    UNKNOWN
  }

  /**
   * @param from the value it expects, or that was read; @param to the value it sets
   */
  record Op(Told told, int from, int to, long call, long end) {}

  private final List<Op> ops;
  private final Set<List<Long>> seen = new HashSet<>();

  private Linear(List<Op> ops) {
    this.ops = ops;
  }

  static boolean holds(List<Op> ops) {
    if (ops.size() > 63) {
      throw new IllegalArgumentException(ops.size() + " operations");
    }
    return new Linear(ops).from(0, 0);
  }

  private boolean from(long done, int value) {
    if (!seen.add(List.of(done, (long) value))) {
      return false;
    }
    long firstEnd = Long.MAX_VALUE;
    for (int i = 0; i < ops.size(); i++) {
      if ((done & 1L << i) == 0 && ops.get(i).told() != Told.UNKNOWN) {
        firstEnd = Math.min(firstEnd, ops.get(i).end());
      }
    }
    if (firstEnd == Long.MAX_VALUE) {
      return true;
    }
    for (int i = 0; i < ops.size(); i++) {
      Op op = ops.get(i);
      if ((done & 1L << i) == 0
          && op.call() <= firstEnd
          && plays(op, value)
          && from(
              done | 1L << i,
              op.told() == Told.DONE || op.told() == Told.UNKNOWN ? op.to() : value)) {
        return true;
      }
    }
    return false;
  }

  private static boolean plays(Op op, int value) {
    return op.told() == Told.REFUSED ? op.from() != value : op.from() == value;
  }
}
