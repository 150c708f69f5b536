package tamarindroute.maintenance;

import java.time.Duration;
import java.util.Arrays;
import java.util.Objects;

/**
 * One member's measurements of a location's load: for each bin of the day, an exponentially
 * decaying sum of daily loads and the sum of their weights. Immutable.
 */
public final class LoadSample {
  /**
   * Upper bound of loads and weights. It is above any load of a location in any unit, and sums of
   * such values are still sufficiently exact.
   */
  private static final double MAX_VALUE = 1e12;

  /**
   * Weight of a day's load relative to the load of the next day. With 0.5 the pattern of a week is
   * visible, while a single unusual day has a quarter of its weight two days later.
   */
  static final double DAILY_DECAY_FACTOR = 0.5;

  private final long sequence;
  private final double[] load;
  private final double[] weight;
  private final Duration reportedAt;

  /**
   * Creates a sample from its sums.
   *
   * @param sequence number of the sample among those of the member; the greatest is the newest
   * @param load decayed sums of loads by bin of the day, each from 0 to 1e12
   * @param weight decayed sums of weights by bin of the day, each from 0 to 1e12
   * @param reportedAt the agreed time of the latest measurement
   * @throws IllegalArgumentException if the arrays have different lengths or a value is out of
   *     bounds
   */
  public LoadSample(long sequence, double[] load, double[] weight, Duration reportedAt) {
    if (load.length != weight.length) {
      throw new IllegalArgumentException(
          "load sample has "
              + load.length
              + " loads and "
              + weight.length
              + " weights, must have as many loads as weights");
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
          field
              + " of load sample is "
              + value
              + " in bin "
              + bin
              + ", must be from 0 to "
              + MAX_VALUE);
    }
  }

  /** Returns a sample without measurements, with sequence 0. */
  public static LoadSample empty(int bins) {
    return new LoadSample(0, new double[bins], new double[bins], Duration.ZERO);
  }

  /**
   * Returns the next sample, which adds the measured load of a day in one bin and decays the
   * earlier days in that bin.
   *
   * @param bin the bin of the day, from 0
   * @param measured the load of the day in this bin, at least 0
   * @param now agreed time of the measurement
   */
  public LoadSample withLoad(int bin, double measured, Duration now) {
    double[] loads = load.clone();
    double[] weights = weight.clone();
    loads[bin] = loads[bin] * DAILY_DECAY_FACTOR + measured;
    weights[bin] = weights[bin] * DAILY_DECAY_FACTOR + 1;
    return new LoadSample(sequence + 1, loads, weights, now);
  }

  /**
   * Returns the number of the sample among those of the member. The greatest number is the newest.
   */
  public long sequence() {
    return sequence;
  }

  /** Returns a copy of the decayed sums of loads by bin. */
  public double[] load() {
    return load.clone();
  }

  /** Returns a copy of the decayed sums of weights by bin. */
  public double[] weight() {
    return weight.clone();
  }

  /** Returns the agreed time of the latest measurement. */
  public Duration reportedAt() {
    return reportedAt;
  }

  int bins() {
    return load.length;
  }

  /** Returns the weighted mean load in a bin of the day, or 0 without measurements. */
  double meanLoad(int bin) {
    return weight[bin] > 0 ? load[bin] / weight[bin] : 0;
  }

  /**
   * Returns the sample with the greater sequence. A correct member never sends two different
   * samples with one sequence. If it does, the sample with the greater load is returned, so that
   * the result of a merge does not depend on its order.
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
    return "LoadSample " + sequence + " reported at " + reportedAt + ", " + load.length + " bins";
  }
}
