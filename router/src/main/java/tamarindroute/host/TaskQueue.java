package tamarindroute.host;

import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.locks.LockSupport;

/**
 * Owns what any thread hands over to one that runs it, and that one's rest while there is nothing.
 * It must never lose a task, change the order of one thread's tasks, or let the owner rest on with
 * a task waiting; it takes no lock.
 */
class TaskQueue {

  private final Thread owner;
  private final ConcurrentLinkedQueue<Runnable> tasks = new ConcurrentLinkedQueue<>();
  private volatile boolean waiting;

  TaskQueue(Thread owner) {
    this.owner = owner;
  }

  /**
   * On any thread. The task is in before the look at the rest, and the rest is told before the look
   * for tasks.
   */
  void add(Runnable task) {
    tasks.add(task);
    if (waiting) {
      unpark(owner);
    }
  }

  /** On the owner's thread: the next task, or null. */
  Runnable poll() {
    return tasks.poll();
  }

  /** On the owner's thread: rests until a task comes, so long at most; it may end for no reason. */
  void awaitTask(long timeoutNanos) {
    waiting = true;
    if (tasks.isEmpty()) {
      park(timeoutNanos);
    }
    waiting = false;
  }

  /** Where the owner rests; a checker of interleavings has rests and wakes of its own. */
  void park(long timeoutNanos) {
    LockSupport.parkNanos(this, timeoutNanos);
  }

  void unpark(Thread waitingThread) {
    LockSupport.unpark(waitingThread);
  }
}
