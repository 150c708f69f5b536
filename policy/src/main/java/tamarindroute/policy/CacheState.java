package tamarindroute.policy;

import java.time.Duration;
import java.util.Objects;
import tamarindroute.decision.Cache;
import tamarindroute.decision.LoadReport;
import tamarindroute.decision.PolicySettings;
import tamarindroute.decision.RequestClass;
import tamarindroute.numeric.Hashing;

/** What a gateway knows about one cache, mostly from its own attempts there. */
final class CacheState {

  private final Cache cache;
  private final PolicySettings settings;
  private final AdaptiveConcurrencyLimit limit;
  private final long hashSeed;
  private final CacheWeight weight;
  private final OutlierDetector outliers = new OutlierDetector();
  private final SlowStartBudget slowStart;
  private final ConcurrencyEstimate concurrency;
  private final SlowdownEstimate slowdown;
  private final FillLatency fillLatency = new FillLatency();
  private Duration startedAt;
  private int hubDistance;
  private double rendezvousScore;

  CacheState(
      Cache cache,
      PolicySettings settings,
      AdaptiveConcurrencyLimit limit,
      QuotaGrants quotaGrants,
      RandomSequence random) {
    this.cache = cache;
    this.settings = settings;
    this.limit = limit;
    hashSeed = Hashing.mix(cache.stableId);
    weight = new CacheWeight(settings.weightMeaning());
    slowStart = new SlowStartBudget(cache, settings, weight, limit, quotaGrants, random);
    concurrency = new ConcurrencyEstimate(cache, settings, weight);
    slowdown = new SlowdownEstimate(concurrency, limit);
  }

  /**
   * Takes over the cache's fields; resets what describes the previous process if the start time has
   * changed.
   */
  void onEndpointUpdate(double now) {
    boolean restarted = !Objects.equals(startedAt, cache.startedAt);
    weight.update(cache.weight, restarted);
    hubDistance = isParent() ? settings.hubDistance(cache.zone) : 0;
    if (restarted) {
      startedAt = cache.startedAt;
      slowStart.reset(now);
      outliers.reset();
    }
  }

  Cache cache() {
    return cache;
  }

  OutlierDetector outliers() {
    return outliers;
  }

  SlowStartBudget slowStart() {
    return slowStart;
  }

  ConcurrencyEstimate concurrency() {
    return concurrency;
  }

  SlowdownEstimate slowdown() {
    return slowdown;
  }

  FillLatency fillLatency() {
    return fillLatency;
  }

  /** Returns the relative size used for capacity. */
  double size() {
    return weight.size();
  }

  /** Returns the hops between the own hub and the cache's. */
  int hubDistance() {
    return hubDistance;
  }

  boolean isReady() {
    return cache.isReady();
  }

  boolean isEjected() {
    return outliers.isEjected();
  }

  boolean isCold(double now) {
    return slowStart.isCold(now);
  }

  boolean isParent() {
    return cache.tier == Cache.Tier.PARENT;
  }

  boolean isEdge() {
    return cache.tier == Cache.Tier.EDGE;
  }

  /**
   * Whether the request may be sent there: ready, not ejected, and within the share of a cold
   * cache.
   */
  boolean isUsable(PlanningContext context) {
    return isReady() && !isEjected() && slowStart.admits(context);
  }

  /** Whether any request of this cost could be sent there without sampling. */
  boolean isUsable(double cost, double now) {
    return isReady() && !isEjected() && slowStart.covers(cost, now);
  }

  /**
   * Whether the request is now used to probe the cache, which is ejected; starts the wait for the
   * next probe.
   */
  boolean tryProbe(PlanningContext context) {
    boolean due =
        isReady()
            && outliers.isProbeDue(context.now())
            && slowStart.admits(context)
            && context.request().requestClass.idempotency() == RequestClass.Idempotency.IDEMPOTENT;
    if (due) {
      outliers.onProbe(context.now());
    }
    return due;
  }

  void onLoadReport(LoadReport report, double now) {
    slowdown.onLoadReport(report, now);
    concurrency.onLoadReport(report, now);
  }

  /**
   * Records the duration of a hit.
   *
   * @param duration seconds, without the wait that every hit has
   * @param transferTime what the transfer takes on an idle cache, in seconds
   * @param sizeKnown whether the transfer time follows from a known size
   * @return the factor by which the transfer was expected to take longer
   */
  double recordHit(double duration, double transferTime, boolean sizeKnown, double now) {
    double ratio = duration / transferTime;
    double perUnit = concurrency.perUnit(now);
    double expectedSlowdown = slowdown.factor(now);
    slowdown.recordHit(ratio, perUnit, now);
    if (!isCold(now)) {
      limit.sample(perUnit, ratio, sizeKnown);
    }
    return expectedSlowdown;
  }

  /** Computes the score by which {@link CacheTiers} ranks caches for a key, the lowest first. */
  void updateRendezvousScore(long key) {
    rendezvousScore =
        -Math.log(Hashing.fraction(Hashing.mix(key ^ hashSeed))) / weight.placementWeight();
  }

  double rendezvousScore() {
    return rendezvousScore;
  }
}
