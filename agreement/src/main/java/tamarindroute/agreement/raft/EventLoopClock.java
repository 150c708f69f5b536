package tamarindroute.agreement.raft;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;

/**
 * Supplies the event loop's monotonic time to MicroRaft as a {@link Clock}. The library only
 * compares the clock's readings to each other, so they need not be wall-clock time.
 */
final class EventLoopClock extends Clock {

  /** Added to all readings, as MicroRaft treats a reading of 0 as "never". */
  private static final long CLOCK_OFFSET_MILLIS = 1_000_000L;

  private final EventLoop eventLoop;

  EventLoopClock(EventLoop eventLoop) {
    this.eventLoop = eventLoop;
  }

  /** Converts a time of the event loop to a reading of this clock in milliseconds. */
  static long toClockMillis(Duration eventLoopTime) {
    return CLOCK_OFFSET_MILLIS + eventLoopTime.toMillis();
  }

  @Override
  public ZoneId getZone() {
    return ZoneOffset.UTC;
  }

  @Override
  public Clock withZone(ZoneId zone) {
    return this;
  }

  @Override
  public Instant instant() {
    return Instant.ofEpochMilli(millis());
  }

  @Override
  public long millis() {
    return toClockMillis(eventLoop.now());
  }
}
