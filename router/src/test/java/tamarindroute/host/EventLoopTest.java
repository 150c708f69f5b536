package tamarindroute.host;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;

/** The event loop's times while the system clock is set back and forward. */
class EventLoopTest {

  /** Far more than a busy machine delays a test, far less than the steps. */
  private static final Duration TOLERANCE = Duration.ofMinutes(1);

  private static final Duration STEP = Duration.ofHours(1);

  private final AtomicReference<Instant> wallClock =
      new AtomicReference<>(Instant.ofEpochSecond(1_764_576_000));
  private final EventLoop eventLoop = new EventLoop(wallClock::get);

  /** Deadlines must not move with the system clock. */
  @Test
  void settingTheSystemClockDoesNotMoveTime() {
    Duration from = eventLoop.now();
    wallClock.updateAndGet(now -> now.minus(STEP));
    assertThat(eventLoop.now()).isBetween(from, from.plus(TOLERANCE));
    wallClock.updateAndGet(now -> now.plus(STEP.multipliedBy(2)));
    assertThat(eventLoop.now()).isBetween(from, from.plus(TOLERANCE));
  }

  /** The current Unix time is now, whatever the system clock was at the start. */
  @Test
  void unixTimesAreConvertedWithTheCurrentSystemClock() {
    for (Duration step : new Duration[] {Duration.ZERO, STEP, STEP.multipliedBy(-2)}) {
      Instant now = wallClock.updateAndGet(before -> before.plus(step));
      Duration from = eventLoop.now();
      assertThat(eventLoop.fromUnixMillis(now.toEpochMilli()))
          .isBetween(from, from.plus(TOLERANCE));
      assertThat(eventLoop.fromUnixMillis(now.minusSeconds(7).toEpochMilli()).plusSeconds(7))
          .isBetween(from, from.plus(TOLERANCE));
      assertThat(eventLoop.fromUnixMillis(now.plusSeconds(7).toEpochMilli()).minusSeconds(7))
          .isBetween(from, from.plus(TOLERANCE));
    }
  }
}
