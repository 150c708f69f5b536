package tamarindroute.host;

import java.time.Duration;
import java.time.Instant;
import java.util.PriorityQueue;
import java.util.function.Supplier;
import tamarindroute.log.Log;
import tamarindroute.net.Scheduler;

/**
 * Single-threaded event loop with timers. All state of a router instance is confined to its thread.
 *
 * <p>Times are durations since the start by the monotonic clock, so setting the system clock moves
 * no deadline. Timers that are due run before queued tasks, so that a backlog of tasks delays no
 * deadline. An exception in a task is logged and does not end the thread.
 */
public final class EventLoop implements Scheduler {

  /** Below this many cancelled timers, removing them from the queue is not worthwhile. */
  private static final int MIN_CANCELLED_BEFORE_PURGE = 1000;

  private final long startNanos = System.nanoTime();
  private final Supplier<Instant> wallClock;
  private final PriorityQueue<ScheduledTask> timers = new PriorityQueue<>();
  private final Thread thread = new Thread(this::run, "event-loop");
  private final TaskQueue taskQueue = new TaskQueue(thread);
  private int cancelledTimers;

  /** Starts an event loop that converts Unix times by the system clock. */
  public EventLoop() {
    this(Instant::now);
  }

  /**
   * Starts an event loop that converts Unix times by the given clock.
   *
   * @param wallClock the current time of day
   */
  EventLoop(Supplier<Instant> wallClock) {
    this.wallClock = wallClock;
    thread.start();
  }

  @Override
  public Duration now() {
    return Duration.ofNanos(System.nanoTime() - startNanos);
  }

  /**
   * Converts a Unix time to a duration since the start; negative for times before it.
   *
   * @param unixMillis milliseconds since 1970-01-01T00:00Z
   */
  public Duration fromUnixMillis(long unixMillis) {
    // The wall clock is read first: a pause between both readings then makes the event look later
    // than it was, which is the safe side for purges and process starts.
    Duration elapsed = Duration.between(Instant.ofEpochMilli(unixMillis), wallClock.get());
    return now().minus(elapsed);
  }

  @Override
  public void execute(Runnable task) {
    taskQueue.add(task);
  }

  @Override
  public Runnable schedule(Duration delay, Runnable task) {
    ScheduledTask timer = new ScheduledTask(System.nanoTime() + Math.max(0, delay.toNanos()), task);
    timers.add(timer);
    return () -> cancel(timer);
  }

  /** Releases the task at once, and the queue entries once most of them are cancelled. */
  private void cancel(ScheduledTask timer) {
    if (timer.task == null) {
      return;
    }
    timer.task = null;
    cancelledTimers++;
    if (cancelledTimers > MIN_CANCELLED_BEFORE_PURGE && cancelledTimers > timers.size() / 2) {
      timers.removeIf(other -> other.task == null);
      cancelledTimers = 0;
    }
  }

  private void run() {
    while (true) {
      ScheduledTask next = timers.peek();
      long remainingNanos = next == null ? Long.MAX_VALUE : next.dueNanos - System.nanoTime();
      if (remainingNanos <= 0) {
        runTimer(timers.poll());
        continue;
      }
      Runnable task = taskQueue.poll();
      if (task == null) {
        taskQueue.awaitTask(remainingNanos);
      } else {
        runGuarded(task);
      }
    }
  }

  private void runTimer(ScheduledTask timer) {
    Runnable task = timer.task;
    if (task == null) {
      cancelledTimers--;
      return;
    }
    timer.task = null;
    runGuarded(task);
  }

  private static void runGuarded(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException | OutOfMemoryError | StackOverflowError e) {
      Log.defect(e);
    }
  }

  /** A queued timer; its task is null once it was run or cancelled. */
  private static final class ScheduledTask implements Comparable<ScheduledTask> {
    private final long dueNanos;
    private Runnable task;

    ScheduledTask(long dueNanos, Runnable task) {
      this.dueNanos = dueNanos;
      this.task = task;
    }

    @Override
    public int compareTo(ScheduledTask other) {
      return Long.signum(dueNanos - other.dueNanos);
    }
  }
}
