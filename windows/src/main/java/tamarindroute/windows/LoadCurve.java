package tamarindroute.windows;

import java.time.Duration;
import java.util.Arrays;
import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * A location's load by time of day, from what each member tells of its own. Merging takes the newer
 * word of each member: commutative, associative, idempotent. A member that is no longer heard
 * counts as its last word, grown.
 */
public record LoadCurve(int bins, SortedMap<String, LoadSample> samples) {
  /** A quarter of an hour: load changes by a few hundredths in it. */
  public static final int MAX_BINS = 96;

  /** As many members as membership is built for. */
  public static final int MAX_MEMBERS = 5_000;

  /**
   * A day weighs half of the day after it: a week's pattern shows, a single odd day is a quarter
   * two days later.
   */
  static final double DAILY_DECAY = 0.5;

  /** What is not heard may have grown by this an hour ... */
  static final double GROWTH_PER_HOUR = 0.02;

  /** ... up to this: beyond, what others tell of the same clients has taken its place. */
  static final double MAX_GROWTH = 1.5;

  /** A word this old is not yet grown: members tell theirs every few minutes. */
  static final Duration FRESH_PERIOD = Duration.ofMinutes(30);

  /**
   * A member's decaying sums by bin of the day: {@code load} over {@code weight} is its load;
   * {@code reportedAt} when it said so.
   */
  public record LoadSample(long sequence, double[] load, double[] weight, Duration reportedAt) {
    public LoadSample {
      load = load.clone();
      weight = weight.clone();
      for (int i = 0; i < load.length; i++) {
        if (load.length != weight.length
            || !(load[i] >= 0
                && load[i] <= MAX_VALUE
                && weight[i] >= 0
                && weight[i] <= MAX_VALUE)) {
          throw new IllegalArgumentException("a word out of bounds in bin " + i);
        }
      }
    }

    /** Above any load of a location in any unit; sums of such stay exact enough. */
    private static final double MAX_VALUE = 1e12;

    public static LoadSample empty(int bins) {
      return new LoadSample(0, new double[bins], new double[bins], Duration.ZERO);
    }

    /** With a day's load in a bin; older days count the less. */
    public LoadSample withLoad(int bin, double seen, Duration now) {
      double[] sums = load.clone();
      double[] weights = weight.clone();
      sums[bin] = sums[bin] * DAILY_DECAY + seen;
      weights[bin] = weights[bin] * DAILY_DECAY + 1;
      return new LoadSample(sequence + 1, sums, weights, now);
    }

    double reportedAt(int bin) {
      return weight[bin] > 0 ? load[bin] / weight[bin] : 0;
    }

    /**
     * Neither arrays nor origins of one sequence differ, unless a member breaks its word: then the
     * larger load counts.
     */
    private static LoadSample newer(LoadSample one, LoadSample other) {
      if (one.sequence != other.sequence) {
        return one.sequence > other.sequence ? one : other;
      }
      int order = Arrays.compare(one.load, other.load);
      order = order != 0 ? order : Arrays.compare(other.weight, one.weight);
      order = order != 0 ? order : one.reportedAt.compareTo(other.reportedAt);
      return order >= 0 ? one : other;
    }
  }

  public LoadCurve {
    if (bins < 1 || bins > MAX_BINS || samples.size() > MAX_MEMBERS) {
      throw new IllegalArgumentException(bins + " bins, " + samples.size() + " members");
    }
    samples = Collections.unmodifiableSortedMap(new TreeMap<>(samples));
  }

  public static LoadCurve empty(int bins) {
    return new LoadCurve(bins, new TreeMap<>());
  }

  /** With a member's word, unless a newer one is known. A word of other bins is not taken. */
  public LoadCurve withSample(String member, LoadSample sample) {
    TreeMap<String, LoadSample> one = new TreeMap<>();
    one.put(member, sample);
    return sample.load.length == bins ? merged(one) : this;
  }

  public LoadCurve merge(LoadCurve other) {
    return other.bins == bins ? merged(other.samples) : this;
  }

  /**
   * Of too many members the first by name are kept, so that the order of merging makes no
   * difference.
   */
  private LoadCurve merged(SortedMap<String, LoadSample> others) {
    TreeMap<String, LoadSample> all = new TreeMap<>(samples);
    others.forEach((member, sample) -> all.merge(member, sample, LoadSample::newer));
    while (all.size() > MAX_MEMBERS) {
      all.pollLastEntry();
    }
    return new LoadCurve(bins, all);
  }

  /**
   * The load of a bin of the day, smoothed with its neighbours, but never below what was seen in
   * it.
   */
  public double loadAt(int bin, Duration now) {
    double here = unsmoothedLoad(bin, now);
    double around =
        unsmoothedLoad((bin + bins - 1) % bins, now) / 4
            + here / 2
            + unsmoothedLoad((bin + 1) % bins, now) / 4;
    return Math.max(here, around);
  }

  private double unsmoothedLoad(int bin, Duration now) {
    double sum = 0;
    for (LoadSample sample : samples.values()) {
      sum += sample.reportedAt(bin) * growthFactor(now.minus(sample.reportedAt));
    }
    return sum;
  }

  private static double growthFactor(Duration age) {
    Duration unseen = age.minus(FRESH_PERIOD);
    return unseen.isNegative()
        ? 1
        : Math.min(MAX_GROWTH, 1 + GROWTH_PER_HOUR * unseen.toMinutes() / 60.0);
  }

  /** The load for the planner: from a time of day on, in the curve's bins. */
  public double[] loadFrom(int first, int count, Duration now) {
    double[] day = new double[bins];
    for (int i = 0; i < bins; i++) {
      day[i] = loadAt(i, now);
    }
    double[] load = new double[count];
    for (int i = 0; i < count; i++) {
      load[i] = day[(first + i) % bins];
    }
    return load;
  }
}
