package tamarindroute.maintenance;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import tamarindroute.maintenance.CoverageRules.Failure;

/**
 * The caches and key ranges of a planning input as arrays of indexes, for the planner's inner
 * loops. Immutable; callers must not write to the arrays.
 */
final class CacheTopology {
  /** Group of a cache that a kind of failure does not concern. */
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
    edgesOfRange = input.ranges().stream().map(r -> toArray(r.edges())).toArray(int[][]::new);
    fillsOfRange = input.ranges().stream().map(r -> toArray(r.fills())).toArray(int[][]::new);
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
    if (groups.isEmpty()) {
      int[] none = new int[cacheCount()];
      Arrays.fill(none, NO_GROUP);
      groups.add(none);
    }
    return groups.toArray(int[][]::new);
  }

  /** The failure of any one parent is included in that of any one cache. */
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
          cache.hub().isEmpty() ? NO_GROUP : hubs.computeIfAbsent(cache.hub(), h -> hubs.size());
    };
  }

  int cacheCount() {
    return edge.length;
  }

  int rangeCount() {
    return edgesOfRange.length;
  }

  /** The index of a cache, or null for an unknown name. */
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

  /** The edges of a key range, best first. */
  int[] edgesOf(int range) {
    return edgesOfRange[range];
  }

  /** The fill sources of a key range, best first. */
  int[] fillsOf(int range) {
    return fillsOfRange[range];
  }

  /** The list of a key range in which a cache stands: edges or fill sources. */
  int[] rankingOf(int range, int cache) {
    return edge[cache] ? edgesOfRange[range] : fillsOfRange[range];
  }

  /** The key ranges in whose lists a cache stands. */
  int[] rangesOf(int cache) {
    return rangesOfCache[cache];
  }

  /**
   * For each tolerated kind of failure, the group with which each cache fails, or {@link
   * #NO_GROUP}.
   */
  int[][] failureGroups() {
    return failureGroups;
  }
}
