package tamarindroute.windows;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import tamarindroute.windows.Plan.Lack;
import tamarindroute.windows.Plan.Lacks;

/**
 * Which caches are in, out and cold in each bin of time, and what lacks when one more goes. Only
 * what its going can make worse is looked at: its own ranges, and the caches that stand behind it
 * there.
 */
final class Board {
  static final byte IN = 0;
  static final byte OUT = 1;
  static final byte COLD = 2;

  /** Sums of shares in any order differ by less. */
  private static final double ROUNDING = 1e-9;

  private static final int NOBODY = -1;
  private static final int SEVERAL = -2;

  final World world;
  final Map<String, Integer> places = new HashMap<>();
  private final byte[][] standing;
  private final int[][] edges;
  private final int[][] fills;
  private final int[][] rangesOf;
  private final double[] capacity;
  private final boolean[] edge;

  /** For each kind of failure, what each cache fails with, or -1. */
  private final int[][] groups;

  private final double[][] load;
  private final double[] share;
  private final double[] moved;
  private final int[] movedAt;
  private final int[] lookedAt;
  private int looks;
  private int stamps;

  /** How many cold edges each range has in each bin. */
  private final byte[][] colds;

  /**
   * For each bin and cache: what parents bear without cold edges at the most (NaN: to be told), and
   * what those add.
   */
  private final double[][] plain;

  private final double[][] added;

  Board(World world, List<World.Held> held) {
    this.world = world;
    int caches = world.caches().size();
    standing = new byte[world.bins()][caches];
    edges = world.ranges().stream().map(r -> ints(r.edges())).toArray(int[][]::new);
    fills = world.ranges().stream().map(r -> ints(r.fills())).toArray(int[][]::new);
    load =
        world.ranges().stream().map(r -> world.load().get(r.location())).toArray(double[][]::new);
    share = world.ranges().stream().mapToDouble(Range::share).toArray();
    capacity = world.caches().stream().mapToDouble(Cache::capacity).toArray();
    edge = new boolean[caches];
    for (int c = 0; c < caches; c++) {
      places.put(world.caches().get(c).name(), c);
      edge[c] = world.caches().get(c).tier() == Cache.Tier.EDGE;
    }
    rangesOf = rangesOf(caches);
    groups = groups();
    moved = new double[caches];
    movedAt = new int[caches];
    lookedAt = new int[caches];
    colds = new byte[world.bins()][edges.length];
    plain = new double[world.bins()][];
    added = new double[world.bins()][];
    for (int c = 0; c < caches; c++) {
      Cache cache = world.caches().get(c);
      fill(
          c,
          0,
          cache.ready() ? world.ceil(cache.warmAt()) : world.bins(),
          cache.ready() ? COLD : OUT);
    }
    Duration warmUp = world.rules().warmUp();
    held.forEach(
        one -> hold(one.cache(), world.ceil(one.end()), world.ceil(one.end().plus(warmUp)), COLD));
    held.forEach(one -> hold(one.cache(), world.floor(one.start()), world.ceil(one.end()), OUT));
  }

  private void hold(String cache, int from, int to, byte how) {
    Integer c = places.get(cache);
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
          (edge[c] ? world.ranges().get(r).edges() : world.ranges().get(r).fills()).indexOf(c);
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
    return of.stream().map(Board::ints).toArray(int[][]::new);
  }

  private int[][] groups() {
    List<int[]> kinds = new ArrayList<>();
    for (World.Failure kind : World.Failure.values()) {
      // Any one parent is among any one cache.
      boolean within =
          kind == World.Failure.PARENT && world.rules().reserve().contains(World.Failure.CACHE);
      if (world.rules().reserve().contains(kind) && !within) {
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

  private int group(World.Failure kind, int c, Map<String, Integer> hubs) {
    Cache cache = world.caches().get(c);
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
    for (int b = Math.max(0, from); b < Math.min(to, standing.length); b++) {
      set(c, b, how);
    }
  }

  byte get(int c, int bin) {
    return standing[bin][c];
  }

  void set(int c, int bin, byte how) {
    byte was = standing[bin][c];
    standing[bin][c] = how;
    if (!edge[c]) {
      plain[bin] = was == how ? plain[bin] : null;
    } else if ((was == COLD) != (how == COLD)) {
      for (int r : rangesOf[c]) {
        colds[bin][r] += how == COLD ? 1 : -1;
        if (plain[bin] != null && colds[bin][r] == (how == COLD ? 1 : 0)) {
          add(r, bin, how == COLD ? 1 : -1);
        }
      }
    }
  }

  /**
   * What a range's cold edges add to all parents that one failure may send its fills to, not only
   * to the worst hit.
   */
  private void add(int r, int bin, int sign) {
    double more =
        sign * share[r] * load[r][bin] * Math.min(1 - world.rules().miss(), world.rules().cold());
    for (int p : fills[r]) {
      for (int[] group : groups) {
        int before = before(p, fills[r], bin, group);
        if (before == NOBODY || before >= 0 && before != group[p]) {
          added[bin][p] += more;
          break;
        }
      }
    }
  }

  private double mostFills(int p, int bin) {
    if (plain[bin] == null) {
      plain[bin] = new double[capacity.length];
      Arrays.fill(plain[bin], Double.NaN);
      added[bin] = new double[capacity.length];
      for (int r = 0; r < edges.length; r++) {
        if (colds[bin][r] > 0) {
          add(r, bin, 1);
        }
      }
    }
    if (Double.isNaN(plain[bin][p])) {
      plain[bin][p] = mostOfGroups(p, bin);
    }
    return plain[bin][p] + added[bin][p];
  }

  /** What lacks in a bin now that a cache is out, or cold, there; null if nothing does. */
  Lack lack(int c, int bin) {
    looks++;
    for (int r : rangesOf[c]) {
      Lack lack = cover(r, bin);
      lack = lack == null ? roomBehind(c, edge[c] ? edges[r] : fills[r], r, bin) : lack;
      if (lack == null && edge[c] && standing[bin][c] == COLD) {
        lack = roomBehind(-1, fills[r], r, bin);
      }
      if (lack != null) {
        return lack;
      }
    }
    return null;
  }

  /** What lacks anywhere in a bin. */
  Lack lack(int bin) {
    looks++;
    for (int r = 0; r < edges.length; r++) {
      Lack lack = cover(r, bin);
      lack = lack == null ? roomBehind(-1, edges[r], r, bin) : lack;
      lack = lack == null ? roomBehind(-1, fills[r], r, bin) : lack;
      if (lack != null) {
        return lack;
      }
    }
    return null;
  }

  private Lack roomBehind(int c, int[] ranked, int range, int bin) {
    boolean behind = c < 0;
    for (int j : ranked) {
      if (behind && standing[bin][j] == IN && lookedAt[j] != looks) {
        lookedAt[j] = looks;
        double need = most(j, bin);
        if (need > capacity[j] * (1 + ROUNDING)) {
          return new Lack(
              Lacks.ROOM, range, world.caches().get(j).name(), need, capacity[j], at(bin));
        }
      }
      behind |= j == c;
    }
    return null;
  }

  private Duration at(int bin) {
    return world.time(bin);
  }

  /**
   * A range is covered if an edge is left that has a fill source, whatever one group of caches
   * fails.
   */
  private Lack cover(int r, int bin) {
    Lack lack = cover(r, bin, null, -1);
    for (int[] group : groups) {
      for (int c : edges[r]) {
        lack = lack == null && group[c] >= 0 ? cover(r, bin, group, group[c]) : lack;
      }
      for (int c : fills[r]) {
        lack = lack == null && group[c] >= 0 ? cover(r, bin, group, group[c]) : lack;
      }
    }
    return lack;
  }

  private Lack cover(int r, int bin, int[] group, int failed) {
    int serving = left(edges[r], bin, group, failed);
    if (serving == 0) {
      return new Lack(Lacks.COVER, r, world.caches().get(edges[r][0]).name(), 1, 0, at(bin));
    }
    if (left(fills[r], bin, group, failed) == 0 && !(world.rules().siblings() && serving > 1)) {
      return new Lack(Lacks.FILL, r, world.caches().get(edges[r][0]).name(), 1, 0, at(bin));
    }
    return null;
  }

  private int left(int[] ranked, int bin, int[] group, int failed) {
    int left = 0;
    for (int c : ranked) {
      left += standing[bin][c] == IN && (group == null || group[c] != failed) ? 1 : 0;
    }
    return left;
  }

  /**
   * The most that a cache must bear in a bin when any one group fails: each range goes to the first
   * that is left.
   */
  double most(int j, int bin) {
    return edge[j] ? mostOfGroups(j, bin) : mostFills(j, bin);
  }

  private double mostOfGroups(int j, int bin) {
    double most = 0;
    for (int[] group : groups) {
      most = Math.max(most, most(j, bin, group));
    }
    return most;
  }

  private double most(int j, int bin, int[] group) {
    double own = 0;
    double further = 0;
    int stamp = ++stamps;
    for (int r : rangesOf[j]) {
      int before = before(j, edge[j] ? edges[r] : fills[r], bin, group);
      if (before == NOBODY) {
        own += weight(r, j, bin);
      } else if (before >= 0 && before != group[j]) {
        moved[before] = (movedAt[before] == stamp ? moved[before] : 0) + weight(r, j, bin);
        movedAt[before] = stamp;
        further = Math.max(further, moved[before]);
      }
    }
    return own + further;
  }

  /**
   * The one group that all before a cache in a range belong to, nobody, or several: then no one
   * failure reaches it.
   */
  private int before(int j, int[] ranked, int bin, int[] group) {
    int before = NOBODY;
    for (int c : ranked) {
      if (c == j) {
        return before;
      }
      if (standing[bin][c] == IN) {
        if (group[c] < 0 || before != NOBODY && before != group[c]) {
          return SEVERAL;
        }
        before = group[c];
      }
    }
    return SEVERAL;
  }

  private double weight(int r, int j, int bin) {
    return share[r] * load[r][bin] * (edge[j] ? 1 : world.rules().miss());
  }
}
