package tamarindroute.host;

import static tamarindroute.Interleavings.require;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.junit.jupiter.api.Test;
import tamarindroute.Interleavings;

/**
 * Tasks added while the consumer polls and waits: none is lost or run twice, each producer's order
 * is kept, and the consumer never waits with a task queued.
 */
class TaskQueueRaceTest {

  /**
   * Waits without timeouts and spurious wake-ups, so that a lost wake-up is a thread that never
   * ends.
   */
  private static class UntimedQueue extends TaskQueue {
    private boolean wakeUpPending;

    UntimedQueue() {
      super(null);
    }

    @Override
    synchronized void park(long nanos) {
      while (!wakeUpPending) {
        try {
          wait();
        } catch (InterruptedException e) {
          throw new IllegalStateException(e);
        }
      }
      wakeUpPending = false;
    }

    @Override
    synchronized void unpark(Thread resting) {
      wakeUpPending = true;
      notifyAll();
    }
  }

  /** Seeded fault: checks the queue before it sets the flag. */
  private static final class ChecksBeforeWaiting extends UntimedQueue {
    private final ConcurrentLinkedQueue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private volatile boolean waiting;

    @Override
    void add(Runnable task) {
      tasks.add(task);
      if (waiting) {
        unpark(null);
      }
    }

    @Override
    Runnable poll() {
      return tasks.poll();
    }

    @Override
    void awaitTask(long nanos) {
      if (tasks.isEmpty()) {
        waiting = true;
        park(nanos);
      }
      waiting = false;
    }
  }

  /** Seeded fault: adds a task by reading the list and writing it back. */
  private static final class ReadsThenWrites extends UntimedQueue {
    private volatile List<Runnable> tasks = List.of();

    @Override
    void add(Runnable task) {
      List<Runnable> more = new ArrayList<>(tasks);
      more.add(task);
      tasks = more;
      unpark(null);
    }

    @Override
    synchronized Runnable poll() {
      List<Runnable> now = tasks;
      if (now.isEmpty()) {
        return null;
      }
      tasks = now.subList(1, now.size());
      return now.get(0);
    }

    @Override
    void awaitTask(long nanos) {
      park(nanos);
    }
  }

  /** This thread is the consumer; two others add tasks, one of them twice. */
  private static void addFromTwoThreads(TaskQueue queue) {
    StringBuilder executionOrder = new StringBuilder();
    Runnable consumer =
        () -> {
          while (executionOrder.length() < 3) {
            Runnable task = queue.poll();
            if (task == null) {
              queue.awaitTask(Long.MAX_VALUE);
            } else {
              task.run();
            }
          }
        };
    Interleavings.runConcurrently(
        () -> {
          queue.add(() -> executionOrder.append('a'));
          queue.add(() -> executionOrder.append('b'));
        },
        () ->
            Interleavings.runConcurrently(
                () -> queue.add(() -> executionOrder.append('c')), consumer));
    String order = executionOrder.toString();
    require(
        order.indexOf('a') < order.indexOf('b')
            && order.indexOf('a') >= 0
            && order.indexOf('c') >= 0,
        order);
    require(queue.poll() == null, "no task runs twice");
  }

  @Test
  void allTasksRunOnceInOrder() {
    Interleavings.assertHolds(() -> addFromTwoThreads(new UntimedQueue()));
  }

  @Test
  void aLostWakeUpIsFound() {
    Interleavings.assertFails(() -> addFromTwoThreads(new ChecksBeforeWaiting()));
  }

  @Test
  void aLostTaskIsFound() {
    Interleavings.assertFails(() -> addFromTwoThreads(new ReadsThenWrites()));
  }
}
