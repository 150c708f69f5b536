package tamarindroute.windows;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.zip.CRC32;
import tamarindroute.windows.Plan.Batch;
import tamarindroute.windows.Plan.Lack;
import tamarindroute.windows.Plan.Lacks;
import tamarindroute.windows.Plan.Refusal;

/**
 * Places wishes one after another. Within a wish each cache takes the earliest time at which it
 * fits beside all that is placed; this is tried in a few orders, and the one that ends first is
 * kept. What fits is never made unfit by a later step, as each step looks at all that it can make
 * worse: so every plan keeps cover, room and reserve.
 */
public final class Planner {
  /**
   * Orders tried for a small wish: about half of all orders of five caches, milliseconds for
   * twenty.
   */
  static final int TRIES = 64;

  /**
   * Caches placed over all orders of all wishes: 1,000 caches are tried in two orders, which stays
   * under a second.
   */
  static final int PLACED = 2_000;

  /**
   * Caches that may be placed as one where each alone would leave another of them without room,
   * from the third order on. Eight made no plan of 300 small worlds better.
   */
  static final int TOGETHER = 3;

  private record Placed(int cache, int start) {}

  private record Try(List<Placed> placed, List<Integer> unplaced, Lack lack) {
    int end() {
      return placed.stream().mapToInt(Placed::start).max().orElse(-1);
    }

    long starts() {
      return placed.stream().mapToLong(Placed::start).sum();
    }
  }

  /**
   * A wish in bins: out for {@code length}, then cold for {@code warm}, starting between two bins.
   */
  private record Job(List<Integer> caches, int need, int length, int warm, int first, int last) {}

  private final Board board;
  private Lack least;

  private int tries;

  private Planner(Board board) {
    this.board = board;
  }

  public static Plan plan(World world, List<World.Held> held, List<Wish> wishes) {
    return new Planner(new Board(world, held)).plan(wishes);
  }

  /**
   * What lacks at a time with some caches out, all that the world tells of them aside; null if
   * nothing does.
   */
  public static Lack lack(World world, List<String> out, Duration at) {
    Board board = new Board(world, List.of());
    int bin = Math.max(0, Math.min(world.floor(at), world.bins() - 1));
    for (String name : out) {
      Integer c = board.places.get(name);
      if (c != null) {
        board.set(c, bin, Board.OUT);
      }
    }
    return board.lack(bin);
  }

  private Plan plan(List<Wish> wishes) {
    List<Wish> sorted = new ArrayList<>(wishes);
    sorted.sort(
        Comparator.comparingInt(Wish::order).thenComparing(Wish::latest).thenComparing(Wish::id));
    List<Batch> batches = new ArrayList<>();
    List<Refusal> refusals = new ArrayList<>();
    int caches = sorted.stream().mapToInt(wish -> caches(wish).size()).sum();
    tries = Math.max(1, Math.min(TRIES, PLACED / Math.max(1, caches)));
    for (Wish wish : sorted) {
      Refusal refusal = place(wish, batches);
      if (refusal != null) {
        refusals.add(refusal);
      }
    }
    batches.sort(Comparator.comparing(Batch::start).thenComparing(Batch::wish));
    return new Plan(batches, refusals);
  }

  private Refusal place(Wish wish, List<Batch> batches) {
    List<Integer> caches = caches(wish);
    if (caches.contains(null)) {
      String name = wish.caches().get(caches.indexOf(null));
      return new Refusal(
          wish.id(), name, new Lack(Lacks.UNKNOWN, -1, name, 1, 0, wish.earliest()), null);
    }
    World world = board.world;
    int length = world.span(wish.length());
    int warm = world.span(wish.length().plus(world.rules().warmUp())) - length;
    int need =
        wish.location() == null
            ? caches.size()
            : (int) Math.ceil(wish.share() * caches.size() - 1e-9);
    int first = Math.max(0, world.ceil(wish.earliest()));
    int latest = world.bins() - length - warm;
    int last = Math.min(latest, world.floor(wish.latest()) - length);
    least = null;
    Try best = best(new Job(caches, need, length, warm, first, last));
    if (best.placed.size() < need) {
      return refusal(wish, best, new Job(caches, need, length, warm, first, latest));
    }
    put(best, length, warm);
    batches.addAll(batches(wish, best, length));
    return null;
  }

  private Refusal refusal(Wish wish, Try best, Job longer) {
    World world = board.world;
    String name = best.unplaced.isEmpty() ? "" : world.caches().get(best.unplaced.get(0)).name();
    Lack lack =
        best.lack != null
            ? best.lack
            : new Lack(
                Lacks.TIME,
                -1,
                name,
                wish.length().toSeconds(),
                Math.max(0, wish.latest().minus(world.time(longer.first)).toSeconds()),
                wish.earliest());
    Try later = best(longer);
    Duration would =
        later.placed.size() < longer.need ? null : world.time(later.end() + longer.length);
    return new Refusal(wish.id(), name, lack, would);
  }

  private List<Integer> caches(Wish wish) {
    if (wish.location() == null) {
      return wish.caches().stream().distinct().map(board.places::get).toList();
    }
    List<Integer> all = new ArrayList<>();
    for (int c = 0; c < board.world.caches().size(); c++) {
      Cache cache = board.world.caches().get(c);
      if (cache.tier() == Cache.Tier.EDGE && cache.location().equals(wish.location())) {
        all.add(c);
      }
    }
    return all;
  }

  private Try best(Job job) {
    Try best = null;
    Try last = null;
    for (int i = 0; i < tries; i++) {
      last = attempt(job, order(job.caches, i, last), i < 2 ? 1 : TOGETHER);
      best = best == null || better(last, best) ? last : best;
      if (best.placed.size() >= job.need && best.end() <= job.first) {
        break;
      }
    }
    return best;
  }

  private static boolean better(Try one, Try other) {
    int placed = Integer.compare(one.placed.size(), other.placed.size());
    int end = Integer.compare(other.end(), one.end());
    return placed != 0 ? placed > 0 : end != 0 ? end > 0 : one.starts() < other.starts();
  }

  /**
   * The most constrained first; then by turns those first that came last in the try before, and by
   * lot.
   */
  private List<Integer> order(List<Integer> caches, int number, Try before) {
    Map<Long, Integer> sorted = new TreeMap<>();
    for (int i = 0; i < caches.size(); i++) {
      int cache = caches.get(i);
      long rank = number == 0 ? -(long) (1e6 * board.weight(cache)) : lot(number, cache);
      if (number % 2 == 1) {
        rank = rank % (1 << 12) - ((long) late(before, cache) << 12);
      }
      // Places make ranks different.
      sorted.put((rank << 12) + i, cache);
    }
    return new ArrayList<>(sorted.values());
  }

  private static int late(Try before, int cache) {
    return before.placed.stream()
        .filter(p -> p.cache == cache)
        .mapToInt(Placed::start)
        .findFirst()
        .orElse(World.MOST_BINS);
  }

  private static long lot(int number, int cache) {
    CRC32 crc = new CRC32();
    for (int shift = 0; shift < 32; shift += 8) {
      crc.update(cache >> shift);
    }
    crc.update(number);
    return crc.getValue();
  }

  /**
   * Places all that can be placed, keeps the needed ones that end first, and leaves the board as it
   * was.
   */
  private Try attempt(Job job, List<Integer> order, int together) {
    List<Placed> placed = new ArrayList<>();
    List<Integer> unplaced = new ArrayList<>();
    Map<Integer, byte[]> before = new TreeMap<>();
    order.forEach(cache -> before.put(cache, column(cache)));
    Set<Integer> open = new TreeSet<>(order);
    for (int cache : order) {
      if (open.contains(cache)) {
        List<Integer> group = new ArrayList<>(List.of(cache));
        int start = earliest(group, open, together, job);
        if (start < 0) {
          unplaced.add(cache);
        } else {
          group.forEach(c -> placed.add(new Placed(c, start)));
          open.removeAll(group);
        }
      }
    }
    before.forEach(this::restore);
    placed.sort(Comparator.comparingInt(Placed::start));
    return new Try(
        List.copyOf(placed.subList(0, Math.min(job.need, placed.size()))), unplaced, least);
  }

  private byte[] column(int cache) {
    byte[] column = new byte[board.world.bins()];
    for (int b = 0; b < column.length; b++) {
      column[b] = board.get(cache, b);
    }
    return column;
  }

  private void restore(int cache, byte[] column) {
    for (int b = 0; b < column.length; b++) {
      board.set(cache, b, column[b]);
    }
  }

  private void put(Try best, int length, int warm) {
    for (Placed one : best.placed) {
      for (int b = one.start; b < one.start + length + warm; b++) {
        board.set(one.cache, b, b < one.start + length ? Board.OUT : Board.COLD);
      }
    }
  }

  /**
   * The first start at which the group fits, which is then marked on the board; -1 if there is
   * none.
   */
  private int earliest(List<Integer> group, Set<Integer> open, int together, Job job) {
    int start = job.first;
    while (start <= job.last) {
      int refused = refused(group, start, open, together, job);
      if (refused < 0) {
        return start;
      }
      // A bin that can't spare the cache refuses all starts that reach it, unless others may go
      // along.
      start = refused < start + job.length && together == 1 ? refused + 1 : start + 1;
    }
    return -1;
  }

  /**
   * The bin that refuses the group, or -1 when it is placed. Whoever lacks room and is itself still
   * to be placed may go along, as its own load then goes to others: the group grows by it.
   */
  private int refused(List<Integer> group, int start, Set<Integer> open, int together, Job job) {
    byte[][] before = new byte[group.size()][job.length + job.warm];
    for (int i = 0; i < job.length + job.warm; i++) {
      Lack lack = set(group, start, i, before, job);
      if (lack != null) {
        least = least == null || lack.shortage() < least.shortage() ? lack : least;
        for (int back = i; back >= 0; back--) {
          for (int g = 0; g < group.size(); g++) {
            board.set(group.get(g), start + back, before[g][back]);
          }
        }
        return along(group, lack, start, open, together, job) ? -1 : start + i;
      }
    }
    return -1;
  }

  private boolean along(
      List<Integer> group, Lack lack, int start, Set<Integer> open, int together, Job job) {
    int full = lack.what() == Lacks.ROOM ? board.places.get(lack.cache()) : -1;
    if (group.size() >= together || !open.contains(full) || group.contains(full)) {
      return false;
    }
    group.add(full);
    if (refused(group, start, open, together, job) < 0) {
      return true;
    }
    group.remove((Integer) full);
    return false;
  }

  private Lack set(List<Integer> group, int start, int i, byte[][] before, Job job) {
    Lack lack = null;
    int bin = start + i;
    for (int g = 0; g < group.size(); g++) {
      int cache = group.get(g);
      before[g][i] = board.get(cache, bin);
      // A cache that is out or cold by an agreed window or by itself can't have its window there
      // too.
      lack =
          before[g][i] == Board.IN
              ? lack
              : new Lack(
                  Lacks.TIME,
                  -1,
                  board.world.caches().get(cache).name(),
                  1,
                  0,
                  board.world.time(bin));
      board.set(cache, bin, i < job.length ? Board.OUT : Board.COLD);
    }
    for (int g = 0; g < group.size() && lack == null; g++) {
      lack = board.lack(group.get(g), bin);
    }
    return lack;
  }

  private List<Batch> batches(Wish wish, Try best, int length) {
    Map<Integer, List<String>> byStart = new TreeMap<>();
    best.placed.forEach(
        p ->
            byStart
                .computeIfAbsent(p.start, s -> new ArrayList<>())
                .add(board.world.caches().get(p.cache).name()));
    List<Batch> batches = new ArrayList<>();
    byStart.forEach(
        (start, names) -> {
          Duration end = board.world.time(start + length);
          batches.add(
              new Batch(
                  wish.id(),
                  List.copyOf(names),
                  board.world.time(start),
                  end,
                  end.plus(board.world.rules().warmUp())));
        });
    return batches;
  }
}
