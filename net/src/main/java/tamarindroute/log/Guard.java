package tamarindroute.log;

import java.util.HashMap;
import java.util.Map;

/**
 * Lets one line a second through for each topic and counts the others. Topics are few: they stand
 * in the code.
 */
class Guard {

  private static final long PAUSE = 1_000;

  private final Map<String, long[]> last = new HashMap<>();

  /**
   * Read under the lock: a time read before another thread's later one would look like a clock set
   * back.
   */
  synchronized int pass(String topic) {
    return pass(topic, now());
  }

  /** The same with some lines a second instead of one. */
  synchronized int passSome(String topic, int most) {
    return pass(topic, now(), most);
  }

  long now() {
    return System.currentTimeMillis();
  }

  /** How many lines were left out before this one; -1 where this one is left out as well. */
  int pass(String topic, long now) {
    return pass(topic, now, 1);
  }

  synchronized int pass(String topic, long now, int most) {
    long[] of = last.computeIfAbsent(topic, t -> new long[] {Long.MIN_VALUE / 2, 0, 0});
    // A clock that was set back must not silence a topic until it has caught up.
    if (now < of[0] || now - of[0] >= PAUSE) {
      of[0] = now;
      of[2] = 0;
    }
    if (of[2] >= most) {
      of[1]++;
      return -1;
    }
    int leftOut = (int) of[1];
    of[1] = 0;
    of[2]++;
    return leftOut;
  }
}
