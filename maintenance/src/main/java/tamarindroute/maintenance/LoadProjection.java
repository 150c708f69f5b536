package tamarindroute.maintenance;

import java.util.Arrays;

/**
 * The highest load of each cache in each bin when any one tolerated failure happens. A key range's
 * requests go to its first edge that is left, its fills to the first source that is left.
 *
 * <p>The load of parents is cached by bin as two sums: without cold edges, and what cold edges add.
 */
final class LoadProjection {
  private static final int NO_PREDECESSOR = -1;
  private static final int SEVERAL_GROUPS = -2;

  private final CacheTopology topology;
  private final CoverageRules rules;

  /** Availability by bin and cache; owned and changed by the timeline. */
  private final Availability[][] availability;

  private final double[][] loadOfRange;
  private final double[] shareOfRange;

  /** Load that moves over from each failure group, valid where the stamp is the evaluation's. */
  private final double[] reassigned;

  private final int[] reassignedStamp;
  private int evaluation;

  /** By bin and range. */
  private final byte[][] coldEdges;

  /** By bin and cache; null for a bin to be computed anew, NaN for a cache to be computed. */
  private final double[][] warmLoad;

  private final double[][] coldLoad;

  LoadProjection(PlanningInput input, CacheTopology topology, Availability[][] availability) {
    this.topology = topology;
    this.availability = availability;
    rules = input.rules();
    loadOfRange =
        input.ranges().stream().map(r -> input.load().get(r.location())).toArray(double[][]::new);
    shareOfRange = input.ranges().stream().mapToDouble(KeyRange::share).toArray();
    reassigned = new double[topology.cacheCount()];
    reassignedStamp = new int[topology.cacheCount()];
    coldEdges = new byte[availability.length][topology.rangeCount()];
    warmLoad = new double[availability.length][];
    coldLoad = new double[availability.length][];
  }

  /** Updates the cached sums after the timeline has changed a cache's availability. */
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
   * Adds what a range's cold edges fill to every parent that one failure may send those fills to.
   * This is an upper bound: one failure sends them to one parent only.
   */
  private void addColdLoad(int range, int bin, int sign) {
    double more =
        sign
            * shareOfRange[range]
            * loadOfRange[range][bin]
            * Math.min(1 - rules.missRatio(), rules.coldShare());
    int[] sources = topology.fillsOf(range);
    for (int source : sources) {
      for (int[] groups : topology.failureGroups()) {
        int predecessors = predecessors(source, sources, bin, groups);
        if (predecessors == NO_PREDECESSOR || failsAlone(predecessors, groups[source])) {
          coldLoad[bin][source] += more;
          break;
        }
      }
    }
  }

  /** The highest load of a cache in a bin over all tolerated failures. */
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

  /** The cache's own load and the most that the failure of any one other group moves to it. */
  private double maxLoad(int cache, int bin, int[] groups) {
    double own = 0;
    double further = 0;
    evaluation++;
    for (int range : topology.rangesOf(cache)) {
      int predecessors = predecessors(cache, topology.rankingOf(range, cache), bin, groups);
      if (predecessors == NO_PREDECESSOR) {
        own += loadOf(range, cache, bin);
      } else if (failsAlone(predecessors, groups[cache])) {
        further = Math.max(further, reassign(predecessors, loadOf(range, cache, bin)));
      }
    }
    return own + further;
  }

  private double reassign(int group, double load) {
    double before = reassignedStamp[group] == evaluation ? reassigned[group] : 0;
    reassigned[group] = before + load;
    reassignedStamp[group] = evaluation;
    return reassigned[group];
  }

  private static boolean failsAlone(int predecessors, int ownGroup) {
    return predecessors >= 0 && predecessors != ownGroup;
  }

  /**
   * The one failure group of all caches in service that rank before a cache, {@link
   * #NO_PREDECESSOR}, or {@link #SEVERAL_GROUPS}: then no single failure moves load to the cache.
   */
  private int predecessors(int cache, int[] ranked, int bin, int[] groups) {
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
