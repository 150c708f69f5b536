package tamarindroute.maintenance;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * The availability of each cache in each bin of time, and the shortages that follow from it. After
 * a change only the values that it can make worse are checked: the key ranges of the changed cache,
 * and the caches that rank behind it in them.
 */
final class CoverageTimeline {
  /**
   * Relative tolerance for sums of shares, whose order of addition varies. Also the smallest
   * capacity by which a weight is divided.
   */
  private static final double ROUNDING_TOLERANCE = 1e-9;

  /** Stands for no particular cache: all caches of a ranking are compared. */
  private static final int NO_CACHE = -1;

  private final PlanningInput input;
  private final CacheTopology topology;

  /** Indexed by bin, then by cache. */
  private final Availability[][] availability;

  private final LoadProjection projection;

  /**
   * For each cache, the number of the check that last compared its load with its capacity, so that
   * one check compares each cache once.
   */
  private final int[] lastCheckOfCache;

  private int currentCheck;

  CoverageTimeline(PlanningInput input, List<ScheduledOutage> outages) {
    this.input = input;
    topology = new CacheTopology(input);
    availability = new Availability[input.binCount()][topology.cacheCount()];
    for (Availability[] bin : availability) {
      Arrays.fill(bin, Availability.IN_SERVICE);
    }
    projection = new LoadProjection(input, topology, availability);
    lastCheckOfCache = new int[topology.cacheCount()];
    for (int cache = 0; cache < topology.cacheCount(); cache++) {
      markInitialState(cache);
    }
    // An outage takes precedence over the warm-up after another one, so warm-ups are marked first.
    outages.forEach(this::markWarmUp);
    outages.forEach(this::markOutage);
  }

  private void markInitialState(int cache) {
    Cache cacheAtStart = input.caches().get(cache);
    if (cacheAtStart.ready()) {
      setRange(cache, 0, input.firstBinFrom(cacheAtStart.warmAt()), Availability.COLD);
    } else {
      setRange(cache, 0, input.binCount(), Availability.OUT);
    }
  }

  private void markWarmUp(ScheduledOutage outage) {
    Integer cache = topology.indexOf(outage.cache());
    if (cache != null) {
      int to = input.firstBinFrom(outage.end().plus(input.rules().warmUp()));
      setRange(cache, input.firstBinFrom(outage.end()), to, Availability.COLD);
    }
  }

  private void markOutage(ScheduledOutage outage) {
    Integer cache = topology.indexOf(outage.cache());
    if (cache != null) {
      int to = input.firstBinFrom(outage.end());
      setRange(cache, input.binAt(outage.start()), to, Availability.OUT);
    }
  }

  private void setRange(int cache, int from, int to, Availability value) {
    for (int bin = Math.max(0, from); bin < Math.min(to, availability.length); bin++) {
      set(cache, bin, value);
    }
  }

  PlanningInput input() {
    return input;
  }

  CacheTopology topology() {
    return topology;
  }

  Availability get(int cache, int bin) {
    return availability[bin][cache];
  }

  void set(int cache, int bin, Availability value) {
    Availability before = availability[bin][cache];
    availability[bin][cache] = value;
    projection.onChange(cache, bin, before, value);
  }

  /** Returns the highest load of a cache in a bin over all tolerated failures. */
  double maxLoad(int cache, int bin) {
    return projection.maxLoad(cache, bin);
  }

  /**
   * Returns a measure of how difficult a cache is to place: the sum of the shares of its key
   * ranges, each divided by the rank of the cache in it, for each unit of capacity.
   */
  double weight(int cache) {
    double weight = 0;
    for (int index : topology.rangesOf(cache)) {
      KeyRange range = input.ranges().get(index);
      List<Integer> ranking = topology.isEdge(cache) ? range.edges() : range.fills();
      weight += range.share() / (1 + ranking.indexOf(cache));
    }
    return weight / Math.max(ROUNDING_TOLERANCE, topology.capacityOf(cache));
  }

  /**
   * Returns the first shortage in a bin that the unavailability of a cache in that bin can have
   * caused.
   */
  Optional<Shortage> shortageCausedBy(int cache, int bin) {
    currentCheck++;
    boolean coldEdge = topology.isEdge(cache) && availability[bin][cache] == Availability.COLD;
    for (int range : topology.rangesOf(cache)) {
      Optional<Shortage> shortage = coverageShortage(range, bin);
      if (shortage.isEmpty()) {
        shortage = capacityShortage(cache, topology.rankingOf(range, cache), range, bin);
      }
      if (shortage.isEmpty() && coldEdge) {
        shortage = capacityShortage(NO_CACHE, topology.fillsOf(range), range, bin);
      }
      if (shortage.isPresent()) {
        return shortage;
      }
    }
    return Optional.empty();
  }

  /** Returns the first shortage in a bin, regardless of its cause. */
  Optional<Shortage> anyShortage(int bin) {
    currentCheck++;
    for (int range = 0; range < topology.rangeCount(); range++) {
      Optional<Shortage> shortage = coverageShortage(range, bin);
      if (shortage.isEmpty()) {
        shortage = capacityShortage(NO_CACHE, topology.edgesOf(range), range, bin);
      }
      if (shortage.isEmpty()) {
        shortage = capacityShortage(NO_CACHE, topology.fillsOf(range), range, bin);
      }
      if (shortage.isPresent()) {
        return shortage;
      }
    }
    return Optional.empty();
  }

  /**
   * Compares load and capacity of the caches that rank behind a cache, or of all caches of the
   * ranking for {@link #NO_CACHE}.
   */
  private Optional<Shortage> capacityShortage(int cache, int[] ranked, int range, int bin) {
    boolean behind = cache == NO_CACHE;
    for (int other : ranked) {
      if (behind && isUnchecked(other, bin)) {
        lastCheckOfCache[other] = currentCheck;
        double load = projection.maxLoad(other, bin);
        double capacity = topology.capacityOf(other);
        if (load > capacity * (1 + ROUNDING_TOLERANCE)) {
          return Optional.of(
              new Shortage(
                  Shortage.Kind.CAPACITY,
                  range,
                  topology.nameOf(other),
                  load,
                  capacity,
                  input.timeOf(bin)));
        }
      }
      behind |= other == cache;
    }
    return Optional.empty();
  }

  private boolean isUnchecked(int cache, int bin) {
    return availability[bin][cache] == Availability.IN_SERVICE
        && lastCheckOfCache[cache] != currentCheck;
  }

  /**
   * Returns the shortage of a key range without coverage. A range is covered if, after every
   * tolerated failure, it still has an edge in service that has a fill source.
   */
  private Optional<Shortage> coverageShortage(int range, int bin) {
    Optional<Shortage> shortage = coverageShortage(range, bin, null, CacheTopology.NO_GROUP);
    for (int[] groups : topology.failureGroups()) {
      if (shortage.isEmpty()) {
        shortage = coverageShortage(range, bin, groups, topology.edgesOf(range));
      }
      if (shortage.isEmpty()) {
        shortage = coverageShortage(range, bin, groups, topology.fillsOf(range));
      }
    }
    return shortage;
  }

  /**
   * Returns the first shortage of a key range after the failure of the group of any one of the
   * given caches.
   */
  private Optional<Shortage> coverageShortage(int range, int bin, int[] groups, int[] failing) {
    for (int cache : failing) {
      if (groups[cache] >= 0) {
        Optional<Shortage> shortage = coverageShortage(range, bin, groups, groups[cache]);
        if (shortage.isPresent()) {
          return shortage;
        }
      }
    }
    return Optional.empty();
  }

  /**
   * Returns the shortage of a key range after the failure of one group. {@code groups} is null if
   * nothing has failed.
   */
  private Optional<Shortage> coverageShortage(int range, int bin, int[] groups, int failedGroup) {
    int edges = countRemaining(topology.edgesOf(range), bin, groups, failedGroup);
    if (edges == 0) {
      return Optional.of(coverageShortage(Shortage.Kind.NO_EDGE, range, bin));
    }
    boolean siblingFills = input.rules().siblingFill() && edges > 1;
    if (!siblingFills && countRemaining(topology.fillsOf(range), bin, groups, failedGroup) == 0) {
      return Optional.of(coverageShortage(Shortage.Kind.NO_FILL_SOURCE, range, bin));
    }
    return Optional.empty();
  }

  private Shortage coverageShortage(Shortage.Kind kind, int range, int bin) {
    String firstEdge = topology.nameOf(topology.edgesOf(range)[0]);
    return new Shortage(kind, range, firstEdge, 1, 0, input.timeOf(bin));
  }

  private int countRemaining(int[] ranked, int bin, int[] groups, int failedGroup) {
    int remaining = 0;
    for (int cache : ranked) {
      boolean failed = groups != null && groups[cache] == failedGroup;
      if (availability[bin][cache] == Availability.IN_SERVICE && !failed) {
        remaining++;
      }
    }
    return remaining;
  }
}
