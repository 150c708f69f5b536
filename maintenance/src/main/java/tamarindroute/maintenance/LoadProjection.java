package tamarindroute.maintenance;

import java.util.Arrays;

/**
 * Computes the highest load of each cache in each bin over all single tolerated failures. The
 * requests of a key range go to its first edge that is in service and has not failed, and its fills
 * to the first such fill source.
 *
 * <p>The load of a parent is kept for each bin as two sums: the load without cold edges, and the
 * load that cold edges add.
 */
final class LoadProjection {
  /** Result for a cache with no cache in service before it in a ranking. */
  private static final int NO_PREDECESSOR = -1;

  /** Result for a cache that no single failure can make the first of a ranking. */
  private static final int SEVERAL_GROUPS = -2;

  private final CacheTopology topology;
  private final CoverageRules rules;

  /** Indexed by bin, then by cache. Only {@link CoverageTimeline} writes to it. */
  private final Availability[][] availability;

  /** Load of the location of each key range, indexed by range, then by bin. */
  private final double[][] loadOfRange;

  private final double[] shareOfRange;

  /**
   * For each failure group, the load that its failure moves to the evaluated cache. Valid only
   * where {@link #reassignedStamp} equals {@link #evaluation}, so that the array needs no clearing.
   */
  private final double[] reassigned;

  private final int[] reassignedStamp;
  private int evaluation;

  /** Number of cold edges, indexed by bin, then by key range. */
  private final byte[][] coldEdges;

  /**
   * Highest load of parents without cold edges, indexed by bin, then by cache. A bin is null, and a
   * cache NaN, if its value has to be computed.
   */
  private final double[][] warmLoad;

  /** Load of parents that cold edges add, indexed by bin, then by cache. */
  private final double[][] coldLoad;

  LoadProjection(PlanningInput input, CacheTopology topology, Availability[][] availability) {
    this.topology = topology;
    this.availability = availability;
    rules = input.rules();
    loadOfRange =
        input.ranges().stream()
            .map(range -> input.load().get(range.location()))
            .toArray(double[][]::new);
    shareOfRange = input.ranges().stream().mapToDouble(KeyRange::share).toArray();
    reassigned = new double[topology.cacheCount()];
    reassignedStamp = new int[topology.cacheCount()];
    coldEdges = new byte[availability.length][topology.rangeCount()];
    warmLoad = new double[availability.length][];
    coldLoad = new double[availability.length][];
  }

  /** Updates the cached sums after a change of the availability of a cache. */
  void onChange(int cache, int bin, Availability before, Availability now) {
    if (!topology.isEdge(cache)) {
      if (before != now) {
        warmLoad[bin] = null;
      }
    } else if (before != Availability.COLD && now == Availability.COLD) {
      onEdgeTurnsCold(cache, bin);
    } else if (before == Availability.COLD && now != Availability.COLD) {
      onEdgeNoLongerCold(cache, bin);
    }
  }

  private void onEdgeTurnsCold(int cache, int bin) {
    for (int range : topology.rangesOf(cache)) {
      coldEdges[bin][range]++;
      if (warmLoad[bin] != null && coldEdges[bin][range] == 1) {
        addColdLoad(range, bin, 1);
      }
    }
  }

  private void onEdgeNoLongerCold(int cache, int bin) {
    for (int range : topology.rangesOf(cache)) {
      coldEdges[bin][range]--;
      if (warmLoad[bin] != null && coldEdges[bin][range] == 0) {
        addColdLoad(range, bin, -1);
      }
    }
  }

  /**
   * Adds the fills of the cold edges of a key range to the load of every parent that may receive
   * them after one failure, or subtracts them for sign -1. The result is an upper bound, since one
   * failure sends the fills to one parent only.
   */
  private void addColdLoad(int range, int bin, int sign) {
    double addedLoad =
        sign
            * shareOfRange[range]
            * loadOfRange[range][bin]
            * Math.min(1 - rules.missRatio(), rules.coldShare());
    int[] sources = topology.fillsOf(range);
    for (int source : sources) {
      for (int[] groups : topology.failureGroups()) {
        int predecessorGroup = predecessorGroup(source, sources, bin, groups);
        if (predecessorGroup == NO_PREDECESSOR || movesLoad(predecessorGroup, groups[source])) {
          coldLoad[bin][source] += addedLoad;
          break;
        }
      }
    }
  }

  /** Returns the highest load of a cache in a bin over all tolerated failures. */
  double maxLoad(int cache, int bin) {
    return topology.isEdge(cache) ? maxLoadOverFailures(cache, bin) : maxFillLoad(cache, bin);
  }

  private double maxFillLoad(int parent, int bin) {
    if (warmLoad[bin] == null) {
      resetBin(bin);
    }
    if (Double.isNaN(warmLoad[bin][parent])) {
      warmLoad[bin][parent] = maxLoadOverFailures(parent, bin);
    }
    return warmLoad[bin][parent] + coldLoad[bin][parent];
  }

  private void resetBin(int bin) {
    warmLoad[bin] = new double[topology.cacheCount()];
    Arrays.fill(warmLoad[bin], Double.NaN);
    coldLoad[bin] = new double[topology.cacheCount()];
    for (int range = 0; range < topology.rangeCount(); range++) {
      if (coldEdges[bin][range] > 0) {
        addColdLoad(range, bin, 1);
      }
    }
  }

  private double maxLoadOverFailures(int cache, int bin) {
    double max = 0;
    for (int[] groups : topology.failureGroups()) {
      max = Math.max(max, maxLoad(cache, bin, groups));
    }
    return max;
  }

  /**
   * Returns the load of a cache without failures plus the highest load that the failure of any one
   * other group moves to it.
   */
  private double maxLoad(int cache, int bin, int[] groups) {
    double currentLoad = 0;
    double maxReassigned = 0;
    evaluation++;
    for (int range : topology.rangesOf(cache)) {
      int predecessorGroup = predecessorGroup(cache, topology.rankingOf(range, cache), bin, groups);
      if (predecessorGroup == NO_PREDECESSOR) {
        currentLoad += loadOf(range, cache, bin);
      } else if (movesLoad(predecessorGroup, groups[cache])) {
        maxReassigned =
            Math.max(maxReassigned, reassign(predecessorGroup, loadOf(range, cache, bin)));
      }
    }
    return currentLoad + maxReassigned;
  }

  /** Adds load that the failure of a group moves to the evaluated cache, and returns the sum. */
  private double reassign(int group, double load) {
    double before = reassignedStamp[group] == evaluation ? reassigned[group] : 0;
    reassigned[group] = before + load;
    reassignedStamp[group] = evaluation;
    return reassigned[group];
  }

  /**
   * Whether the failure of the group of all predecessors moves load to a cache of another group.
   */
  private static boolean movesLoad(int predecessorGroup, int groupOfCache) {
    return predecessorGroup >= 0 && predecessorGroup != groupOfCache;
  }

  /**
   * Returns the failure group that contains all caches in service that rank before a cache, {@link
   * #NO_PREDECESSOR} if there are none, or {@link #SEVERAL_GROUPS} if they belong to several groups
   * or can't fail. In the last case no single failure moves load to the cache.
   */
  private int predecessorGroup(int cache, int[] ranked, int bin, int[] groups) {
    int group = NO_PREDECESSOR;
    for (int other : ranked) {
      if (other == cache) {
        return group;
      }
      if (availability[bin][other] == Availability.IN_SERVICE) {
        boolean differs = group != NO_PREDECESSOR && group != groups[other];
        if (groups[other] < 0 || differs) {
          return SEVERAL_GROUPS;
        }
        group = groups[other];
      }
    }
    return SEVERAL_GROUPS;
  }

  private double loadOf(int range, int cache, int bin) {
    double requests = shareOfRange[range] * loadOfRange[range][bin];
    return requests * (topology.isEdge(cache) ? 1 : rules.missRatio());
  }
}
