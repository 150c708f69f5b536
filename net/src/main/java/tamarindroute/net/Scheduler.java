package tamarindroute.net;

import java.time.Duration;

/** The event loop with its clock and timers. */
public interface Scheduler {

  /** The time since the start by the monotonic clock; on any thread. */
  Duration now();

  /**
   * Runs the task on the event loop, after all tasks that the calling thread gave before; on any
   * thread.
   */
  void execute(Runnable task);

  /**
   * Runs the task on the event loop after a delay; called on that thread.
   *
   * @return cancels the task if it has not run yet; to be run on the event loop
   */
  Runnable schedule(Duration delay, Runnable task);
}
