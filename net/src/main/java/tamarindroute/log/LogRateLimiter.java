package tamarindroute.log;

import java.util.HashMap;
import java.util.Map;

/**
 * Admits a bounded number of lines a second for each topic and counts the suppressed ones. The
 * topics are few, since they are literals in the code or names of loggers. Thread-safe.
 */
class LogRateLimiter {

  /** Returned for a line that is suppressed. */
  static final int SUPPRESSED = -1;

  private static final long WINDOW_MILLIS = 1_000;

  private final Map<String, Window> windows = new HashMap<>();

  /**
   * Admits one line a second.
   *
   * @return how many lines of the topic were suppressed since the last admitted one; {@link
   *     #SUPPRESSED} if this one is
   */
  // Synchronized although the callee is: a time read before the lock could be earlier than the
  // window of a thread that got the lock first, and would look like a clock that was set back.
  synchronized int admit(String topic) {
    return admit(topic, currentTimeMillis());
  }

  /** The same with a number of lines a second. */
  synchronized int admitUpTo(String topic, int maxPerWindow) {
    return admit(topic, currentTimeMillis(), maxPerWindow);
  }

  /** The time of day; overridden by the tests that explore interleavings. */
  long currentTimeMillis() {
    return System.currentTimeMillis();
  }

  /** Admits one line a second, at this time. */
  int admit(String topic, long nowMillis) {
    return admit(topic, nowMillis, 1);
  }

  private synchronized int admit(String topic, long nowMillis, int maxPerWindow) {
    Window window = windows.computeIfAbsent(topic, name -> new Window());
    if (window.isOver(nowMillis)) {
      window.restart(nowMillis);
    }
    return window.admit(maxPerWindow);
  }

  /** The lines of one topic. */
  private static final class Window {

    /** Before all times, so that the first line starts a window. */
    private long startMillis = Long.MIN_VALUE / 2;

    private int admitted;
    private int suppressed;

    /**
     * A clock that was set back ends the window, or the topic would be silent until the clock has
     * caught up.
     */
    boolean isOver(long nowMillis) {
      return nowMillis < startMillis || nowMillis - startMillis >= WINDOW_MILLIS;
    }

    void restart(long nowMillis) {
      startMillis = nowMillis;
      admitted = 0;
    }

    int admit(int maxPerWindow) {
      if (admitted >= maxPerWindow) {
        suppressed++;
        return SUPPRESSED;
      }
      int suppressedBefore = suppressed;
      admitted++;
      suppressed = 0;
      return suppressedBefore;
    }
  }
}
