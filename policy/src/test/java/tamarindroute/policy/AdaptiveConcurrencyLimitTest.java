package tamarindroute.policy;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import tamarindroute.decision.PolicySettings.WeightMeaning;

/**
 * Tests {@link AdaptiveConcurrencyLimit} with and without configured weights. The tests guard
 * against a limit that drifts with the counted concurrency, and against one that rises although
 * queueing has begun.
 */
class AdaptiveConcurrencyLimitTest {

  private static final int HITS_PER_CONCURRENCY = 300;

  private static AdaptiveConcurrencyLimit configured() {
    return AdaptiveConcurrencyLimit.of(WeightMeaning.NOMINAL);
  }

  /**
   * Records hits at a low and a high concurrency in turn and returns the resulting limit.
   *
   * @param low transfers per unit of size for hits that take as long as on an idle cache
   * @param high transfers per unit of size for hits that take longer
   * @param slowdown factor by which hits at the high concurrency take longer than on an idle cache
   */
  private static double limitAfterHits(
      AdaptiveConcurrencyLimit limit, double low, double high, double slowdown) {
    for (int i = 0; i < HITS_PER_CONCURRENCY; i++) {
      limit.sample(low, 1, true);
      limit.sample(high, slowdown, true);
    }
    return limit.limit();
  }

  /**
   * The estimate must not drift with the counted concurrency. A configured limit holds until hits
   * contradict it by a factor of more than 2.
   */
  @Test
  void configuredLimitHoldsAgainstSlightContradiction() {
    assertThat(limitAfterHits(configured(), 0.5, 1.6, 1)).isEqualTo(1);
    assertThat(limitAfterHits(configured(), 0.5, 2, 3)).isEqualTo(1);
  }

  @Test
  void configuredLimitYieldsToClearContradiction() {
    assertThat(limitAfterHits(configured(), 0.5, 6, 1)).isGreaterThan(5);
    assertThat(limitAfterHits(configured(), 0.5, 2, 10)).isLessThan(0.3);
  }

  /**
   * Hits that take slightly longer as concurrency grows show the beginning of queueing, not spare
   * capacity. Counted as capacity, they would raise the limit further with each hit.
   */
  @Test
  void slightlySlowerHitsProveNoSpareCapacity() {
    assertThat(limitAfterHits(configured(), 0.5, 6, 1.15)).isEqualTo(1);
  }

  @Test
  void unknownLimitIsFound() {
    AdaptiveConcurrencyLimit unknown = AdaptiveConcurrencyLimit.of(WeightMeaning.OFF);
    assertThat(limitAfterHits(unknown, 4, 30, 2)).isBetween(10.0, 20.0);
  }
}
