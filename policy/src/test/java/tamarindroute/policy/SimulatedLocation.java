package tamarindroute.policy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Random;
import tamarindroute.decision.Attempt;
import tamarindroute.decision.Cache;
import tamarindroute.decision.Outcome.Detail;
import tamarindroute.decision.Outcome.Result;
import tamarindroute.decision.RoutingPolicy;

/**
 * The caches of a simulated location, and the outcomes of attempts at them. Times are in seconds.
 */
final class SimulatedLocation {

  private static final double HIT_WAIT_SECONDS = 0.005;
  private static final double SIBLING_WAIT_SECONDS = 0.01;
  private static final double PARENT_WAIT_SECONDS = 0.03;
  private static final double ORIGIN_WAIT_SECONDS = 0.1;

  /** Content that an edge can hold, as a share of the size of all objects. */
  private static final double EDGE_BYTES_SHARE = 0.12;

  /** Content that a parent can hold, as a share of the size of all objects. */
  private static final double PARENT_BYTES_SHARE = 0.6;

  /** Capacity of the link into the location, as a share of the capacity of the edges. */
  private static final double INBOUND_LINK_SHARE = 0.4;

  /** Number of cores by which the requests in flight are divided for live weights. */
  private static final double CORES = 4;

  private static final long FIRST_EDGE_ID = 100;
  private static final long FIRST_PARENT_ID = 200;
  private static final long ORIGIN_ID = 300;
  private static final int NO_CELL = -1;

  private final SimulationPlan plan;
  private final List<Cache> caches = new ArrayList<>();
  private final List<SimulatedCache> edges = new ArrayList<>();
  private final IdentityHashMap<Cache, SimulatedCache> byCache = new IdentityHashMap<>();
  private final double inboundLinkCapacity;
  private boolean originFailing;

  SimulatedLocation(SimulationPlan plan, SimulatedWorkload workload) {
    this.plan = plan;
    double capacity = Arrays.stream(plan.edgeCapacities()).sum();
    inboundLinkCapacity = INBOUND_LINK_SHARE * capacity;
    double bytes = workload.totalSize();
    for (int i = 0; i < plan.edgeCapacities().length; i++) {
      double edgeCapacity = plan.edgeCapacities()[i];
      edges.add(
          add(FIRST_EDGE_ID + i, Cache.Tier.EDGE, i % 2, edgeCapacity, EDGE_BYTES_SHARE * bytes));
    }
    add(FIRST_PARENT_ID, Cache.Tier.PARENT, NO_CELL, capacity, PARENT_BYTES_SHARE * bytes);
    add(FIRST_PARENT_ID + 1, Cache.Tier.PARENT, NO_CELL, capacity, PARENT_BYTES_SHARE * bytes);
    add(ORIGIN_ID, Cache.Tier.ORIGIN, NO_CELL, capacity, 0);
  }

  private SimulatedCache add(
      long stableId, Cache.Tier tier, int cell, double capacity, double maxBytes) {
    Cache cache = TestValues.cache(stableId, tier, 1);
    cache.cell = cell;
    SimulatedCache simulated = new SimulatedCache(cache, capacity, maxBytes);
    byCache.put(cache, simulated);
    caches.add(cache);
    return simulated;
  }

  /** Returns the endpoint list. */
  List<Cache> caches() {
    return caches;
  }

  List<SimulatedCache> edges() {
    return edges;
  }

  Collection<SimulatedCache> all() {
    return byCache.values();
  }

  SimulatedCache get(Cache cache) {
    return byCache.get(cache);
  }

  /**
   * Returns the number of fills that the link into the location carries without slowing each other
   * down.
   */
  double inboundLinkCapacity() {
    return inboundLinkCapacity;
  }

  /** Sets whether the origin fails all requests. */
  void setOriginFailing(boolean value) {
    originFailing = value;
  }

  /** Sets the weights of the endpoint list according to the plan. */
  void advertiseWeights() {
    for (SimulatedCache simulated : byCache.values()) {
      simulated.cache().weight = advertisedWeight(simulated);
    }
  }

  private double advertisedWeight(SimulatedCache simulated) {
    return switch (plan.advertisedWeights()) {
      case TRUE -> simulated.capacity();
      case OFF -> 1;
      case TENFOLD -> 10 * simulated.capacity();
      case TENTH -> 0.1 * simulated.capacity();
      case LIVE -> simulated.capacity() / (1 + simulated.inFlight() / CORES);
    };
  }

  /**
   * Stores objects as they would be stored after a long time: the most popular ones at their hashed
   * edges and at the parents.
   */
  void fillCaches(SimulatedWorkload workload, RoutingPolicy gateway) {
    for (int object = SimulatedWorkload.OBJECTS - 1; object >= 0; object--) {
      double size = workload.size(object);
      get(gateway.rankedCaches(object).get(0)).store(object, size);
      for (Cache cache : caches.subList(edges.size(), caches.size())) {
        get(cache).store(object, size);
      }
    }
  }

  /** Returns the outcome of an attempt, according to the current content of its caches. */
  SimulatedTransfer.PlannedOutcome outcomeOf(
      SimulatedRequest request, Attempt attempt, Random random) {
    SimulatedCache target = get(attempt.cache);
    long object = request.request().objectId;
    if (target.isEdge() && plan.failingShare() > 0 && random.nextDouble() < plan.failingShare()) {
      return new SimulatedTransfer.PlannedOutcome(
          target, Result.FAILED, Detail.UNKNOWN, HIT_WAIT_SECONDS);
    }
    if (target.holds(object)) {
      return new SimulatedTransfer.PlannedOutcome(
          target, Result.SERVED, Detail.HIT, HIT_WAIT_SECONDS);
    }
    if (attempt.source == attempt.cache && attempt.cache.tier != Cache.Tier.ORIGIN) {
      return new SimulatedTransfer.PlannedOutcome(
          target, Result.MISS, Detail.UNKNOWN, HIT_WAIT_SECONDS);
    }
    return fillOutcome(attempt, get(attempt.source), object);
  }

  private SimulatedTransfer.PlannedOutcome fillOutcome(
      Attempt attempt, SimulatedCache source, long object) {
    double wait = sourceWait(source);
    if (source.holds(object)) {
      return new SimulatedTransfer.PlannedOutcome(source, Result.SERVED, Detail.FILLED, wait);
    }
    if (attempt.onlyIfCached) {
      return new SimulatedTransfer.PlannedOutcome(source, Result.MISS, Detail.SOURCE_MISS, wait);
    }
    return originFailing
        ? new SimulatedTransfer.PlannedOutcome(
            source, Result.FAILED, Detail.ORIGIN_FAILED, wait + ORIGIN_WAIT_SECONDS)
        : new SimulatedTransfer.PlannedOutcome(
            source, Result.SERVED, Detail.FROM_ORIGIN, wait + ORIGIN_WAIT_SECONDS);
  }

  private static double sourceWait(SimulatedCache source) {
    return switch (source.cache().tier) {
      case EDGE -> SIBLING_WAIT_SECONDS;
      case PARENT -> PARENT_WAIT_SECONDS;
      case ORIGIN -> 0;
    };
  }
}
