package tamarindroute.agreement.raft;

import java.time.Duration;

/** The one thread that all of this runs on, and its monotonic clock. */
public interface EventLoop {

  /** Runs it on the owner's thread, after what it is at, in the order given. */
  void execute(Runnable task);

  /** Runs it on the owner's thread once this time has passed. */
  void schedule(Runnable task, Duration after);

  /** Since the instance's start. */
  Duration now();
}
