package tamarindroute.rig.proxy;

import java.io.Closeable;
import java.io.IOException;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;

/** The thread that serves all proxies' channels and delayed tasks. */
final class ProxyLoop implements Closeable {

  /** Called when a registered channel is ready. */
  interface ReadyHandler {
    void onReady() throws IOException;
  }

  private record DelayedTask(long dueNanos, long number, Runnable task)
      implements Comparable<DelayedTask> {
    @Override
    public int compareTo(DelayedTask other) {
      return dueNanos != other.dueNanos
          ? Long.signum(dueNanos - other.dueNanos)
          : Long.compare(number, other.number);
    }

    boolean isDue() {
      return dueNanos - System.nanoTime() <= 0;
    }
  }

  private static final long MAX_WAIT_MILLIS = 100;
  private static final long CLOSE_TIMEOUT_MILLIS = 5000;
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final Selector selector = Selector.open();
  private final PriorityQueue<DelayedTask> delayedTasks = new PriorityQueue<>();
  private final ConcurrentLinkedQueue<Runnable> submitted = new ConcurrentLinkedQueue<>();
  private final List<SelectableChannel> channels = new ArrayList<>();
  private final Thread thread = new Thread(this::run, "proxies");
  private final Runnable onClose;
  private long taskCount;
  private volatile boolean closed;

  /** {@code onClose} runs on the loop's thread as its last task. */
  ProxyLoop(Runnable onClose) throws IOException {
    this.onClose = onClose;
  }

  void start() {
    thread.setDaemon(true);
    thread.start();
  }

  /** Runs a task on the loop's thread; callable from any thread. */
  void submit(Runnable task) {
    submitted.add(task);
    selector.wakeup();
  }

  /** Runs a task on the loop's thread after a delay; callable from that thread only. */
  void schedule(long delayNanos, Runnable task) {
    delayedTasks.add(new DelayedTask(System.nanoTime() + delayNanos, taskCount, task));
    taskCount++;
  }

  /** Registers a channel that is open until the loop closes; callable from its thread only. */
  void registerForLife(SelectableChannel channel, int operation, ReadyHandler handler) {
    channels.add(channel);
    try {
      register(channel, operation, handler);
    } catch (IOException e) {
      throw new IllegalStateException("channel could not be registered", e);
    }
  }

  /** Registers a channel that its owner closes; callable from the loop's thread only. */
  SelectionKey register(SelectableChannel channel, int operations, ReadyHandler handler)
      throws IOException {
    return channel.register(selector, operations, handler);
  }

  private void run() {
    while (!closed) {
      try {
        select();
        handleReady(selector.selectedKeys());
        runSubmitted();
        runDue();
      } catch (IOException | RuntimeException e) {
        System.err.println("proxies: " + e);
      }
    }
    onClose.run();
    channels.forEach(ProxyLoop::closeQuietly);
  }

  private void select() throws IOException {
    long waitMillis = MAX_WAIT_MILLIS;
    if (!delayedTasks.isEmpty()) {
      long dueNanos = delayedTasks.peek().dueNanos - System.nanoTime();
      waitMillis = Math.min(MAX_WAIT_MILLIS, dueNanos / NANOS_PER_MILLI + 1);
    }
    if (waitMillis <= 0) {
      selector.selectNow();
    } else {
      selector.select(waitMillis);
    }
  }

  private static void handleReady(Set<SelectionKey> keys) throws IOException {
    for (SelectionKey key : keys) {
      if (key.isValid()) {
        ((ReadyHandler) key.attachment()).onReady();
      }
    }
    keys.clear();
  }

  private void runSubmitted() {
    for (Runnable task = submitted.poll(); task != null; task = submitted.poll()) {
      task.run();
    }
  }

  private void runDue() {
    while (!delayedTasks.isEmpty() && delayedTasks.peek().isDue()) {
      delayedTasks.poll().task.run();
    }
  }

  private static void closeQuietly(SelectableChannel channel) {
    try {
      channel.close();
    } catch (IOException e) {
      // It is closed all the same.
    }
  }

  @Override
  public void close() throws IOException {
    closed = true;
    selector.wakeup();
    try {
      thread.join(CLOSE_TIMEOUT_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    selector.close();
  }
}
