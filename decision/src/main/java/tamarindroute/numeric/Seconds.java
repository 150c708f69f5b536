package tamarindroute.numeric;

import java.time.Duration;

/** Conversion between durations and seconds as floating-point numbers. */
public final class Seconds {

  private static final double NANOS_PER_SECOND = 1e9;

  private Seconds() {}

  /** Returns the duration in seconds. */
  public static double seconds(Duration duration) {
    return duration.getSeconds() + duration.getNano() / NANOS_PER_SECOND;
  }

  /** Returns the seconds as a duration, rounded to the nearest nanosecond. */
  public static Duration toDuration(double seconds) {
    return Duration.ofNanos(Math.round(seconds * NANOS_PER_SECOND));
  }
}
