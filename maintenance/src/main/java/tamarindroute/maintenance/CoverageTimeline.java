package tamarindroute.maintenance;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * The availability of each cache in each bin of time, and the shortages that follow from it. A
 * change is checked only where it can make something worse: in the key ranges of the changed cache,
 * at the caches that rank behind it.
 */
final class CoverageTimeline {
  /** Tolerance for sums of shares, whose order of addition varies. */
  private static final double ROUNDING = 1e-9;

  private static final int NO_CACHE = -1;

  private final PlanningInput input;
  private final CacheTopology topology;

  /** By bin, then cache. */
  private final Availability[][] availability;

  private final LoadProjection loads;

  /** The check in which each cache's capacity was last compared, so that one check does it once. */
  private final int[] checkedAt;

  private int check;

  CoverageTimeline(PlanningInput input, List<ScheduledOutage> outages) {
    this.input = input;
    topology = new CacheTopology(input);
    availability = new Availability[input.binCount()][topology.cacheCount()];
    for (Availability[] bin : availability) {
      Arrays.fill(bin, Availability.IN_SERVICE);
    }
    loads = new LoadProjection(input, topology, availability);
    checkedAt = new int[topology.cacheCount()];
    for (int cache = 0; cache < topology.cacheCount(); cache++) {
      markInitialState(cache);
    }
    // An outage that overlaps another's warm-up prevails, so warm-ups are marked first.
    outages.forEach(this::markWarmUp);
    outages.forEach(this::markOutage);
  }

  private void markInitialState(int cache) {
    Cache description = input.caches().get(cache);
    if (description.ready()) {
      fill(cache, 0, input.firstBinFrom(description.warmAt()), Availability.COLD);
    } else {
      fill(cache, 0, input.binCount(), Availability.OUT);
    }
  }

  private void markWarmUp(ScheduledOutage outage) {
    Integer cache = topology.indexOf(outage.cache());
    if (cache != null) {
      int to = input.firstBinFrom(outage.end().plus(input.rules().warmUp()));
      fill(cache, input.firstBinFrom(outage.end()), to, Availability.COLD);
    }
  }

  private void markOutage(ScheduledOutage outage) {
    Integer cache = topology.indexOf(outage.cache());
    if (cache != null) {
      int to = input.firstBinFrom(outage.end());
      fill(cache, input.binAt(outage.start()), to, Availability.OUT);
    }
  }

  private void fill(int cache, int from, int to, Availability value) {
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
    loads.onChange(cache, bin, before, value);
  }

  /** The highest load of a cache in a bin over all tolerated failures. */
  double maxLoad(int cache, int bin) {
    return loads.maxLoad(cache, bin);
  }

  /**
   * How constrained a cache is: the shares of its key ranges, weighted by its rank in them, for
   * each unit of capacity.
   */
  double weight(int cache) {
    double weight = 0;
    for (int index : topology.rangesOf(cache)) {
      KeyRange range = input.ranges().get(index);
      List<Integer> ranking = topology.isEdge(cache) ? range.edges() : range.fills();
      weight += range.share() / (1 + ranking.indexOf(cache));
    }
    return weight / Math.max(ROUNDING, topology.capacityOf(cache));
  }

  /** The first shortage in a bin that a cache's being out or cold there can have caused. */
  Optional<Shortage> shortageCausedBy(int cache, int bin) {
    check++;
    boolean coldEdge = topology.isEdge(cache) && availability[bin][cache] == Availability.COLD;
    for (int range : topology.rangesOf(cache)) {
      Optional<Shortage> shortage = coverShortage(range, bin);
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

  /** The first shortage in a bin, whatever its cause. */
  Optional<Shortage> anyShortage(int bin) {
    check++;
    for (int range = 0; range < topology.rangeCount(); range++) {
      Optional<Shortage> shortage = coverShortage(range, bin);
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

  /** Compares the caches that rank behind a cache, or all for {@link #NO_CACHE}. */
  private Optional<Shortage> capacityShortage(int cache, int[] ranked, int range, int bin) {
    boolean behind = cache == NO_CACHE;
    for (int other : ranked) {
      if (behind && isUnchecked(other, bin)) {
        checkedAt[other] = check;
        double load = loads.maxLoad(other, bin);
        double capacity = topology.capacityOf(other);
        if (load > capacity * (1 + ROUNDING)) {
          return Optional.of(
              new Shortage(
                  Shortage.Kind.CAPACITY, range, topology.nameOf(other), load, capacity, at(bin)));
        }
      }
      behind |= other == cache;
    }
    return Optional.empty();
  }

  private boolean isUnchecked(int cache, int bin) {
    return availability[bin][cache] == Availability.IN_SERVICE && checkedAt[cache] != check;
  }

  private Duration at(int bin) {
    return input.timeOf(bin);
  }

  /** A range is covered if any tolerated failure leaves it an edge that has a fill source. */
  private Optional<Shortage> coverShortage(int range, int bin) {
    Optional<Shortage> shortage = coverShortage(range, bin, null, CacheTopology.NO_GROUP);
    for (int[] groups : topology.failureGroups()) {
      if (shortage.isEmpty()) {
        shortage = coverShortage(range, bin, groups, topology.edgesOf(range));
      }
      if (shortage.isEmpty()) {
        shortage = coverShortage(range, bin, groups, topology.fillsOf(range));
      }
    }
    return shortage;
  }

  /** The shortage of a range when the group of any of the given caches fails. */
  private Optional<Shortage> coverShortage(int range, int bin, int[] groups, int[] failing) {
    for (int cache : failing) {
      if (groups[cache] >= 0) {
        Optional<Shortage> shortage = coverShortage(range, bin, groups, groups[cache]);
        if (shortage.isPresent()) {
          return shortage;
        }
      }
    }
    return Optional.empty();
  }

  /** The shortage of a range when one group has failed; {@code groups} is null for no failure. */
  private Optional<Shortage> coverShortage(int range, int bin, int[] groups, int failedGroup) {
    int edges = remaining(topology.edgesOf(range), bin, groups, failedGroup);
    if (edges == 0) {
      return Optional.of(coverShortage(Shortage.Kind.NO_EDGE, range, bin));
    }
    boolean siblingFills = input.rules().siblingFill() && edges > 1;
    if (!siblingFills && remaining(topology.fillsOf(range), bin, groups, failedGroup) == 0) {
      return Optional.of(coverShortage(Shortage.Kind.NO_FILL_SOURCE, range, bin));
    }
    return Optional.empty();
  }

  private Shortage coverShortage(Shortage.Kind kind, int range, int bin) {
    String firstEdge = topology.nameOf(topology.edgesOf(range)[0]);
    return new Shortage(kind, range, firstEdge, 1, 0, at(bin));
  }

  private int remaining(int[] ranked, int bin, int[] groups, int failedGroup) {
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
