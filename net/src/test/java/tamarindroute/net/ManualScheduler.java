package tamarindroute.net;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;

/** A scheduler whose time advances only when the test says so. */
final class ManualScheduler implements Scheduler {

  private record Timer(Duration due, Runnable task) {}

  final ExecutorService thread = Executors.newSingleThreadExecutor();
  private final List<Timer> timers = new ArrayList<>();
  volatile Duration now = Duration.ZERO;

  @Override
  public Duration now() {
    return now;
  }

  @Override
  public void execute(Runnable task) {
    try {
      thread.execute(task);
    } catch (RejectedExecutionException e) {
      // The test is over; MINA still closes connections.
    }
  }

  // Equal timers may exist; a timer cancels only itself.
  @SuppressWarnings("ReferenceEquality")
  @Override
  public Runnable schedule(Duration span, Runnable task) {
    Timer timer = new Timer(now.plus(span), task);
    timers.add(timer);
    return () -> timers.removeIf(other -> other == timer);
  }

  void advance(Duration span) throws Exception {
    call(
        () -> {
          now = now.plus(span);
          for (Timer due = nextDue(); due != null; due = nextDue()) {
            timers.remove(due);
            due.task.run();
          }
          return null;
        });
  }

  private Timer nextDue() {
    return timers.stream().filter(timer -> timer.due.compareTo(now) <= 0).findFirst().orElse(null);
  }

  <T> T call(Callable<T> task) throws Exception {
    return thread.submit(task).get(5, TimeUnit.SECONDS);
  }
}
