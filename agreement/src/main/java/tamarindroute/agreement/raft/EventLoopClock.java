package tamarindroute.agreement.raft;

import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;

/**
 * The owner's monotonic time in the form the library asks for; the library compares its times to
 * each other only.
 */
final class EventLoopClock extends Clock {

  /** The library takes 0 for never. */
  static final long START_MILLIS = 1_000_000L;

  private final EventLoop eventLoop;

  EventLoopClock(EventLoop eventLoop) {
    this.eventLoop = eventLoop;
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
    return START_MILLIS + eventLoop.now().toMillis();
  }
}
