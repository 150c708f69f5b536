package tamarindroute.host;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;

/** The clock under a system's clock that is set back and forward. */
class ClockTest {

  /** Far more than a busy machine stops a test, far less than the steps. */
  private static final Duration BIT = Duration.ofMinutes(1);

  private static final Duration STEP = Duration.ofHours(1);

  private final AtomicReference<Instant> wall =
      new AtomicReference<>(Instant.ofEpochSecond(1_764_576_000));
  private final Clock clock = new Clock(wall::get);

  /** Deadlines, windows and drains were measured by the system's clock, and timers by the other. */
  @Test
  void aSystemClockThatIsSetMovesNoTime() {
    Duration from = clock.now();
    wall.updateAndGet(now -> now.minus(STEP));
    assertThat(clock.now()).isBetween(from, from.plus(BIT));
    wall.updateAndGet(now -> now.plus(STEP.multipliedBy(2)));
    assertThat(clock.now()).isBetween(from, from.plus(BIT));
  }

  /** What is told now in Unix time lies now, whatever the system's clock was at the start. */
  @Test
  void unixTimesAreReadByTheSystemClockAsItIsThen() {
    for (Duration step : new Duration[] {Duration.ZERO, STEP, STEP.multipliedBy(-2)}) {
      Instant now = wall.updateAndGet(before -> before.plus(step));
      Duration from = clock.now();
      assertThat(clock.at(now.toEpochMilli())).isBetween(from, from.plus(BIT));
      assertThat(clock.at(now.minusSeconds(7).toEpochMilli()).plusSeconds(7))
          .isBetween(from, from.plus(BIT));
      assertThat(clock.at(now.plusSeconds(7).toEpochMilli()).minusSeconds(7))
          .isBetween(from, from.plus(BIT));
    }
  }
}
