package tamarindroute.net;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Clock and timers that run ten times as fast as real time. */
final class AcceleratedScheduler implements Scheduler {

  private static final int SPEED_UP = 10;
  private volatile Thread eventLoopThread;
  final ScheduledExecutorService thread =
      Executors.newSingleThreadScheduledExecutor(
          task -> eventLoopThread = new Thread(task, "event-loop"));

  /** MINA's thread waits for this after each event that it hands over. */
  volatile CompletableFuture<?> heldBackUntil = CompletableFuture.completedFuture(null);

  @Override
  public Duration now() {
    return Duration.ofNanos(System.nanoTime() * SPEED_UP);
  }

  @Override
  public void execute(Runnable task) {
    thread.execute(task);
    if (Thread.currentThread() != eventLoopThread) {
      heldBackUntil.completeOnTimeout(null, 5, TimeUnit.SECONDS).join();
    }
  }

  @Override
  public Runnable schedule(Duration span, Runnable task) {
    var timer = thread.schedule(task, span.toNanos() / SPEED_UP, TimeUnit.NANOSECONDS);
    return () -> timer.cancel(false);
  }
}
