package tamarindroute.log;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** One line a second for each topic. */
class GuardTest {

  @Test
  void aTopicGetsOneLineASecondAndTheNextTellsHowManyWereLeftOut() {
    Guard guard = new Guard();
    assertThat(guard.pass("a", 1000)).isZero();
    for (int i = 1; i <= 5; i++) {
      assertThat(guard.pass("a", 1000 + i)).isEqualTo(-1);
    }
    assertThat(guard.pass("b", 1001)).as("another topic").isZero();
    assertThat(guard.pass("a", 2000)).isEqualTo(5);
    assertThat(guard.pass("a", 3000)).isZero();
  }

  /** A clock that was set back by an hour silenced each topic for that hour. */
  @Test
  void aClockSetBackSilencesNothing() {
    Guard guard = new Guard();
    guard.pass("a", 10_000_000);
    assertThat(guard.pass("a", 6_400_000)).isZero();
  }
}
