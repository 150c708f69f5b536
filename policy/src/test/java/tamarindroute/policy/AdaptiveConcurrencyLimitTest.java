package tamarindroute.policy;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import tamarindroute.decision.PolicySettings.WeightMeaning;

/** How far the limit follows hits, with configured weights and without. */
class AdaptiveConcurrencyLimitTest {

  private static final int HITS = 300;

  private static AdaptiveConcurrencyLimit configured() {
    return AdaptiveConcurrencyLimit.of(WeightMeaning.NOMINAL);
  }

  /**
   * Records hits at a low and a high concurrency by turns.
   *
   * @param slowdown how many times longer than on an idle cache the hits at high concurrency take
   * @return the limit afterwards
   */
  private static double limitAfterHits(
      AdaptiveConcurrencyLimit limit, double low, double high, double slowdown) {
    for (int i = 0; i < HITS; i++) {
      limit.sample(low, 1, true);
      limit.sample(high, slowdown, true);
    }
    return limit.limit();
  }

  /**
   * The estimate must not drift with the counted concurrency: a configured limit is right within a
   * factor.
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
   * Hits that take a little longer at growing concurrency are the beginning of queueing, not spare
   * capacity.
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
