package tamarindroute.policy;

import static tamarindroute.numeric.Seconds.*;

import java.util.*;
import java.util.function.Predicate;
import tamarindroute.decision.*;
import tamarindroute.numeric.DecayingValue;
import tamarindroute.numeric.Hashing;

/**
 * Owns the caches in their tiers, their order for a key, and what is measured over all: waits,
 * fills.
 */
final class CacheTiers {

  /** What is borne where nothing is told: more than is asked, until it is seen to queue. */
  private static final double UNKNOWN = 1e6;

  final PolicySettings settings;
  final boolean weightsConfigured;
  final Map<Cache.Tier, QuotaGrant> quotaGrants = new EnumMap<>(Cache.Tier.class);
  final Map<Cache, CacheState> states = new IdentityHashMap<>();
  List<CacheState> edges = List.of(), parents = List.of(), origins = List.of();
  final AdaptiveConcurrencyLimit concurrencyLimit;
  private long randomCount;

  /** The view for which a place is sought just now; null while outcomes are noted. */
  Request currentRequest;

  /**
   * The waits d (hits, siblings' copies) and D (fills from above) of the design page; hits' least
   * wait.
   */
  double hitLatency = 0.005, fillLatency = 0.05, minHitLatency = 0.005;

  private final DecayingValue fillsInFlight = new DecayingValue(3, 0);
  private final Map<RequestClass, ClassStatistics> statisticsByClass = new IdentityHashMap<>();

  CacheTiers(PolicySettings settings) {
    this.settings = settings;
    weightsConfigured = settings.weightMeaning() != PolicySettings.WeightMeaning.OFF;
    concurrencyLimit =
        weightsConfigured
            ? new AdaptiveConcurrencyLimit(1, 2)
            : new AdaptiveConcurrencyLimit(UNKNOWN, 1);
  }

  double nextRandom() {
    return Hashing.pseudoRandom(settings.seed(), randomCount++);
  }

  void onEndpoints(List<Cache> caches, double now) {
    states.keySet().retainAll(Set.copyOf(caches));
    caches.forEach(
        cache -> states.computeIfAbsent(cache, c -> new CacheState(c, this)).onEndpoints(now));
    edges =
        caches.stream()
            .filter(c -> c.tier == Cache.Tier.EDGE && c.zone == settings.zone())
            .map(states::get)
            .toList();
    parents = caches.stream().filter(c -> c.tier == Cache.Tier.PARENT).map(states::get).toList();
    parents.forEach(parent -> parent.hubDistance = settings.hubDistance(parent.cache.zone));
    origins = caches.stream().filter(c -> c.tier == Cache.Tier.ORIGIN).map(states::get).toList();
  }

  /**
   * Weighted rendezvous hashing: all gateways rank alike, and a change moves only its own share.
   */
  static List<CacheState> rank(List<CacheState> among, long key) {
    List<CacheState> ranked = new ArrayList<>(among);
    ranked.forEach(state -> state.score(key));
    ranked.sort(Comparator.comparingDouble(state -> state.score));
    return ranked;
  }

  /** The first of the ranked that fits, without ranking a long list whole. */
  static CacheState home(List<CacheState> among, long key, Predicate<CacheState> fit) {
    among.forEach(state -> state.score(key));
    return among.stream()
        .filter(fit)
        .min(Comparator.comparingDouble(state -> state.score))
        .orElse(null);
  }

  static CacheState first(List<CacheState> order, Predicate<CacheState> fit) {
    return order.stream().filter(fit).findFirst().orElse(null);
  }

  ClassStatistics statistics(Request request) {
    return statisticsByClass.computeIfAbsent(
        request.requestClass, p -> new ClassStatistics(seconds(p.latencyObjective())));
  }

  boolean isSizeKnown(Request request) {
    return request.kilobytes > 0 && settings.transferRateKbPerSecond() > 0;
  }

  /** How long a view's transfer takes alone: by its size, if it is told, else its class's mean. */
  double transferTime(Request request) {
    return isSizeKnown(request)
        ? request.kilobytes / settings.transferRateKbPerSecond()
        : statistics(request).mean;
  }

  double agreed(Request request) {
    return seconds(request.latencyObjectiveTime(toDuration(transferTime(request))));
  }

  /**
   * What a trip costs a cold cache, as the rule counts: by class, or the largest hardly ever got
   * in.
   */
  double coldStartCharge(Request request) {
    return statistics(request).mean;
  }

  static double toward(double mean, double sample) {
    return mean + 0.05 * (Math.max(0.0005, Math.min(sample, 4 * mean)) - mean);
  }

  /** A fill takes about half the place of a hit at its cache, since it waits before it sends. */
  void countInFlight(Attempt attempt, int change, double now) {
    boolean look =
        attempt.cache.tier == Cache.Tier.EDGE
            && (attempt.source == attempt.cache || attempt.onlyIfCached);
    states.get(attempt.cache).inFlight.shiftRest(look ? change : 0.5 * change, now);
    fillsInFlight.shiftRest(look ? 0 : change, now);
  }

  /** The fills that all gateways have out, and one more. */
  double fleetFillsInFlight(double now) {
    return fillsInFlight.rest()
        + (settings.zoneGatewayCount() - 1) * fillsInFlight.valueAt(now)
        + 1;
  }

  /** The fills that the location's link bears; untold, it is 0.45 of what its edges bear. */
  double fillCapacity() {
    return settings.inboundLinkCapacity() > 0
        ? settings.inboundLinkCapacity()
        : 0.45 * edgeCapacity();
  }

  double edgeCapacity() {
    return concurrencyLimit.limit()
        * edges.stream().filter(e -> e.cache.isReady()).mapToDouble(e -> e.size).sum();
  }
}
