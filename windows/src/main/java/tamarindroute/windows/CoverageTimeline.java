package tamarindroute.windows;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import tamarindroute.windows.Plan.Shortage;
import tamarindroute.windows.Plan.ShortageKind;

/**
 * Which caches are in, out and cold in each bin of time, and what lacks when one more goes. Only
 * what its going can make worse is looked at: its own ranges, and the caches that stand behind it
 * there.
 */
final class CoverageTimeline {
  static final byte IN = 0;
  static final byte OUT = 1;
  static final byte COLD = 2;

  /** Sums of shares in any order differ by less. */
  private static final double ROUNDING = 1e-9;

  private static final int NO_PREDECESSOR = -1;
  private static final int INDEPENDENT = -2;

  final PlanningInput input;
  final Map<String, Integer> indexByName = new HashMap<>();
  private final byte[][] states;
  private final int[][] edges;
  private final int[][] fills;
  private final int[][] rangesOf;
  private final double[] capacity;
  private final boolean[] edge;

  /** For each kind of failure, what each cache fails with, or -1. */
  private final int[][] groups;

  private final double[][] load;
  private final double[] share;
  private final double[] reassigned;
  private final int[] reassignedAt;
  private final int[] checkedAt;
  private int checks;
  private int evaluations;

  /** How many cold edges each range has in each bin. */
  private final byte[][] coldEdges;

  /**
   * For each bin and cache: what parents bear without cold edges at the most (NaN: to be told), and
   * what those add.
   */
  private final double[][] warmLoad;

  private final double[][] coldLoad;

  CoverageTimeline(PlanningInput input, List<PlanningInput.ScheduledOutage> held) {
    this.input = input;
    int caches = input.caches().size();
    states = new byte[input.binCount()][caches];
    edges = input.ranges().stream().map(r -> ints(r.edges())).toArray(int[][]::new);
    fills = input.ranges().stream().map(r -> ints(r.fills())).toArray(int[][]::new);
    load =
        input.ranges().stream().map(r -> input.load().get(r.location())).toArray(double[][]::new);
    share = input.ranges().stream().mapToDouble(KeyRange::share).toArray();
    capacity = input.caches().stream().mapToDouble(Cache::capacity).toArray();
    edge = new boolean[caches];
    for (int c = 0; c < caches; c++) {
      indexByName.put(input.caches().get(c).name(), c);
      edge[c] = input.caches().get(c).tier() == Cache.Tier.EDGE;
    }
    rangesOf = rangesOf(caches);
    groups = groups();
    reassigned = new double[caches];
    reassignedAt = new int[caches];
    checkedAt = new int[caches];
    coldEdges = new byte[input.binCount()][edges.length];
    warmLoad = new double[input.binCount()][];
    coldLoad = new double[input.binCount()][];
    for (int c = 0; c < caches; c++) {
      Cache cache = input.caches().get(c);
      fill(
          c,
          0,
          cache.ready() ? input.firstBinFrom(cache.warmAt()) : input.binCount(),
          cache.ready() ? COLD : OUT);
    }
    Duration warmUp = input.rules().warmUp();
    held.forEach(
        one ->
            markOutage(
                one.cache(),
                input.firstBinFrom(one.end()),
                input.firstBinFrom(one.end().plus(warmUp)),
                COLD));
    held.forEach(
        one ->
            markOutage(one.cache(), input.binAt(one.start()), input.firstBinFrom(one.end()), OUT));
  }

  private void markOutage(String cache, int from, int to, byte how) {
    Integer c = indexByName.get(cache);
    if (c != null) {
      fill(c, from, to, how);
    }
  }

  /**
   * How much hangs on a cache: the shares of its ranges, the more the nearer it stands to their
   * front.
   */
  double weight(int c) {
    double weight = 0;
    for (int r : rangesOf[c]) {
      int place =
          (edge[c] ? input.ranges().get(r).edges() : input.ranges().get(r).fills()).indexOf(c);
      weight += share[r] / (1 + place);
    }
    return weight / Math.max(ROUNDING, capacity[c]);
  }

  private static int[] ints(List<Integer> list) {
    return list.stream().mapToInt(Integer::intValue).toArray();
  }

  private int[][] rangesOf(int caches) {
    List<List<Integer>> of = new ArrayList<>();
    for (int c = 0; c < caches; c++) {
      of.add(new ArrayList<>());
    }
    for (int r = 0; r < edges.length; r++) {
      for (int c : edges[r]) {
        of.get(c).add(r);
      }
      for (int c : fills[r]) {
        of.get(c).add(r);
      }
    }
    return of.stream().map(CoverageTimeline::ints).toArray(int[][]::new);
  }

  private int[][] groups() {
    List<int[]> kinds = new ArrayList<>();
    for (PlanningInput.Failure kind : PlanningInput.Failure.values()) {
      // Any one parent is among any one cache.
      boolean within =
          kind == PlanningInput.Failure.PARENT
              && input.rules().toleratedFailures().contains(PlanningInput.Failure.CACHE);
      if (input.rules().toleratedFailures().contains(kind) && !within) {
        int[] group = new int[capacity.length];
        Map<String, Integer> hubs = new HashMap<>();
        for (int c = 0; c < group.length; c++) {
          group[c] = group(kind, c, hubs);
        }
        kinds.add(group);
      }
    }
    if (kinds.isEmpty()) {
      int[] none = new int[capacity.length];
      Arrays.fill(none, -1);
      kinds.add(none);
    }
    return kinds.toArray(int[][]::new);
  }

  private int group(PlanningInput.Failure kind, int c, Map<String, Integer> hubs) {
    Cache cache = input.caches().get(c);
    if (cache.tier() == Cache.Tier.ORIGIN) {
      return -1;
    }
    return switch (kind) {
      case CACHE -> c;
      case PARENT -> cache.tier() == Cache.Tier.PARENT ? c : -1;
      case HUB -> cache.hub().isEmpty() ? -1 : hubs.computeIfAbsent(cache.hub(), h -> hubs.size());
    };
  }

  private void fill(int c, int from, int to, byte how) {
    for (int b = Math.max(0, from); b < Math.min(to, states.length); b++) {
      set(c, b, how);
    }
  }

  byte get(int c, int bin) {
    return states[bin][c];
  }

  void set(int c, int bin, byte how) {
    byte was = states[bin][c];
    states[bin][c] = how;
    if (!edge[c]) {
      warmLoad[bin] = was == how ? warmLoad[bin] : null;
    } else if ((was == COLD) != (how == COLD)) {
      for (int r : rangesOf[c]) {
        coldEdges[bin][r] += how == COLD ? 1 : -1;
        if (warmLoad[bin] != null && coldEdges[bin][r] == (how == COLD ? 1 : 0)) {
          addColdLoad(r, bin, how == COLD ? 1 : -1);
        }
      }
    }
  }

  /**
   * What a range's cold edges add to all parents that one failure may send its fills to, not only
   * to the worst hit.
   */
  private void addColdLoad(int r, int bin, int sign) {
    double more =
        sign
            * share[r]
            * load[r][bin]
            * Math.min(1 - input.rules().missRatio(), input.rules().coldShare());
    for (int p : fills[r]) {
      for (int[] group : groups) {
        int before = predecessors(p, fills[r], bin, group);
        if (before == NO_PREDECESSOR || before >= 0 && before != group[p]) {
          coldLoad[bin][p] += more;
          break;
        }
      }
    }
  }

  private double maxFillLoad(int p, int bin) {
    if (warmLoad[bin] == null) {
      warmLoad[bin] = new double[capacity.length];
      Arrays.fill(warmLoad[bin], Double.NaN);
      coldLoad[bin] = new double[capacity.length];
      for (int r = 0; r < edges.length; r++) {
        if (coldEdges[bin][r] > 0) {
          addColdLoad(r, bin, 1);
        }
      }
    }
    if (Double.isNaN(warmLoad[bin][p])) {
      warmLoad[bin][p] = maxLoadOverFailures(p, bin);
    }
    return warmLoad[bin][p] + coldLoad[bin][p];
  }

  /** What lacks in a bin now that a cache is out, or cold, there; null if nothing does. */
  Shortage shortage(int c, int bin) {
    checks++;
    for (int r : rangesOf[c]) {
      Shortage shortage = coverShortage(r, bin);
      shortage =
          shortage == null ? capacityShortage(c, edge[c] ? edges[r] : fills[r], r, bin) : shortage;
      if (shortage == null && edge[c] && states[bin][c] == COLD) {
        shortage = capacityShortage(-1, fills[r], r, bin);
      }
      if (shortage != null) {
        return shortage;
      }
    }
    return null;
  }

  /** What lacks anywhere in a bin. */
  Shortage shortage(int bin) {
    checks++;
    for (int r = 0; r < edges.length; r++) {
      Shortage shortage = coverShortage(r, bin);
      shortage = shortage == null ? capacityShortage(-1, edges[r], r, bin) : shortage;
      shortage = shortage == null ? capacityShortage(-1, fills[r], r, bin) : shortage;
      if (shortage != null) {
        return shortage;
      }
    }
    return null;
  }

  private Shortage capacityShortage(int c, int[] ranked, int range, int bin) {
    boolean behind = c < 0;
    for (int j : ranked) {
      if (behind && states[bin][j] == IN && checkedAt[j] != checks) {
        checkedAt[j] = checks;
        double need = maxLoad(j, bin);
        if (need > capacity[j] * (1 + ROUNDING)) {
          return new Shortage(
              ShortageKind.CAPACITY,
              range,
              input.caches().get(j).name(),
              need,
              capacity[j],
              at(bin));
        }
      }
      behind |= j == c;
    }
    return null;
  }

  private Duration at(int bin) {
    return input.timeOf(bin);
  }

  /**
   * A range is covered if an edge is left that has a fill source, whatever one group of caches
   * fails.
   */
  private Shortage coverShortage(int r, int bin) {
    Shortage shortage = coverShortage(r, bin, null, -1);
    for (int[] group : groups) {
      for (int c : edges[r]) {
        shortage =
            shortage == null && group[c] >= 0 ? coverShortage(r, bin, group, group[c]) : shortage;
      }
      for (int c : fills[r]) {
        shortage =
            shortage == null && group[c] >= 0 ? coverShortage(r, bin, group, group[c]) : shortage;
      }
    }
    return shortage;
  }

  private Shortage coverShortage(int r, int bin, int[] group, int failed) {
    int serving = remaining(edges[r], bin, group, failed);
    if (serving == 0) {
      return new Shortage(
          ShortageKind.NO_EDGE, r, input.caches().get(edges[r][0]).name(), 1, 0, at(bin));
    }
    if (remaining(fills[r], bin, group, failed) == 0
        && !(input.rules().siblingFill() && serving > 1)) {
      return new Shortage(
          ShortageKind.NO_FILL_SOURCE, r, input.caches().get(edges[r][0]).name(), 1, 0, at(bin));
    }
    return null;
  }

  private int remaining(int[] ranked, int bin, int[] group, int failed) {
    int left = 0;
    for (int c : ranked) {
      left += states[bin][c] == IN && (group == null || group[c] != failed) ? 1 : 0;
    }
    return left;
  }

  /**
   * The most that a cache must bear in a bin when any one group fails: each range goes to the first
   * that is left.
   */
  double maxLoad(int j, int bin) {
    return edge[j] ? maxLoadOverFailures(j, bin) : maxFillLoad(j, bin);
  }

  private double maxLoadOverFailures(int j, int bin) {
    double most = 0;
    for (int[] group : groups) {
      most = Math.max(most, maxLoad(j, bin, group));
    }
    return most;
  }

  private double maxLoad(int j, int bin, int[] group) {
    double own = 0;
    double further = 0;
    int stamp = ++evaluations;
    for (int r : rangesOf[j]) {
      int before = predecessors(j, edge[j] ? edges[r] : fills[r], bin, group);
      if (before == NO_PREDECESSOR) {
        own += weight(r, j, bin);
      } else if (before >= 0 && before != group[j]) {
        reassigned[before] =
            (reassignedAt[before] == stamp ? reassigned[before] : 0) + weight(r, j, bin);
        reassignedAt[before] = stamp;
        further = Math.max(further, reassigned[before]);
      }
    }
    return own + further;
  }

  /**
   * The one group that all before a cache in a range belong to, nobody, or several: then no one
   * failure reaches it.
   */
  private int predecessors(int j, int[] ranked, int bin, int[] group) {
    int before = NO_PREDECESSOR;
    for (int c : ranked) {
      if (c == j) {
        return before;
      }
      if (states[bin][c] == IN) {
        if (group[c] < 0 || before != NO_PREDECESSOR && before != group[c]) {
          return INDEPENDENT;
        }
        before = group[c];
      }
    }
    return INDEPENDENT;
  }

  private double weight(int r, int j, int bin) {
    return share[r] * load[r][bin] * (edge[j] ? 1 : input.rules().missRatio());
  }
}
