package tamarindroute.gateway;

import java.time.Duration;
import tamarindroute.host.EventLoop;

/** The time limit of the frame that a client is sending. Confined to the event loop. */
final class FrameTimeout {

  /**
   * Longest time from the opening of a connection to the last byte of its first request, and from
   * the first byte of a later request to its last.
   */
  static final Duration LIMIT = Duration.ofSeconds(2);

  /** Bytes that arrived later do not keep an incomplete frame's connection open any more. */
  private static final Duration MAX_EXTENSION = LIMIT;

  private final EventLoop eventLoop;
  private final Runnable overdueListener;
  private Duration overdueAt;
  private boolean overdue;

  /** Cancels the timer. Null between frames. */
  private Runnable cancelTimer;

  /**
   * Creates a time limit that has not started.
   *
   * @param overdueListener run when a frame exceeds the limit
   */
  FrameTimeout(EventLoop eventLoop, Runnable overdueListener) {
    this.eventLoop = eventLoop;
    this.overdueListener = overdueListener;
  }

  /** Starts the limit for a frame, unless it has started. */
  void start() {
    if (cancelTimer == null) {
      overdueAt = eventLoop.now().plus(LIMIT);
      cancelTimer = eventLoop.schedule(LIMIT, this::onTimer);
    }
  }

  private void onTimer() {
    overdue = true;
    overdueListener.run();
  }

  /** The frame is complete, or its connection has ended. */
  void stop() {
    if (cancelTimer != null) {
      cancelTimer.run();
      cancelTimer = null;
    }
    overdue = false;
  }

  /** Whether the frame has exceeded the limit. */
  boolean isOverdue() {
    return overdue;
  }

  /** Whether the frame is incomplete though bytes that arrived at this time were read. */
  boolean isHopeless(Duration receivedAt) {
    return overdue && receivedAt.compareTo(overdueAt.plus(MAX_EXTENSION)) > 0;
  }
}
