package tamarindroute.host;

import java.time.Duration;

/**
 * Monotonic time of this process: unaffected by changes of the system clock, running on while the
 * process is stopped.
 */
public final class MonotonicClock {

  private static final long START_NANOS = System.nanoTime();

  private MonotonicClock() {}

  /** The time since this class was loaded. */
  public static Duration now() {
    return Duration.ofNanos(System.nanoTime() - START_NANOS);
  }
}
