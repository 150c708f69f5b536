package tamarindroute.log;

import static tamarindroute.Interleavings.must;

import org.junit.jupiter.api.Test;
import tamarindroute.Interleavings;

/** Two threads tell of one topic: one line leaves, and the next tells of the other. */
class GuardRaceTest {

  private static class Ticking extends Guard {
    private long time = 5_000;

    @Override
    synchronized long now() {
      return time++;
    }
  }

  /** As it was: the time read before the lock. */
  private static final class ReadBefore extends Ticking {
    @Override
    int pass(String topic) {
      return pass(topic, now());
    }
  }

  /** Its count is read and set in two steps. */
  private static final class NoLock extends Ticking {
    private long last;
    private int leftOut;

    @Override
    int pass(String topic) {
      return pass(topic, now());
    }

    @Override
    int pass(String topic, long now) {
      if (now - last < 1_000) {
        leftOut++;
        return -1;
      }
      int before = leftOut;
      last = now;
      leftOut = 0;
      return before;
    }
  }

  private static void told(Guard guard) {
    int[] passed = new int[2];
    Interleavings.beside(() -> passed[0] = guard.pass("a"), () -> passed[1] = guard.pass("a"));
    must(passed[0] + passed[1] == -1, "one line of both");
    must(guard.pass("a", 7_000) == 1, "the other is counted");
  }

  @Test
  void oneLineASecondAndTheOthersCounted() {
    Interleavings.hold(() -> told(new Ticking()));
  }

  @Test
  void aTimeReadBeforeTheLockIsFound() {
    Interleavings.fail(() -> told(new ReadBefore()));
  }

  @Test
  void aGuardWithoutALockIsFound() {
    Interleavings.fail(() -> told(new NoLock()));
  }
}
