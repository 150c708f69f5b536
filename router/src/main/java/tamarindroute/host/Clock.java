package tamarindroute.host;

import java.time.Duration;
import java.time.Instant;
import java.util.PriorityQueue;
import java.util.function.Supplier;
import tamarindroute.log.Log;
import tamarindroute.net.Timers;

/**
 * Owns the one thread that the module, the views and the timers belong to, and the time since the
 * start by the monotonic clock: a system's clock that is set moves no deadline. Only what others
 * tell in Unix time is converted, by the system's clock as it is then. Timers that are due go
 * before what was handed over, so that a backlog delays no final answer. A failure in a task is
 * logged and must never end the thread; nothing here takes a lock.
 */
public final class Clock implements Timers {

  private static final class Timer implements Comparable<Timer> {
    final long due;
    Runnable task;

    Timer(long due, Runnable task) {
      this.due = due;
      this.task = task;
    }

    @Override
    public int compareTo(Timer other) {
      return Long.signum(due - other.due);
    }
  }

  /** So few timers that were called off are not worth looking for. */
  private static final int FEW = 1000;

  private final long start = System.nanoTime();
  private final Supplier<Instant> wall;
  private final PriorityQueue<Timer> timers = new PriorityQueue<>();
  private final Thread owner = new Thread(this::run, "owner");
  private final HandOver handed = new HandOver(owner);
  private int calledOff;

  public Clock() {
    this(Instant::now);
  }

  /** With another clock for Unix time; a test sets it back and forward. */
  Clock(Supplier<Instant> wall) {
    this.wall = wall;
    owner.start();
  }

  @Override
  public Duration now() {
    return Duration.ofNanos(System.nanoTime() - start);
  }

  /**
   * A Unix time in milliseconds as a time since the start; it may lie before it. The system's clock
   * is read first: a pause between the two makes a purge or a start look later, which is the
   * careful side.
   */
  public Duration at(long unixMillis) {
    Duration ago = Duration.between(Instant.ofEpochMilli(unixMillis), wall.get());
    return now().minus(ago);
  }

  @Override
  public void handOver(Runnable task) {
    handed.handOver(task);
  }

  /**
   * A timer that is called off lets go of its task at once, and of its place when most of them are
   * so.
   */
  @Override
  public Runnable after(Duration span, Runnable task) {
    Timer timer = new Timer(System.nanoTime() + Math.max(0, span.toNanos()), task);
    timers.add(timer);
    return () -> {
      if (timer.task != null) {
        timer.task = null;
        if (++calledOff > FEW && calledOff > timers.size() / 2) {
          timers.removeIf(t -> t.task == null);
          calledOff = 0;
        }
      }
    };
  }

  private void run() {
    while (true) {
      Timer next = timers.peek();
      long left = next == null ? Long.MAX_VALUE : next.due - System.nanoTime();
      if (left <= 0) {
        timers.poll();
        Runnable due = next.task;
        next.task = null;
        calledOff -= due == null ? 1 : 0;
        guarded(due);
        continue;
      }
      Runnable task = handed.poll();
      if (task != null) {
        guarded(task);
        continue;
      }
      handed.rest(left);
    }
  }

  private static void guarded(Runnable task) {
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
