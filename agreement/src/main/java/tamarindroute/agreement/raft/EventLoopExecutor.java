package tamarindroute.agreement.raft;

import io.microraft.executor.RaftNodeExecutor;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Runs MicroRaft's tasks on the event loop while the voter is running. An exception that a task
 * throws is passed to a callback instead of the event loop.
 */
final class EventLoopExecutor implements RaftNodeExecutor {

  private final EventLoop eventLoop;
  private final BooleanSupplier isRunning;
  private final Consumer<RuntimeException> onFailure;

  EventLoopExecutor(
      EventLoop eventLoop, BooleanSupplier isRunning, Consumer<RuntimeException> onFailure) {
    this.eventLoop = eventLoop;
    this.isRunning = isRunning;
    this.onFailure = onFailure;
  }

  @Override
  public void execute(Runnable task) {
    eventLoop.execute(() -> run(task));
  }

  @Override
  public void submit(Runnable task) {
    eventLoop.execute(() -> run(task));
  }

  @Override
  public void schedule(Runnable task, long delay, TimeUnit unit) {
    eventLoop.schedule(() -> run(task), Duration.ofNanos(unit.toNanos(delay)));
  }

  private void run(Runnable task) {
    if (!isRunning.getAsBoolean()) {
      return;
    }
    try {
      task.run();
    } catch (RuntimeException failure) {
      onFailure.accept(failure);
    }
  }
}
