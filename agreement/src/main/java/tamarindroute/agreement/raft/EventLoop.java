package tamarindroute.agreement.raft;

import java.time.Duration;

/** The single thread that a voter runs on, and its monotonic clock. */
public interface EventLoop {

  /**
   * Runs a task on the event loop's thread after the current task. Tasks run in submission order.
   */
  void execute(Runnable task);

  /** Runs a task on the event loop's thread once a delay has passed. */
  void schedule(Runnable task, Duration delay);

  /** Returns the monotonic time since an arbitrary origin. */
  Duration now();
}
