package tamarindroute.maintenance;

import java.time.Duration;
import java.util.Arrays;
import java.util.Objects;

/**
 * One member's measurements of a location's load: for each bin of the day a decaying sum of loads
 * and the sum of their weights. Immutable.
 */
public final class LoadSample {
  /** Above any load of a location in any unit; sums of such values stay exact enough. */
  private static final double MAX_VALUE = 1e12;

  /** Weight of a day's load relative to that of the next day. */
  static final double DAILY_DECAY = 0.5;

  private final long sequence;
  private final double[] load;
  private final double[] weight;
  private final Duration reportedAt;

  /**
   * Refuses sums of different lengths, and values that are not from 0 to 1e12.
   *
   * @param sequence counts the member's samples; the greatest is the newest
   * @param load sums of loads by bin of the day
   * @param weight sums of weights by bin of the day
   * @param reportedAt the agreed time of the last measurement
   */
  public LoadSample(long sequence, double[] load, double[] weight, Duration reportedAt) {
    if (load.length != weight.length) {
      throw new IllegalArgumentException(
          "load sample has " + load.length + " loads and " + weight.length + " weights");
    }
    this.sequence = sequence;
    this.load = load.clone();
    this.weight = weight.clone();
    this.reportedAt = reportedAt;
    for (int bin = 0; bin < load.length; bin++) {
      requireInBounds("load", load[bin], bin);
      requireInBounds("weight", weight[bin], bin);
    }
  }

  private static void requireInBounds(String field, double value, int bin) {
    if (!(value >= 0 && value <= MAX_VALUE)) {
      throw new IllegalArgumentException(
          field + " of a sample is " + value + " in bin " + bin + ", must be 0 to " + MAX_VALUE);
    }
  }

  /** A sample without measurements. */
  public static LoadSample empty(int bins) {
    return new LoadSample(0, new double[bins], new double[bins], Duration.ZERO);
  }

  /** The next sample, with a day's load added in a bin. */
  public LoadSample withLoad(int bin, double measured, Duration now) {
    double[] loads = load.clone();
    double[] weights = weight.clone();
    loads[bin] = loads[bin] * DAILY_DECAY + measured;
    weights[bin] = weights[bin] * DAILY_DECAY + 1;
    return new LoadSample(sequence + 1, loads, weights, now);
  }

  /** Counts the member's samples; the greatest is the newest. */
  public long sequence() {
    return sequence;
  }

  /** A copy of the sums of loads by bin. */
  public double[] load() {
    return load.clone();
  }

  /** A copy of the sums of weights by bin. */
  public double[] weight() {
    return weight.clone();
  }

  /** The agreed time of the last measurement. */
  public Duration reportedAt() {
    return reportedAt;
  }

  int bins() {
    return load.length;
  }

  /** The weighted mean load in a bin of the day. */
  double meanLoad(int bin) {
    return weight[bin] > 0 ? load[bin] / weight[bin] : 0;
  }

  /**
   * The sample with the greater sequence. A member never sends two samples of one sequence; should
   * it, the one with the larger load is taken, so that merging still does not depend on order.
   */
  static LoadSample newer(LoadSample one, LoadSample other) {
    if (one.sequence != other.sequence) {
      return one.sequence > other.sequence ? one : other;
    }
    int order = Arrays.compare(one.load, other.load);
    if (order == 0) {
      order = Arrays.compare(other.weight, one.weight);
    }
    if (order == 0) {
      order = one.reportedAt.compareTo(other.reportedAt);
    }
    return order >= 0 ? one : other;
  }

  @Override
  public boolean equals(Object object) {
    return object instanceof LoadSample other
        && sequence == other.sequence
        && Arrays.equals(load, other.load)
        && Arrays.equals(weight, other.weight)
        && reportedAt.equals(other.reportedAt);
  }

  @Override
  public int hashCode() {
    return Objects.hash(sequence, Arrays.hashCode(load), Arrays.hashCode(weight), reportedAt);
  }

  @Override
  public String toString() {
    return "LoadSample " + sequence + " of " + reportedAt + ", " + load.length + " bins";
  }
}
