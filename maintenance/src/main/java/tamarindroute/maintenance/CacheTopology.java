package tamarindroute.maintenance;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import tamarindroute.maintenance.CoverageRules.Failure;

/**
 * The caches and key ranges of a planning input as arrays of indexes, for the inner loops of the
 * planner. Immutable: callers must not write to the returned arrays.
 */
final class CacheTopology {
  /** Failure group of a cache that a kind of failure does not affect. */
  static final int NO_GROUP = -1;

  private final PlanningInput input;
  private final Map<String, Integer> indexByName = new HashMap<>();
  private final boolean[] edge;
  private final double[] capacity;
  private final int[][] edgesOfRange;
  private final int[][] fillsOfRange;
  private final int[][] rangesOfCache;
  private final int[][] failureGroups;

  CacheTopology(PlanningInput input) {
    this.input = input;
    int caches = input.caches().size();
    edge = new boolean[caches];
    for (int cache = 0; cache < caches; cache++) {
      indexByName.put(input.caches().get(cache).name(), cache);
      edge[cache] = input.caches().get(cache).tier() == Cache.Tier.EDGE;
    }
    capacity = input.caches().stream().mapToDouble(Cache::capacity).toArray();
    edgesOfRange =
        input.ranges().stream().map(range -> toArray(range.edges())).toArray(int[][]::new);
    fillsOfRange =
        input.ranges().stream().map(range -> toArray(range.fills())).toArray(int[][]::new);
    rangesOfCache = rangesByCache();
    failureGroups = groupsByFailure();
  }

  private static int[] toArray(List<Integer> list) {
    return list.stream().mapToInt(Integer::intValue).toArray();
  }

  private int[][] rangesByCache() {
    List<List<Integer>> ranges = new ArrayList<>();
    for (int cache = 0; cache < cacheCount(); cache++) {
      ranges.add(new ArrayList<>());
    }
    for (int range = 0; range < rangeCount(); range++) {
      for (int cache : edgesOfRange[range]) {
        ranges.get(cache).add(range);
      }
      for (int cache : fillsOfRange[range]) {
        ranges.get(cache).add(range);
      }
    }
    return ranges.stream().map(CacheTopology::toArray).toArray(int[][]::new);
  }

  private int[][] groupsByFailure() {
    List<int[]> groups = new ArrayList<>();
    for (Failure failure : Failure.values()) {
      if (isEvaluated(failure)) {
        groups.add(groupsOf(failure));
      }
    }
    // Without tolerated failures, one array without groups makes the planner evaluate loads once.
    if (groups.isEmpty()) {
      int[] none = new int[cacheCount()];
      Arrays.fill(none, NO_GROUP);
      groups.add(none);
    }
    return groups.toArray(int[][]::new);
  }

  /**
   * Whether a kind of failure is tolerated and not already included in another one: the failure of
   * any one parent is included in the failure of any one cache.
   */
  private boolean isEvaluated(Failure failure) {
    boolean included =
        failure == Failure.PARENT && input.rules().toleratedFailures().contains(Failure.CACHE);
    return input.rules().toleratedFailures().contains(failure) && !included;
  }

  private int[] groupsOf(Failure failure) {
    int[] groups = new int[cacheCount()];
    Map<String, Integer> hubs = new HashMap<>();
    for (int cache = 0; cache < groups.length; cache++) {
      groups[cache] = groupOf(failure, cache, hubs);
    }
    return groups;
  }

  private int groupOf(Failure failure, int index, Map<String, Integer> hubs) {
    Cache cache = input.caches().get(index);
    if (cache.tier() == Cache.Tier.ORIGIN) {
      return NO_GROUP;
    }
    return switch (failure) {
      case CACHE -> index;
      case PARENT -> cache.tier() == Cache.Tier.PARENT ? index : NO_GROUP;
      case HUB ->
          cache.hub().isEmpty() ? NO_GROUP : hubs.computeIfAbsent(cache.hub(), hub -> hubs.size());
    };
  }

  int cacheCount() {
    return edge.length;
  }

  int rangeCount() {
    return edgesOfRange.length;
  }

  /** Returns the index of a cache, or null for an unknown name. */
  Integer indexOf(String name) {
    return indexByName.get(name);
  }

  String nameOf(int cache) {
    return input.caches().get(cache).name();
  }

  boolean isEdge(int cache) {
    return edge[cache];
  }

  double capacityOf(int cache) {
    return capacity[cache];
  }

  /** Returns the edges of a key range, best first. */
  int[] edgesOf(int range) {
    return edgesOfRange[range];
  }

  /** Returns the fill sources of a key range, best first. */
  int[] fillsOf(int range) {
    return fillsOfRange[range];
  }

  /**
   * Returns the ranking of a key range that contains a cache: its edges for an edge, else its fill
   * sources.
   */
  int[] rankingOf(int range, int cache) {
    return edge[cache] ? edgesOfRange[range] : fillsOfRange[range];
  }

  /** Returns the key ranges whose edges or fill sources contain a cache. */
  int[] rangesOf(int cache) {
    return rangesOfCache[cache];
  }

  /**
   * Returns one array for each evaluated kind of failure: for each cache, the number of the group
   * of caches that fail together with it, or {@link #NO_GROUP}.
   */
  int[][] failureGroups() {
    return failureGroups;
  }
}
