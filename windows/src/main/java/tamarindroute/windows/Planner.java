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
import tamarindroute.windows.Plan.Rejection;
import tamarindroute.windows.Plan.Shortage;
import tamarindroute.windows.Plan.ShortageKind;

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
  static final int MAX_ORDERS = 64;

  /**
   * Caches placed over all orders of all wishes: 1,000 caches are tried in two orders, which stays
   * under a second.
   */
  static final int MAX_PLACEMENTS = 2_000;

  /**
   * Caches that may be placed as one where each alone would leave another of them without room,
   * from the third order on. Eight made no plan of 300 small worlds better.
   */
  static final int MAX_GROUP = 3;

  private record Placement(int cache, int start) {}

  private record Candidate(List<Placement> placed, List<Integer> unplaced, Shortage shortage) {
    int end() {
      return placed.stream().mapToInt(Placement::start).max().orElse(-1);
    }

    long starts() {
      return placed.stream().mapToLong(Placement::start).sum();
    }
  }

  /**
   * A wish in bins: out for {@code length}, then cold for {@code warmUp}, starting between two
   * bins.
   */
  private record BinnedRequest(
      List<Integer> caches, int required, int length, int warmUp, int first, int last) {}

  private final CoverageTimeline timeline;
  private Shortage leastSevere;

  private int orderCount;

  private Planner(CoverageTimeline timeline) {
    this.timeline = timeline;
  }

  public static Plan plan(
      PlanningInput input,
      List<PlanningInput.ScheduledOutage> held,
      List<MaintenanceRequest> wishes) {
    return new Planner(new CoverageTimeline(input, held)).plan(wishes);
  }

  /**
   * What lacks at a time with some caches out, all that the world tells of them aside; null if
   * nothing does.
   */
  public static Shortage shortage(PlanningInput input, List<String> out, Duration at) {
    CoverageTimeline timeline = new CoverageTimeline(input, List.of());
    int bin = Math.max(0, Math.min(input.binAt(at), input.binCount() - 1));
    for (String name : out) {
      Integer c = timeline.indexByName.get(name);
      if (c != null) {
        timeline.set(c, bin, CoverageTimeline.OUT);
      }
    }
    return timeline.shortage(bin);
  }

  private Plan plan(List<MaintenanceRequest> wishes) {
    List<MaintenanceRequest> sorted = new ArrayList<>(wishes);
    sorted.sort(
        Comparator.comparingInt(MaintenanceRequest::placementOrder)
            .thenComparing(MaintenanceRequest::latest)
            .thenComparing(MaintenanceRequest::id));
    List<Batch> batches = new ArrayList<>();
    List<Rejection> refusals = new ArrayList<>();
    int caches = sorted.stream().mapToInt(request -> caches(request).size()).sum();
    orderCount = Math.max(1, Math.min(MAX_ORDERS, MAX_PLACEMENTS / Math.max(1, caches)));
    for (MaintenanceRequest request : sorted) {
      Rejection rejection = place(request, batches);
      if (rejection != null) {
        refusals.add(rejection);
      }
    }
    batches.sort(Comparator.comparing(Batch::start).thenComparing(Batch::request));
    return new Plan(batches, refusals);
  }

  private Rejection place(MaintenanceRequest request, List<Batch> batches) {
    List<Integer> caches = caches(request);
    if (caches.contains(null)) {
      String name = request.caches().get(caches.indexOf(null));
      return new Rejection(
          request.id(),
          name,
          new Shortage(ShortageKind.UNKNOWN_CACHE, -1, name, 1, 0, request.earliest()),
          null);
    }
    PlanningInput input = timeline.input;
    int length = input.binsCovering(request.length());
    int warm = input.binsCovering(request.length().plus(input.rules().warmUp())) - length;
    int need =
        request.location() == null
            ? caches.size()
            : (int) Math.ceil(request.share() * caches.size() - 1e-9);
    int first = Math.max(0, input.firstBinFrom(request.earliest()));
    int latest = input.binCount() - length - warm;
    int last = Math.min(latest, input.binAt(request.latest()) - length);
    leastSevere = null;
    Candidate best = best(new BinnedRequest(caches, need, length, warm, first, last));
    if (best.placed.size() < need) {
      return rejection(request, best, new BinnedRequest(caches, need, length, warm, first, latest));
    }
    put(best, length, warm);
    batches.addAll(batches(request, best, length));
    return null;
  }

  private Rejection rejection(MaintenanceRequest request, Candidate best, BinnedRequest longer) {
    PlanningInput input = timeline.input;
    String name = best.unplaced.isEmpty() ? "" : input.caches().get(best.unplaced.get(0)).name();
    Shortage shortage =
        best.shortage != null
            ? best.shortage
            : new Shortage(
                ShortageKind.TIME,
                -1,
                name,
                request.length().toSeconds(),
                Math.max(0, request.latest().minus(input.timeOf(longer.first)).toSeconds()),
                request.earliest());
    Candidate later = best(longer);
    Duration would =
        later.placed.size() < longer.required ? null : input.timeOf(later.end() + longer.length);
    return new Rejection(request.id(), name, shortage, would);
  }

  private List<Integer> caches(MaintenanceRequest request) {
    if (request.location() == null) {
      return request.caches().stream().distinct().map(timeline.indexByName::get).toList();
    }
    List<Integer> all = new ArrayList<>();
    for (int c = 0; c < timeline.input.caches().size(); c++) {
      Cache cache = timeline.input.caches().get(c);
      if (cache.tier() == Cache.Tier.EDGE && cache.location().equals(request.location())) {
        all.add(c);
      }
    }
    return all;
  }

  private Candidate best(BinnedRequest job) {
    Candidate best = null;
    Candidate last = null;
    for (int i = 0; i < orderCount; i++) {
      last = attempt(job, order(job.caches, i, last), i < 2 ? 1 : MAX_GROUP);
      best = best == null || better(last, best) ? last : best;
      if (best.placed.size() >= job.required && best.end() <= job.first) {
        break;
      }
    }
    return best;
  }

  private static boolean better(Candidate one, Candidate other) {
    int placed = Integer.compare(one.placed.size(), other.placed.size());
    int end = Integer.compare(other.end(), one.end());
    return placed != 0 ? placed > 0 : end != 0 ? end > 0 : one.starts() < other.starts();
  }

  /**
   * The most constrained first; then by turns those first that came last in the try before, and by
   * lot.
   */
  private List<Integer> order(List<Integer> caches, int number, Candidate before) {
    Map<Long, Integer> sorted = new TreeMap<>();
    for (int i = 0; i < caches.size(); i++) {
      int cache = caches.get(i);
      long rank = number == 0 ? -(long) (1e6 * timeline.weight(cache)) : hash(number, cache);
      if (number % 2 == 1) {
        rank = rank % (1 << 12) - ((long) previousStart(before, cache) << 12);
      }
      // Places make ranks different.
      sorted.put((rank << 12) + i, cache);
    }
    return new ArrayList<>(sorted.values());
  }

  private static int previousStart(Candidate before, int cache) {
    return before.placed.stream()
        .filter(p -> p.cache == cache)
        .mapToInt(Placement::start)
        .findFirst()
        .orElse(PlanningInput.MAX_BINS);
  }

  private static long hash(int number, int cache) {
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
  private Candidate attempt(BinnedRequest job, List<Integer> order, int together) {
    List<Placement> placed = new ArrayList<>();
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
          group.forEach(c -> placed.add(new Placement(c, start)));
          open.removeAll(group);
        }
      }
    }
    before.forEach(this::restore);
    placed.sort(Comparator.comparingInt(Placement::start));
    return new Candidate(
        List.copyOf(placed.subList(0, Math.min(job.required, placed.size()))),
        unplaced,
        leastSevere);
  }

  private byte[] column(int cache) {
    byte[] column = new byte[timeline.input.binCount()];
    for (int b = 0; b < column.length; b++) {
      column[b] = timeline.get(cache, b);
    }
    return column;
  }

  private void restore(int cache, byte[] column) {
    for (int b = 0; b < column.length; b++) {
      timeline.set(cache, b, column[b]);
    }
  }

  private void put(Candidate best, int length, int warm) {
    for (Placement one : best.placed) {
      for (int b = one.start; b < one.start + length + warm; b++) {
        timeline.set(
            one.cache, b, b < one.start + length ? CoverageTimeline.OUT : CoverageTimeline.COLD);
      }
    }
  }

  /**
   * The first start at which the group fits, which is then marked on the board; -1 if there is
   * none.
   */
  private int earliest(List<Integer> group, Set<Integer> open, int together, BinnedRequest job) {
    int start = job.first;
    while (start <= job.last) {
      int refused = rejectingBin(group, start, open, together, job);
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
  private int rejectingBin(
      List<Integer> group, int start, Set<Integer> open, int together, BinnedRequest job) {
    byte[][] before = new byte[group.size()][job.length + job.warmUp];
    for (int i = 0; i < job.length + job.warmUp; i++) {
      Shortage shortage = set(group, start, i, before, job);
      if (shortage != null) {
        leastSevere =
            leastSevere == null || shortage.severity() < leastSevere.severity()
                ? shortage
                : leastSevere;
        for (int back = i; back >= 0; back--) {
          for (int g = 0; g < group.size(); g++) {
            timeline.set(group.get(g), start + back, before[g][back]);
          }
        }
        return placeWithBlocker(group, shortage, start, open, together, job) ? -1 : start + i;
      }
    }
    return -1;
  }

  private boolean placeWithBlocker(
      List<Integer> group,
      Shortage shortage,
      int start,
      Set<Integer> open,
      int together,
      BinnedRequest job) {
    int full =
        shortage.kind() == ShortageKind.CAPACITY ? timeline.indexByName.get(shortage.cache()) : -1;
    if (group.size() >= together || !open.contains(full) || group.contains(full)) {
      return false;
    }
    group.add(full);
    if (rejectingBin(group, start, open, together, job) < 0) {
      return true;
    }
    group.remove((Integer) full);
    return false;
  }

  private Shortage set(List<Integer> group, int start, int i, byte[][] before, BinnedRequest job) {
    Shortage shortage = null;
    int bin = start + i;
    for (int g = 0; g < group.size(); g++) {
      int cache = group.get(g);
      before[g][i] = timeline.get(cache, bin);
      // A cache that is out or cold by an agreed window or by itself can't have its window there
      // too.
      shortage =
          before[g][i] == CoverageTimeline.IN
              ? shortage
              : new Shortage(
                  ShortageKind.TIME,
                  -1,
                  timeline.input.caches().get(cache).name(),
                  1,
                  0,
                  timeline.input.timeOf(bin));
      timeline.set(cache, bin, i < job.length ? CoverageTimeline.OUT : CoverageTimeline.COLD);
    }
    for (int g = 0; g < group.size() && shortage == null; g++) {
      shortage = timeline.shortage(group.get(g), bin);
    }
    return shortage;
  }

  private List<Batch> batches(MaintenanceRequest request, Candidate best, int length) {
    Map<Integer, List<String>> byStart = new TreeMap<>();
    best.placed.forEach(
        p ->
            byStart
                .computeIfAbsent(p.start, s -> new ArrayList<>())
                .add(timeline.input.caches().get(p.cache).name()));
    List<Batch> batches = new ArrayList<>();
    byStart.forEach(
        (start, names) -> {
          Duration end = timeline.input.timeOf(start + length);
          batches.add(
              new Batch(
                  request.id(),
                  List.copyOf(names),
                  timeline.input.timeOf(start),
                  end,
                  end.plus(timeline.input.rules().warmUp())));
        });
    return batches;
  }
}
