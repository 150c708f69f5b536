package tamarindroute.log;

import java.util.HashMap;
import java.util.Map;

/**
 * Lets one line a second through for each topic and counts the others. Topics are few: they stand
 * in the code.
 */
class LogRateLimiter {

  private static final long WINDOW_MILLIS = 1_000;

  private final Map<String, long[]> windows = new HashMap<>();

  /**
   * Read under the lock: a time read before another thread's later one would look like a clock set
   * back.
   */
  synchronized int admit(String topic) {
    return admit(topic, currentTimeMillis());
  }

  /** The same with some lines a second instead of one. */
  synchronized int admitUpTo(String topic, int maxPerWindow) {
    return admit(topic, currentTimeMillis(), maxPerWindow);
  }

  long currentTimeMillis() {
    return System.currentTimeMillis();
  }

  /** How many lines were left out before this one; -1 where this one is left out as well. */
  int admit(String topic, long nowMillis) {
    return admit(topic, nowMillis, 1);
  }

  synchronized int admit(String topic, long nowMillis, int maxPerWindow) {
    long[] window = windows.computeIfAbsent(topic, t -> new long[] {Long.MIN_VALUE / 2, 0, 0});
    // A clock that was set back must not silence a topic until it has caught up.
    if (nowMillis < window[0] || nowMillis - window[0] >= WINDOW_MILLIS) {
      window[0] = nowMillis;
      window[2] = 0;
    }
    if (window[2] >= maxPerWindow) {
      window[1]++;
      return -1;
    }
    int suppressed = (int) window[1];
    window[1] = 0;
    window[2]++;
    return suppressed;
  }
}
