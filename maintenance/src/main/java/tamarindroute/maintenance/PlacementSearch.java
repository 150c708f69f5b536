package tamarindroute.maintenance;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.zip.CRC32;

/**
 * Local search for the start times at which the caches of a maintenance request are taken out of
 * service. To place a cache is to choose its start time. The caches are placed one after another in
 * several orders, and the best result is kept.
 *
 * <p>The first order starts with the caches that are the most difficult to place. Each order with
 * an odd number starts with the caches that the previous order placed last or not at all. All other
 * orders are shuffled with a hash instead of random numbers, so that the search is deterministic.
 */
final class PlacementSearch {
  /**
   * Maximum number of caches that are placed together at the same start. This is done if taking
   * only one of them out of service would leave another one without capacity, see {@link
   * PlacementAttempt}. Groups of eight improved none of 300 plans of small inputs.
   */
  static final int MAX_GROUP_SIZE = 3;

  /** Number of orders, counted from the first, that place no groups. This is faster. */
  private static final int ORDERS_WITHOUT_GROUPS = 2;

  /** Bits of an index into the caches of a request: 2^12 = {@link PlanningInput#MAX_CACHES}. */
  private static final int INDEX_BITS = 12;

  /** Scale at which weights of caches are converted to integers. */
  private static final double WEIGHT_SCALE = 1e6;

  private final CoverageTimeline timeline;
  private final int orderCount;

  /** The least severe shortage that ruled out a start so far; null for none. */
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

  /** Whether all required caches are placed at the first possible start. */
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

  /**
   * Returns the rank of a cache in an order. Caches of lower rank are placed first. In an order
   * with an odd number, the previous start of the cache, latest first, comes before the hash.
   */
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
