package tamarindroute.policy;

import java.time.Duration;
import java.util.Objects;
import tamarindroute.decision.Cache;
import tamarindroute.decision.LoadReport;
import tamarindroute.decision.PolicySettings;
import tamarindroute.decision.RequestClass;
import tamarindroute.numeric.Hashing;

/** The state that a gateway keeps of one cache, measured mostly by its own attempts there. */
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
   * Updates the state from the fields of the cache. If the start time has changed, outlier evidence
   * and slow start budget of the previous process are cleared.
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

  /** Returns the size in capacity units, above 0. */
  double size() {
    return weight.size();
  }

  /**
   * Returns the hops along the ring of hubs between this gateway's hub and that of a parent; 0 for
   * other tiers.
   */
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
   * Whether the request may be sent to the cache: it is ready, not ejected and, if cold, within its
   * slow start budget.
   */
  boolean isUsable(PlanningContext context) {
    return isReady() && !isEjected() && slowStart.admits(context);
  }

  /**
   * Whether a request of this cost may be sent to the cache without sampling.
   *
   * @param cost seconds of transfer
   * @param now seconds since the start of the instance
   */
  boolean isUsable(double cost, double now) {
    return isReady() && !isEjected() && slowStart.covers(cost, now);
  }

  /**
   * Whether the request is used to probe the ejected cache. If so, the delay before the next probe
   * starts. Only idempotent requests are used.
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

  /** Updates the estimates with the values that the cache reported. */
  void onLoadReport(LoadReport report, double now) {
    slowdown.onLoadReport(report, now);
    concurrency.onLoadReport(report, now);
  }

  /**
   * Records the duration of a hit.
   *
   * @param duration seconds, without the shortest wait that every hit has
   * @param transferTime duration of the transfer on an idle cache, in seconds
   * @param sizeKnown whether the transfer time was computed from a known size
   * @return the factor by which the transfer was expected to take longer than on an idle cache
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

  /**
   * Computes the score by which {@link CacheTiers} ranks caches for a key. The lowest score is
   * first.
   */
  void updateRendezvousScore(long key) {
    rendezvousScore =
        -Math.log(Hashing.fraction(Hashing.mix(key ^ hashSeed))) / weight.placementWeight();
  }

  double rendezvousScore() {
    return rendezvousScore;
  }
}
