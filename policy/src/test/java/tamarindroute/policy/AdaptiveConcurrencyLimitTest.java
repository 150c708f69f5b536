package tamarindroute.policy;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/**
 * How far the limit of what caches bear follows hits, where a weight was told and where none was.
 */
class AdaptiveConcurrencyLimitTest {

  /** Hits by turns among few and among many: the times that each took, over its time alone. */
  private static AdaptiveConcurrencyLimit after(
      AdaptiveConcurrencyLimit capacity,
      int hits,
      double few,
      double many,
      double slowerAmongMany) {
    for (int i = 0; i < hits; i++) {
      capacity.sample(few, 1, true);
      capacity.sample(many, slowerAmongMany, true);
    }
    return capacity;
  }

  /**
   * Guards against an estimate that wanders with what is counted in hand: a told size is right
   * within a factor.
   */
  @Test
  void aToldSizeStaysWhileHitsContradictItLittle() {
    assertThat(after(new AdaptiveConcurrencyLimit(1, 2), 300, 0.5, 1.6, 1).limit()).isEqualTo(1);
    assertThat(after(new AdaptiveConcurrencyLimit(1, 2), 300, 0.5, 2, 3).limit()).isEqualTo(1);
  }

  @Test
  void aToldSizeYieldsToHitsThatContradictItClearly() {
    assertThat(after(new AdaptiveConcurrencyLimit(1, 2), 300, 0.5, 6, 1).limit()).isGreaterThan(5);
    assertThat(after(new AdaptiveConcurrencyLimit(1, 2), 300, 0.5, 2, 10).limit()).isLessThan(0.3);
  }

  /**
   * Guards against room that was never there: a tenth more than alone, among ever more, is a crowd
   * that begins.
   */
  @Test
  void hitsThatTookLongerAmongManyProveNoRoom() {
    assertThat(after(new AdaptiveConcurrencyLimit(1, 2), 300, 0.5, 6, 1.15).limit()).isEqualTo(1);
  }

  @Test
  void whatWasNotToldIsFoundOut() {
    assertThat(after(new AdaptiveConcurrencyLimit(1e6, 1), 300, 4, 30, 2).limit())
        .isBetween(10.0, 20.0);
  }
}
