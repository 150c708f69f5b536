package tamarindroute.host;

import java.time.Duration;

/**
 * The monotonic clock: it never goes back nor jumps with the system's, and goes on while the
 * process is stopped.
 */
public final class MonotonicClock {

  private static final long START = System.nanoTime();

  private MonotonicClock() {}

  /** The time since the program's start. */
  public static Duration now() {
    return Duration.ofNanos(System.nanoTime() - START);
  }
}
