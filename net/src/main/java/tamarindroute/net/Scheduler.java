package tamarindroute.net;

import java.time.Duration;

/** The owner's thread, its clock and its timers. */
public interface Scheduler {

  /** The time since the gateway's start; on any thread. */
  Duration now();

  /** Does it soon on the owner's thread; on any thread. */
  void execute(Runnable task);

  /** Does it later; run what is returned to call it off. Both on the owner's thread only. */
  Runnable schedule(Duration span, Runnable task);
}
