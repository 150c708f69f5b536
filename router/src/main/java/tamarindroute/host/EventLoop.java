package tamarindroute.host;

import java.time.Duration;
import java.time.Instant;
import java.util.PriorityQueue;
import java.util.function.Supplier;
import tamarindroute.log.Log;
import tamarindroute.net.Scheduler;

/**
 * Owns the one thread that the module, the views and the timers belong to, and the time since the
 * start by the monotonic clock: a system's clock that is set moves no deadline. Only what others
 * tell in Unix time is converted, by the system's clock as it is then. Timers that are due go
 * before what was handed over, so that a backlog delays no final answer. A failure in a task is
 * logged and must never end the thread; nothing here takes a lock.
 */
public final class EventLoop implements Scheduler {

  private static final class ScheduledTask implements Comparable<ScheduledTask> {
    final long dueNanos;
    Runnable task;

    ScheduledTask(long due, Runnable task) {
      this.dueNanos = due;
      this.task = task;
    }

    @Override
    public int compareTo(ScheduledTask other) {
      return Long.signum(dueNanos - other.dueNanos);
    }
  }

  /** So few timers that were called off are not worth looking for. */
  private static final int MIN_CANCELLED_BEFORE_PURGE = 1000;

  private final long startNanos = System.nanoTime();
  private final Supplier<Instant> wallClock;
  private final PriorityQueue<ScheduledTask> timers = new PriorityQueue<>();
  private final Thread owner = new Thread(this::run, "owner");
  private final TaskQueue taskQueue = new TaskQueue(owner);
  private int cancelledTimers;

  public EventLoop() {
    this(Instant::now);
  }

  /** With another clock for Unix time; a test sets it back and forward. */
  EventLoop(Supplier<Instant> wallClock) {
    this.wallClock = wallClock;
    owner.start();
  }

  @Override
  public Duration now() {
    return Duration.ofNanos(System.nanoTime() - startNanos);
  }

  /**
   * A Unix time in milliseconds as a time since the start; it may lie before it. The system's clock
   * is read first: a pause between the two makes a purge or a start look later, which is the
   * careful side.
   */
  public Duration fromUnixMillis(long unixMillis) {
    Duration elapsed = Duration.between(Instant.ofEpochMilli(unixMillis), wallClock.get());
    return now().minus(elapsed);
  }

  @Override
  public void execute(Runnable task) {
    taskQueue.add(task);
  }

  /**
   * A timer that is called off lets go of its task at once, and of its place when most of them are
   * so.
   */
  @Override
  public Runnable schedule(Duration delay, Runnable task) {
    ScheduledTask timer = new ScheduledTask(System.nanoTime() + Math.max(0, delay.toNanos()), task);
    timers.add(timer);
    return () -> {
      if (timer.task != null) {
        timer.task = null;
        if (++cancelledTimers > MIN_CANCELLED_BEFORE_PURGE && cancelledTimers > timers.size() / 2) {
          timers.removeIf(t -> t.task == null);
          cancelledTimers = 0;
        }
      }
    };
  }

  private void run() {
    while (true) {
      ScheduledTask next = timers.peek();
      long remainingNanos = next == null ? Long.MAX_VALUE : next.dueNanos - System.nanoTime();
      if (remainingNanos <= 0) {
        timers.poll();
        Runnable due = next.task;
        next.task = null;
        cancelledTimers -= due == null ? 1 : 0;
        runGuarded(due);
        continue;
      }
      Runnable task = taskQueue.poll();
      if (task != null) {
        runGuarded(task);
        continue;
      }
      taskQueue.awaitTask(remainingNanos);
    }
  }

  private static void runGuarded(Runnable task) {
    if (task == null) {
      return;
    }
    try {
      task.run();
    } catch (RuntimeException | OutOfMemoryError | StackOverflowError e) {
      Log.defect(e);
    }
  }
}
