package tamarindroute.maintenance;

import java.time.Duration;
import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * A location's load by time of day, as the sum of its members' samples. Merging keeps the newest
 * sample of each member: commutative, associative, idempotent. The last sample of a member that is
 * no longer heard counts with growth.
 *
 * @param bins number of bins of the day, at most {@link #MAX_BINS}
 * @param samples the newest sample of each member, at most {@link #MAX_MEMBERS}
 */
public record LoadCurve(int bins, SortedMap<String, LoadSample> samples) {
  /** Quarter hours of a day. */
  public static final int MAX_BINS = 96;

  /** As many members as membership supports. */
  public static final int MAX_MEMBERS = 5_000;

  /** Assumed growth of an outdated sample's load, per hour. */
  static final double GROWTH_PER_HOUR = 0.02;

  /** Upper bound of the growth: beyond it, other members report the same clients. */
  static final double MAX_GROWTH = 1.5;

  /** Age up to which a sample is not grown; members report every few minutes. */
  static final Duration FRESH_PERIOD = Duration.ofMinutes(30);

  private static final double MINUTES_PER_HOUR = 60;

  /** Refuses sizes out of bounds. */
  public LoadCurve {
    if (bins < 1 || bins > MAX_BINS) {
      throw new IllegalArgumentException(
          "load curve has " + bins + " bins, must be 1 to " + MAX_BINS);
    }
    if (samples.size() > MAX_MEMBERS) {
      throw new IllegalArgumentException(
          "load curve has " + samples.size() + " members, must be at most " + MAX_MEMBERS);
    }
    samples = Collections.unmodifiableSortedMap(new TreeMap<>(samples));
  }

  /** A curve without samples. */
  public static LoadCurve empty(int bins) {
    return new LoadCurve(bins, new TreeMap<>());
  }

  /**
   * With a member's sample, unless a newer one is known. A sample with another number of bins is
   * ignored.
   */
  public LoadCurve withSample(String member, LoadSample sample) {
    if (sample.bins() != bins) {
      return this;
    }
    TreeMap<String, LoadSample> one = new TreeMap<>();
    one.put(member, sample);
    return merged(one);
  }

  /** With another curve's samples; a curve with another number of bins is ignored. */
  public LoadCurve merge(LoadCurve other) {
    return other.bins == bins ? merged(other.samples) : this;
  }

  /** Of too many members the first by name are kept, so that the order of merging is irrelevant. */
  private LoadCurve merged(SortedMap<String, LoadSample> others) {
    TreeMap<String, LoadSample> all = new TreeMap<>(samples);
    others.forEach((member, sample) -> all.merge(member, sample, LoadSample::newer));
    while (all.size() > MAX_MEMBERS) {
      all.pollLastEntry();
    }
    return new LoadCurve(bins, all);
  }

  /**
   * The load in a bin of the day, smoothed with its neighbours but not below the measured value.
   */
  public double loadAt(int bin, Duration now) {
    double here = unsmoothedLoad(bin, now);
    double previous = unsmoothedLoad((bin + bins - 1) % bins, now);
    double next = unsmoothedLoad((bin + 1) % bins, now);
    return Math.max(here, previous / 4 + here / 2 + next / 4);
  }

  private double unsmoothedLoad(int bin, Duration now) {
    double sum = 0;
    for (LoadSample sample : samples.values()) {
      sum += sample.meanLoad(bin) * growthFactor(now.minus(sample.reportedAt()));
    }
    return sum;
  }

  private static double growthFactor(Duration age) {
    Duration outdated = age.minus(FRESH_PERIOD);
    if (outdated.isNegative()) {
      return 1;
    }
    return Math.min(MAX_GROWTH, 1 + GROWTH_PER_HOUR * outdated.toMinutes() / MINUTES_PER_HOUR);
  }

  /** The load for a planning input: a number of bins from a bin of the day on. */
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
