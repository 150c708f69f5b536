package tamarindroute.host;

import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.locks.LockSupport;

/**
 * Lock-free queue of tasks from any thread to one consumer thread, which parks while the queue is
 * empty. Keeps the order of each producer's tasks and never leaves the consumer parked while a task
 * is queued.
 */
class TaskQueue {

  private final Thread consumer;
  private final ConcurrentLinkedQueue<Runnable> tasks = new ConcurrentLinkedQueue<>();
  private volatile boolean waiting;

  /**
   * Creates an empty queue.
   *
   * @param consumer the only thread that polls and waits
   */
  TaskQueue(Thread consumer) {
    this.consumer = consumer;
  }

  /** Appends a task; may be called on any thread. */
  void add(Runnable task) {
    // Order matters: the task is queued before the flag is read, and awaitTask sets the flag before
    // it reads the queue, so one of the two sides always sees the other.
    tasks.add(task);
    if (waiting) {
      unpark(consumer);
    }
  }

  /** Removes the next task, on the consumer's thread; null if there is none. */
  Runnable poll() {
    return tasks.poll();
  }

  /** Waits for a task on the consumer's thread, at most for the timeout; may return spuriously. */
  void awaitTask(long timeoutNanos) {
    waiting = true;
    if (tasks.isEmpty()) {
      park(timeoutNanos);
    }
    waiting = false;
  }

  /** Parks the calling thread; overridden by the tests that explore interleavings. */
  void park(long timeoutNanos) {
    LockSupport.parkNanos(this, timeoutNanos);
  }

  /** Wakes the given thread; overridden by the tests that explore interleavings. */
  void unpark(Thread waitingThread) {
    LockSupport.unpark(waitingThread);
  }
}
