package tamarindroute.agreement.raft;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;

/**
 * The event loop's monotonic time as the clock that MicroRaft asks for. The library only compares
 * its readings to each other.
 */
final class EventLoopClock extends Clock {

  /** Offset of all readings, as the library takes 0 for "never". */
  private static final long START_MILLIS = 1_000_000L;

  private final EventLoop eventLoop;

  EventLoopClock(EventLoop eventLoop) {
    this.eventLoop = eventLoop;
  }

  /** Converts a time of the event loop to a reading of this clock. */
  static long toClockMillis(Duration eventLoopTime) {
    return START_MILLIS + eventLoopTime.toMillis();
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
