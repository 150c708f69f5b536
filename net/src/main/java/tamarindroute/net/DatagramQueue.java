package tamarindroute.net;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.apache.mina.core.buffer.IoBuffer;

/** Hands received datagrams over to the event loop, and drops them while too many wait for it. */
final class DatagramQueue {

  /** Some tens of milliseconds of the event loop's work; the rest of a flood is dropped. */
  private static final int MAX_QUEUED = 2000;

  private final Scheduler scheduler;
  private final PermitCounter queuePermits = new PermitCounter(MAX_QUEUED);
  private final AtomicInteger dropped = new AtomicInteger();

  DatagramQueue(Scheduler scheduler) {
    this.scheduler = scheduler;
  }

  /** The number of datagrams dropped so far. */
  int dropped() {
    return dropped.get();
  }

  /**
   * On MINA's thread: copies a datagram and gives it to the consumer on the event loop, or drops
   * it.
   */
  void add(IoBuffer datagram, Consumer<byte[]> consumer) {
    if (!queuePermits.tryAcquire()) {
      dropped.incrementAndGet();
      return;
    }
    byte[] bytes = new byte[datagram.remaining()];
    datagram.get(bytes);
    scheduler.execute(
        () -> {
          queuePermits.release();
          consumer.accept(bytes);
        });
  }
}
