package tamarindroute.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import tamarindroute.host.EventLoop;
import tamarindroute.net.Scheduler;

/**
 * Passes tasks on to an event loop, counts them, and can hold the thread of MINA that hands them
 * over, so that the bytes that come meanwhile are not even noticed.
 */
final class HoldableScheduler implements Scheduler {

  private static final int TIMEOUT_SECONDS = 10;

  private final EventLoop eventLoop;

  /** A permit for each task that was handed over. */
  private final Semaphore handOvers = new Semaphore(0);

  private volatile CountDownLatch held = new CountDownLatch(0);
  private volatile CountDownLatch released = new CountDownLatch(0);
  private volatile Thread eventLoopThread;

  HoldableScheduler(EventLoop eventLoop) {
    this.eventLoop = eventLoop;
    eventLoop.execute(() -> eventLoopThread = Thread.currentThread());
  }

  @Override
  public Duration now() {
    return eventLoop.now();
  }

  @Override
  public void execute(Runnable task) {
    if (Thread.currentThread() != eventLoopThread && released.getCount() > 0) {
      held.countDown();
      await(released);
    }
    eventLoop.execute(task);
    handOvers.release();
  }

  @Override
  public Runnable schedule(Duration span, Runnable task) {
    return eventLoop.schedule(span, task);
  }

  /** Forgets the tasks that were handed over before. */
  void forgetHandOvers() {
    handOvers.drainPermits();
  }

  /** Returns when MINA's thread has handed over one more task. */
  void awaitHandOver() throws Exception {
    assertThat(handOvers.tryAcquire(5, TimeUnit.SECONDS)).as("handed over").isTrue();
  }

  /** Asserts that MINA's thread hands over no further task in this time. */
  void assertNoHandOver(Duration time) throws Exception {
    assertThat(handOvers.tryAcquire(time.toMillis(), TimeUnit.MILLISECONDS))
        .as("handed over")
        .isFalse();
  }

  /**
   * Holds MINA's thread until {@link #release}.
   *
   * @param trigger a client whose health check is the task that the thread is held at
   */
  void holdSelector(WireConnection trigger) throws Exception {
    released = new CountDownLatch(1);
    held = new CountDownLatch(1);
    trigger.send("RPC.HEALTH", "9");
    await(held);
  }

  /** Lets MINA's thread go on. */
  void release() {
    released.countDown();
  }

  static void await(CountDownLatch latch) {
    try {
      assertThat(latch.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }
}
