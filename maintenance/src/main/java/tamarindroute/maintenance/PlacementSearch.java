package tamarindroute.maintenance;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.zip.CRC32;

/**
 * Tries several orders of a request's caches and keeps the best result. The first order takes the
 * most constrained caches first, every second one those first that were placed last before, the
 * others follow a hash; so the search is deterministic.
 */
final class PlacementSearch {
  /**
   * Caches that may be placed as one, where each alone would leave another of them without
   * capacity.
   */
  static final int MAX_GROUP = 3;

  /** The first orders place each cache by itself, which is faster. */
  private static final int ORDERS_WITHOUT_GROUPS = 2;

  /** Bits of an index into a request's caches; see {@link PlanningInput#MAX_CACHES}. */
  private static final int INDEX_BITS = 12;

  private static final double WEIGHT_SCALE = 1e6;

  private final CoverageTimeline timeline;
  private final int orderCount;
  private Shortage leastSevere;

  PlacementSearch(CoverageTimeline timeline, int orderCount) {
    this.timeline = timeline;
    this.orderCount = orderCount;
  }

  /** The best candidate found; the timeline is left as it was. */
  Candidate best(BinnedRequest request) {
    Candidate best = null;
    Candidate previous = null;
    for (int number = 0; number < orderCount; number++) {
      int maxGroup = number < ORDERS_WITHOUT_GROUPS ? 1 : MAX_GROUP;
      List<Integer> order = order(request.caches(), number, previous);
      Candidate candidate =
          new PlacementAttempt(timeline, request, maxGroup, leastSevere).place(order);
      leastSevere = candidate.leastSevere();
      if (best == null || candidate.isBetterThan(best)) {
        best = candidate;
      }
      if (isOptimal(best, request)) {
        break;
      }
      previous = candidate;
    }
    return best;
  }

  private static boolean isOptimal(Candidate candidate, BinnedRequest request) {
    return candidate.placements().size() >= request.required()
        && candidate.lastStart() <= request.firstStart();
  }

  private List<Integer> order(List<Integer> caches, int number, Candidate previous) {
    Map<Long, Integer> sorted = new TreeMap<>();
    for (int index = 0; index < caches.size(); index++) {
      int cache = caches.get(index);
      // The index makes ranks differ.
      sorted.put((rank(cache, number, previous) << INDEX_BITS) + index, cache);
    }
    return new ArrayList<>(sorted.values());
  }

  private long rank(int cache, int number, Candidate previous) {
    long rank = number == 0 ? -(long) (WEIGHT_SCALE * timeline.weight(cache)) : hash(number, cache);
    if (number % 2 == 0) {
      return rank;
    }
    long previousStart = previous.startOf(cache, PlanningInput.MAX_BINS);
    return rank % (1 << INDEX_BITS) - (previousStart << INDEX_BITS);
  }

  private static long hash(int number, int cache) {
    CRC32 crc = new CRC32();
    for (int shift = 0; shift < Integer.SIZE; shift += Byte.SIZE) {
      crc.update(cache >> shift);
    }
    crc.update(number);
    return crc.getValue();
  }
}
