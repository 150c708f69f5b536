package tamarindroute.maintenance;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import tamarindroute.maintenance.Plan.Batch;
import tamarindroute.maintenance.Plan.Rejection;

/**
 * Greedy planner that places maintenance requests one after another, each entirely or not at all.
 * Within a request, the caches are placed at their earliest possible starts in several orders, and
 * the result that ends first is kept.
 *
 * <p>Each placement is checked for everything that it can make worse, together with all earlier
 * placements. A plan therefore keeps coverage and capacity after any one tolerated failure.
 */
public final class Planner {
  /**
   * Maximum number of orders of caches that are tried for a request: about half of the 120 orders
   * of five caches. A request of twenty caches takes milliseconds.
   */
  static final int MAX_ORDERS = 64;

  /**
   * Target for the number of placements over all orders of all requests, which bounds the duration
   * of a large plan. For 1,000 caches two orders are tried, which takes less than a second.
   */
  static final int MAX_PLACEMENTS = 2_000;

  /** Greater than the rounding error of a product of share and number of caches. */
  private static final double ROUNDING_TOLERANCE = 1e-9;

  private static final Comparator<MaintenanceRequest> PLACEMENT_ORDER =
      Comparator.comparingInt(MaintenanceRequest::placementOrder)
          .thenComparing(MaintenanceRequest::latest)
          .thenComparing(MaintenanceRequest::id);

  private final CoverageTimeline timeline;
  private final PlanningInput input;
  private final List<Batch> batches = new ArrayList<>();
  private final List<Rejection> rejections = new ArrayList<>();

  private Planner(PlanningInput input, List<ScheduledOutage> outages) {
    this.input = input;
    timeline = new CoverageTimeline(input, outages);
  }

  /**
   * Returns a plan for the requests that takes account of already scheduled outages.
   *
   * @param input the caches, key ranges and load
   * @param outages the outages that other windows have scheduled
   * @param requests the requests to place
   */
  public static Plan plan(
      PlanningInput input, List<ScheduledOutage> outages, List<MaintenanceRequest> requests) {
    return new Planner(input, outages).plan(requests);
  }

  /**
   * Returns the first shortage at a time while the named caches are out of service, or empty if
   * there is none. Availability in the input still applies to all other caches.
   *
   * @param input the caches, key ranges and load
   * @param out names of the caches that are out of service; unknown names are ignored
   * @param at agreed time; a time outside the bins of the input is moved to the nearest bin
   */
  public static Optional<Shortage> shortage(PlanningInput input, List<String> out, Duration at) {
    CoverageTimeline timeline = new CoverageTimeline(input, List.of());
    int bin = Math.max(0, Math.min(input.binAt(at), input.binCount() - 1));
    for (String name : out) {
      Integer cache = timeline.topology().indexOf(name);
      if (cache != null) {
        timeline.set(cache, bin, Availability.OUT);
      }
    }
    return timeline.anyShortage(bin);
  }

  private Plan plan(List<MaintenanceRequest> requests) {
    int caches = requests.stream().mapToInt(request -> cachesOf(request).size()).sum();
    int orders = Math.max(1, Math.min(MAX_ORDERS, MAX_PLACEMENTS / Math.max(1, caches)));
    requests.stream().sorted(PLACEMENT_ORDER).forEach(request -> place(request, orders));
    batches.sort(Comparator.comparing(Batch::start).thenComparing(Batch::request));
    return new Plan(batches, rejections);
  }

  private void place(MaintenanceRequest request, int orders) {
    List<Integer> caches = cachesOf(request);
    if (caches.contains(null)) {
      rejections.add(unknownCacheRejection(request, request.caches().get(caches.indexOf(null))));
      return;
    }
    BinnedRequest binned = toBins(request, caches);
    PlacementSearch search = new PlacementSearch(timeline, orders);
    Candidate best = search.best(binned);
    if (best.placements().size() < binned.required()) {
      rejections.add(rejection(request, binned, best, search));
      return;
    }
    mark(best, binned);
    batches.addAll(toBatches(request, best, binned.length()));
  }

  /**
   * Returns the indexes of the caches that a request names, or of all edges of its location. The
   * list contains null for each unknown name.
   */
  private List<Integer> cachesOf(MaintenanceRequest request) {
    if (request.location() == null) {
      return request.caches().stream().distinct().map(timeline.topology()::indexOf).toList();
    }
    List<Integer> edges = new ArrayList<>();
    for (int index = 0; index < input.caches().size(); index++) {
      Cache cache = input.caches().get(index);
      if (cache.tier() == Cache.Tier.EDGE && cache.location().equals(request.location())) {
        edges.add(index);
      }
    }
    return edges;
  }

  private BinnedRequest toBins(MaintenanceRequest request, List<Integer> caches) {
    int length = input.binsCovering(request.length());
    int warmUp = input.binsCovering(request.length().plus(input.rules().warmUp())) - length;
    int required =
        request.location() == null
            ? caches.size()
            : (int) Math.ceil(request.share() * caches.size() - ROUNDING_TOLERANCE);
    int firstStart = Math.max(0, input.firstBinFrom(request.earliest()));
    int lastStart = Math.min(lastStart(length, warmUp), input.binAt(request.latest()) - length);
    return new BinnedRequest(caches, required, length, warmUp, firstStart, lastStart);
  }

  /** Returns the last start whose outage and warm-up end within the bins of the input. */
  private int lastStart(int length, int warmUp) {
    return input.binCount() - length - warmUp;
  }

  private static Rejection unknownCacheRejection(MaintenanceRequest request, String cache) {
    Shortage shortage =
        new Shortage(
            Shortage.Kind.UNKNOWN_CACHE, Shortage.NO_RANGE, cache, 1, 0, request.earliest());
    return new Rejection(request.id(), cache, shortage, null);
  }

  private Rejection rejection(
      MaintenanceRequest request, BinnedRequest binned, Candidate best, PlacementSearch search) {
    List<Integer> unplaced = best.unplaced();
    String cache = unplaced.isEmpty() ? "" : timeline.topology().nameOf(unplaced.get(0));
    Shortage shortage = best.leastSevere();
    if (shortage == null) {
      shortage = timeShortage(request, binned, cache);
    }
    BinnedRequest unbounded = binned.withLastStart(lastStart(binned.length(), binned.warmUp()));
    Candidate later = search.best(unbounded);
    boolean feasible = later.placements().size() >= binned.required();
    Duration feasibleEnd = feasible ? input.timeOf(later.lastStart() + binned.length()) : null;
    return new Rejection(request.id(), cache, shortage, feasibleEnd);
  }

  private Shortage timeShortage(MaintenanceRequest request, BinnedRequest binned, String cache) {
    Duration available = request.latest().minus(input.timeOf(binned.firstStart()));
    return new Shortage(
        Shortage.Kind.TIME,
        Shortage.NO_RANGE,
        cache,
        request.length().toSeconds(),
        Math.max(0, available.toSeconds()),
        request.earliest());
  }

  private void mark(Candidate candidate, BinnedRequest request) {
    for (Candidate.Placement placement : candidate.placements()) {
      int end = placement.start() + request.length();
      for (int bin = placement.start(); bin < end + request.warmUp(); bin++) {
        timeline.set(placement.cache(), bin, bin < end ? Availability.OUT : Availability.COLD);
      }
    }
  }

  private List<Batch> toBatches(MaintenanceRequest request, Candidate candidate, int length) {
    Map<Integer, List<String>> namesByStart = new TreeMap<>();
    for (Candidate.Placement placement : candidate.placements()) {
      namesByStart
          .computeIfAbsent(placement.start(), start -> new ArrayList<>())
          .add(timeline.topology().nameOf(placement.cache()));
    }
    List<Batch> result = new ArrayList<>();
    namesByStart.forEach(
        (start, names) -> {
          Duration end = input.timeOf(start + length);
          Duration warmAt = end.plus(input.rules().warmUp());
          result.add(new Batch(request.id(), List.copyOf(names), input.timeOf(start), end, warmAt));
        });
    return result;
  }
}
