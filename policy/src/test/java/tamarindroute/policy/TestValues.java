package tamarindroute.policy;

import java.time.Duration;
import tamarindroute.decision.Cache;
import tamarindroute.decision.RequestClass;

/** Caches and request classes that several tests use. */
final class TestValues {

  private TestValues() {}

  static Cache cache(long stableId, Cache.Tier tier, double weight) {
    Cache cache = new Cache(stableId);
    cache.tier = tier;
    cache.weight = weight;
    return cache;
  }

  /** Returns an idempotent, cacheable class whose copies do not age. */
  static RequestClass cacheableClass(Duration latencyObjective, double transferTimeFactor) {
    return cacheableClass(latencyObjective, transferTimeFactor, Duration.ZERO);
  }

  /** Returns an idempotent, cacheable class. */
  static RequestClass cacheableClass(
      Duration latencyObjective, double transferTimeFactor, Duration maxAge) {
    return new RequestClass(
        RequestClass.Idempotency.IDEMPOTENT,
        RequestClass.DeduplicationScope.ALL,
        Duration.ZERO,
        latencyObjective,
        transferTimeFactor,
        true,
        maxAge);
  }
}
