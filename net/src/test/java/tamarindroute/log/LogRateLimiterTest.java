package tamarindroute.log;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** The limit of one line a second for each topic. */
class LogRateLimiterTest {

  @Test
  void oneLinePerSecondAndTopicAndTheNextReportsHowManyWereSuppressed() {
    LogRateLimiter limiter = new LogRateLimiter();
    assertThat(limiter.admit("a", 1000)).isZero();
    for (int i = 1; i <= 5; i++) {
      assertThat(limiter.admit("a", 1000 + i)).isEqualTo(-1);
    }
    assertThat(limiter.admit("b", 1001)).as("another topic").isZero();
    assertThat(limiter.admit("a", 2000)).isEqualTo(5);
    assertThat(limiter.admit("a", 3000)).isZero();
  }

  /** Otherwise a topic would be silent until the clock has caught up. */
  @Test
  void aClockSetBackSuppressesNothing() {
    LogRateLimiter limiter = new LogRateLimiter();
    limiter.admit("a", 10_000_000);
    assertThat(limiter.admit("a", 6_400_000)).isZero();
  }
}
