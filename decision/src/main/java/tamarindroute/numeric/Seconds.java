package tamarindroute.numeric;

import java.time.Duration;

/** Spans of time as seconds and back. */
public final class Seconds {

  private static final double NANOS = 1e9;

  private Seconds() {}

  public static double seconds(Duration span) {
    return span.getSeconds() + span.getNano() / NANOS;
  }

  /** To the nearest nanosecond. */
  public static Duration span(double seconds) {
    return Duration.ofNanos(Math.round(seconds * NANOS));
  }
}
