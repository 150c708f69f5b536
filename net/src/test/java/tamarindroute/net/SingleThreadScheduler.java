package tamarindroute.net;

import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** A scheduler on one thread in real time, to be ended by its test. */
class SingleThreadScheduler implements Scheduler {

  final ScheduledExecutorService thread = Executors.newSingleThreadScheduledExecutor();

  @Override
  public Duration now() {
    return Duration.ofNanos(System.nanoTime());
  }

  @Override
  public void execute(Runnable task) {
    thread.execute(task);
  }

  @Override
  public Runnable schedule(Duration span, Runnable task) {
    var timer = thread.schedule(task, span.toNanos(), TimeUnit.NANOSECONDS);
    return () -> timer.cancel(false);
  }

  void end() {
    thread.shutdownNow();
  }
}
