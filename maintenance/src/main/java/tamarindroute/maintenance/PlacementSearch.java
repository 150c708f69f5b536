package tamarindroute.maintenance;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.zip.CRC32;

/**
 * Local search that places the caches of a request in several orders and keeps the best result. The
 * first order starts with the caches that are the most difficult to place. Every second order
 * starts with the caches that the previous attempt placed last or not at all. All other orders
 * follow a hash instead of random numbers, so that the search is deterministic.
 */
final class PlacementSearch {
  /**
   * Maximum number of caches that are placed together because each alone would leave another of
   * them without capacity. Groups of eight improved none of 300 plans of small inputs.
   */
  static final int MAX_GROUP_SIZE = 3;

  /** Number of orders at the start that place each cache separately, which is faster. */
  private static final int ORDERS_WITHOUT_GROUPS = 2;

  /** Bits of an index into the caches of a request: 2^12 = {@link PlanningInput#MAX_CACHES}. */
  private static final int INDEX_BITS = 12;

  /** Scale at which weights of caches are converted to integers. */
  private static final double WEIGHT_SCALE = 1e6;

  private final CoverageTimeline timeline;
  private final int orderCount;
  private Shortage leastSevere;

  PlacementSearch(CoverageTimeline timeline, int orderCount) {
    this.timeline = timeline;
    this.orderCount = orderCount;
  }

  /** Returns the best candidate found. The timeline is unchanged afterwards. */
  Candidate best(BinnedRequest request) {
    Candidate best = null;
    Candidate previous = null;
    for (int orderNumber = 0; orderNumber < orderCount; orderNumber++) {
      int maxGroupSize = orderNumber < ORDERS_WITHOUT_GROUPS ? 1 : MAX_GROUP_SIZE;
      List<Integer> order = order(request.caches(), orderNumber, previous);
      Candidate candidate =
          new PlacementAttempt(timeline, request, maxGroupSize, leastSevere).place(order);
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

  private List<Integer> order(List<Integer> caches, int orderNumber, Candidate previous) {
    Map<Long, Integer> sorted = new TreeMap<>();
    for (int index = 0; index < caches.size(); index++) {
      int cache = caches.get(index);
      // The index makes the keys of caches with equal ranks distinct.
      sorted.put((rank(cache, orderNumber, previous) << INDEX_BITS) + index, cache);
    }
    return new ArrayList<>(sorted.values());
  }

  private long rank(int cache, int orderNumber, Candidate previous) {
    long rank =
        orderNumber == 0
            ? -(long) (WEIGHT_SCALE * timeline.weight(cache))
            : hash(orderNumber, cache);
    if (orderNumber % 2 == 0) {
      return rank;
    }
    long previousStart = previous.startOf(cache, PlanningInput.MAX_BINS);
    return rank % (1 << INDEX_BITS) - (previousStart << INDEX_BITS);
  }

  private static long hash(int orderNumber, int cache) {
    CRC32 crc = new CRC32();
    for (int shift = 0; shift < Integer.SIZE; shift += Byte.SIZE) {
      crc.update(cache >> shift);
    }
    crc.update(orderNumber);
    return crc.getValue();
  }
}
