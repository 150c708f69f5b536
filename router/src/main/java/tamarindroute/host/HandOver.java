package tamarindroute.host;

import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.locks.LockSupport;

/**
 * Owns what any thread hands over to one that runs it, and that one's rest while there is nothing.
 * It must never lose a task, change the order of one thread's tasks, or let the owner rest on with
 * a task waiting; it takes no lock.
 */
class HandOver {

  private final Thread owner;
  private final ConcurrentLinkedQueue<Runnable> handed = new ConcurrentLinkedQueue<>();
  private volatile boolean resting;

  HandOver(Thread owner) {
    this.owner = owner;
  }

  /**
   * On any thread. The task is in before the look at the rest, and the rest is told before the look
   * for tasks.
   */
  void handOver(Runnable task) {
    handed.add(task);
    if (resting) {
      unpark(owner);
    }
  }

  /** On the owner's thread: the next task, or null. */
  Runnable poll() {
    return handed.poll();
  }

  /** On the owner's thread: rests until a task comes, so long at most; it may end for no reason. */
  void rest(long nanos) {
    resting = true;
    if (handed.isEmpty()) {
      park(nanos);
    }
    resting = false;
  }

  /** Where the owner rests; a checker of interleavings has rests and wakes of its own. */
  void park(long nanos) {
    LockSupport.parkNanos(this, nanos);
  }

  void unpark(Thread resting) {
    LockSupport.unpark(resting);
  }
}
