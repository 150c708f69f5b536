package tamarindroute.maintenance;

import java.time.Duration;
import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * A location's load by time of day, as the sum of its members' samples. A merge keeps the newest
 * sample of each member and is commutative, associative and idempotent (a state-based CRDT). If a
 * member stops reporting, its last sample is scaled up with its age.
 *
 * @param bins number of equal bins into which a day is divided, from 1 to {@link #MAX_BINS}
 * @param samples the newest sample of each member, by member name; at most {@link #MAX_MEMBERS}
 */
public record LoadCurve(int bins, SortedMap<String, LoadSample> samples) {
  /**
   * Maximum number of bins: the quarter hours of a day. Load changes by only a few percent within a
   * quarter of an hour.
   */
  public static final int MAX_BINS = 96;

  /** Maximum number of members that module {@code membership} supports. */
  public static final int MAX_MEMBERS = 5_000;

  /** Assumed growth of the load of an outdated sample per hour, as a fraction. */
  static final double GROWTH_PER_HOUR = 0.02;

  /**
   * Upper bound of the factor by which an outdated sample is scaled up. By the time it is reached,
   * the samples of other members include the load of the same clients.
   */
  static final double MAX_GROWTH_FACTOR = 1.5;

  /** Age up to which a sample is not scaled up. Members report every few minutes. */
  static final Duration FRESH_PERIOD = Duration.ofMinutes(30);

  private static final double MINUTES_PER_HOUR = 60;

  /**
   * Validates the curve.
   *
   * @throws IllegalArgumentException if the number of bins or of members is out of bounds
   */
  public LoadCurve {
    if (bins < 1 || bins > MAX_BINS) {
      throw new IllegalArgumentException(
          "load curve has " + bins + " bins, must have 1 to " + MAX_BINS);
    }
    if (samples.size() > MAX_MEMBERS) {
      throw new IllegalArgumentException(
          "load curve has " + samples.size() + " members, must have at most " + MAX_MEMBERS);
    }
    samples = Collections.unmodifiableSortedMap(new TreeMap<>(samples));
  }

  /** Returns a curve without samples. */
  public static LoadCurve empty(int bins) {
    return new LoadCurve(bins, new TreeMap<>());
  }

  /**
   * Returns the curve with a member's sample, unless the curve has a newer one of that member. A
   * sample with a different number of bins is ignored.
   */
  public LoadCurve withSample(String member, LoadSample sample) {
    if (sample.bins() != bins) {
      return this;
    }
    TreeMap<String, LoadSample> reported = new TreeMap<>();
    reported.put(member, sample);
    return merged(reported);
  }

  /**
   * Returns the curve merged with another curve. A curve with a different number of bins is
   * ignored.
   */
  public LoadCurve merge(LoadCurve other) {
    return other.bins == bins ? merged(other.samples) : this;
  }

  /**
   * Merges samples. If there are more than {@link #MAX_MEMBERS} members, the first in the order of
   * their names are kept, so that the result does not depend on the order of merges.
   */
  private LoadCurve merged(SortedMap<String, LoadSample> others) {
    TreeMap<String, LoadSample> merged = new TreeMap<>(samples);
    others.forEach((member, sample) -> merged.merge(member, sample, LoadSample::newer));
    while (merged.size() > MAX_MEMBERS) {
      merged.pollLastEntry();
    }
    return new LoadCurve(bins, merged);
  }

  /**
   * Returns the load in a bin of the day. It is the greater of the measured load and the load
   * smoothed with the two neighbouring bins, with weights 1/4, 1/2 and 1/4.
   *
   * @param bin the bin of the day, from 0
   * @param now agreed time, from which the ages of the samples are computed
   */
  public double loadAt(int bin, Duration now) {
    double measured = unsmoothedLoad(bin, now);
    double previous = unsmoothedLoad((bin + bins - 1) % bins, now);
    double next = unsmoothedLoad((bin + 1) % bins, now);
    return Math.max(measured, previous / 4 + measured / 2 + next / 4);
  }

  private double unsmoothedLoad(int bin, Duration now) {
    double sum = 0;
    for (LoadSample sample : samples.values()) {
      sum += sample.meanLoad(bin) * growthFactor(now.minus(sample.reportedAt()));
    }
    return sum;
  }

  private static double growthFactor(Duration age) {
    Duration outdatedFor = age.minus(FRESH_PERIOD);
    if (outdatedFor.isNegative()) {
      return 1;
    }
    return Math.min(
        MAX_GROWTH_FACTOR, 1 + GROWTH_PER_HOUR * outdatedFor.toMinutes() / MINUTES_PER_HOUR);
  }

  /**
   * Returns the load for a planning input: the loads of consecutive bins, where the first bin of
   * the day follows its last.
   *
   * @param firstBin the bin of the day at which the result starts, from 0
   * @param count the number of bins of the result
   * @param now agreed time, from which the ages of the samples are computed
   */
  public double[] loadFrom(int firstBin, int count, Duration now) {
    double[] day = new double[bins];
    for (int bin = 0; bin < bins; bin++) {
      day[bin] = loadAt(bin, now);
    }
    double[] load = new double[count];
    for (int offset = 0; offset < count; offset++) {
      load[offset] = day[(firstBin + offset) % bins];
    }
    return load;
  }
}
