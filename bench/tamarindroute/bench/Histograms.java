package tamarindroute.bench;

import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/** Histograms of times in nanoseconds. */
final class Histograms {

  private static final int SIGNIFICANT_DIGITS = 3;

  private Histograms() {}

  /** An empty histogram; greater values are not recorded. */
  static Histogram upToSeconds(long seconds) {
    return new Histogram(TimeUnit.SECONDS.toNanos(seconds), SIGNIFICANT_DIGITS);
  }

  /** The value at a percentile, in milliseconds. */
  static double millis(Histogram histogram, double percentile) {
    return histogram.getValueAtPercentile(percentile) / 1e6;
  }

  /** The greatest value, in milliseconds. */
  static double maxMillis(Histogram histogram) {
    return histogram.getMaxValue() / 1e6;
  }
}
