package tamarindroute.agreement.raft;

import io.microraft.executor.RaftNodeExecutor;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * The library's tasks on the owner's thread, as long as the voter is up. A task that throws is
 * told, not passed on.
 */
final class OwnerExecutor implements RaftNodeExecutor {

  private final Owner owner;
  private final BooleanSupplier up;
  private final Consumer<RuntimeException> broken;

  OwnerExecutor(Owner owner, BooleanSupplier up, Consumer<RuntimeException> broken) {
    this.owner = owner;
    this.up = up;
    this.broken = broken;
  }

  @Override
  public void execute(Runnable task) {
    owner.execute(() -> run(task));
  }

  @Override
  public void submit(Runnable task) {
    owner.execute(() -> run(task));
  }

  @Override
  public void schedule(Runnable task, long delay, TimeUnit unit) {
    owner.schedule(() -> run(task), Duration.ofNanos(unit.toNanos(delay)));
  }

  private void run(Runnable task) {
    if (!up.getAsBoolean()) {
      return;
    }
    try {
      task.run();
    } catch (RuntimeException thrown) {
      broken.accept(thrown);
    }
  }
}
