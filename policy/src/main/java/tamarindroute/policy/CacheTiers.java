package tamarindroute.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Stream;
import tamarindroute.decision.Cache;
import tamarindroute.decision.PolicySettings;

/**
 * The caches of the endpoint list by tier with the state of each, and their ranking for a placement
 * key.
 */
final class CacheTiers {

  private final PolicySettings settings;
  private final AdaptiveConcurrencyLimit limit;
  private final QuotaGrants quotaGrants;
  private final RandomSequence random;
  private final IdentityHashMap<Cache, CacheState> states = new IdentityHashMap<>();
  private List<CacheState> edges = List.of();
  private List<CacheState> parents = List.of();
  private List<CacheState> origins = List.of();

  CacheTiers(
      PolicySettings settings,
      AdaptiveConcurrencyLimit limit,
      QuotaGrants quotaGrants,
      RandomSequence random) {
    this.settings = settings;
    this.limit = limit;
    this.quotaGrants = quotaGrants;
    this.random = random;
  }

  /** Replaces the endpoint list. Caches that were on the previous list keep their state. */
  void onEndpoints(List<Cache> caches, double now) {
    states.keySet().retainAll(Set.copyOf(caches));
    for (Cache cache : caches) {
      states.computeIfAbsent(cache, this::newState).onEndpointUpdate(now);
    }
    edges = select(caches, cache -> cache.tier == Cache.Tier.EDGE && cache.zone == settings.zone());
    parents = select(caches, cache -> cache.tier == Cache.Tier.PARENT);
    origins = select(caches, cache -> cache.tier == Cache.Tier.ORIGIN);
  }

  private CacheState newState(Cache cache) {
    return new CacheState(cache, settings, limit, quotaGrants, random);
  }

  private List<CacheState> select(List<Cache> caches, Predicate<Cache> condition) {
    return caches.stream().filter(condition).map(states::get).toList();
  }

  /** Returns the edges of this gateway's zone, in the order of the endpoint list. */
  List<CacheState> edges() {
    return edges;
  }

  /** Returns the parents of all zones, in the order of the endpoint list. */
  List<CacheState> parents() {
    return parents;
  }

  List<CacheState> origins() {
    return origins;
  }

  /** Returns the caches of a tier in all zones, in no particular order. */
  Stream<CacheState> all(Cache.Tier tier) {
    return states.values().stream().filter(state -> state.cache().tier == tier);
  }

  /** Returns the state of a cache; empty if the cache is not on the endpoint list. */
  Optional<CacheState> find(Cache cache) {
    return Optional.ofNullable(states.get(cache));
  }

  /** Returns the state of a cache that is on the endpoint list; null for any other cache. */
  CacheState get(Cache cache) {
    return states.get(cache);
  }

  Optional<CacheState> firstReadyOrigin() {
    return first(origins, CacheState::isReady);
  }

  long readyEdgeCount() {
    return edges.stream().filter(CacheState::isReady).count();
  }

  boolean hasReadyEdge() {
    return edges.stream().anyMatch(CacheState::isReady);
  }

  /**
   * Returns the caches ranked for a key by weighted rendezvous hashing. All gateways compute the
   * same ranking, and a change of the list moves only the keys of the caches that changed.
   */
  static List<CacheState> ranked(List<CacheState> caches, long key) {
    List<CacheState> ranked = new ArrayList<>(caches);
    ranked.forEach(state -> state.updateRendezvousScore(key));
    ranked.sort(Comparator.comparingDouble(CacheState::rendezvousScore));
    return ranked;
  }

  /** Returns the first cache of the ranking for a key that matches, without sorting the list. */
  static Optional<CacheState> firstRanked(
      List<CacheState> caches, long key, Predicate<CacheState> condition) {
    caches.forEach(state -> state.updateRendezvousScore(key));
    return caches.stream()
        .filter(condition)
        .min(Comparator.comparingDouble(CacheState::rendezvousScore));
  }

  /** Returns the first match in the order of the list. */
  static Optional<CacheState> first(List<CacheState> caches, Predicate<CacheState> condition) {
    return caches.stream().filter(condition).findFirst();
  }

  /** Returns the match with the lowest concurrency per unit of size. */
  static Optional<CacheState> leastBusy(
      List<CacheState> caches, Predicate<CacheState> condition, double now) {
    return caches.stream()
        .filter(condition)
        .min(Comparator.comparingDouble(state -> state.concurrency().perUnit(now)));
  }
}
