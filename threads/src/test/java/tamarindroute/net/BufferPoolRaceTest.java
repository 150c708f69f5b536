package tamarindroute.net;

import static tamarindroute.Interleavings.require;

import java.nio.ByteBuffer;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Supplier;
import org.apache.mina.core.buffer.IoBuffer;
import org.junit.jupiter.api.Test;
import tamarindroute.Interleavings;

/**
 * Buffers acquired and freed by two threads: none is given to both, those in use are counted, and
 * the listener is called when capacity returns.
 */
class BufferPoolRaceTest {

  private static BufferPool pool(int maxBuffers) {
    return new BufferPool(4L * maxBuffers * BufferPool.BUFFER_BYTES);
  }

  /** Seeded fault: reads the first free buffer, then removes it. */
  private static final class PeeksThenPolls {
    private final ConcurrentLinkedQueue<ByteBuffer> free = new ConcurrentLinkedQueue<>();

    PeeksThenPolls(ByteBuffer bytes) {
      free.add(bytes);
    }

    ByteBuffer take() {
      ByteBuffer next = free.peek();
      free.poll();
      return next == null ? ByteBuffer.allocate(BufferPool.BUFFER_BYTES) : next;
    }
  }

  /** Two threads acquire while one buffer is free. */
  private static void acquireFromTwoThreads(ByteBuffer free, Supplier<ByteBuffer> take) {
    ByteBuffer[] taken = new ByteBuffer[2];
    Interleavings.runConcurrently(() -> taken[0] = take.get(), () -> taken[1] = take.get());
    require(taken[0] == free ^ taken[1] == free, "given to one thread");
  }

  /** Two threads free the same buffer. */
  private static void freeTwice(BufferPool bufferPool) {
    IoBuffer twice = bufferPool.acquire();
    Interleavings.runConcurrently(twice::free, twice::free);
    ByteBuffer first = bufferPool.acquire().buf();
    ByteBuffer second = bufferPool.acquire().buf();
    require(first != second, "given out once");
  }

  /** Two threads free a buffer each, of which the pool keeps one. */
  private static void keepsOneFree(BufferPool bufferPool) {
    IoBuffer one = bufferPool.acquire();
    IoBuffer other = bufferPool.acquire();
    ByteBuffer bytes = one.buf();
    ByteBuffer others = other.buf();
    Interleavings.runConcurrently(one::free, other::free);
    ByteBuffer next = bufferPool.acquire().buf();
    ByteBuffer last = bufferPool.acquire().buf();
    require(
        (next == bytes || next == others) && last != bytes && last != others, "one buffer is kept");
  }

  /**
   * One thread frees its buffer while the other acquires the last and, finding no capacity, waits
   * for the listener.
   */
  private static void notifiesWaiter(BufferPool bufferPool) {
    int[] notifications = {0};
    bufferPool.onCapacityAvailable(() -> notifications[0]++);
    IoBuffer one = bufferPool.acquire();
    boolean[] waits = {false};
    Interleavings.runConcurrently(
        one::free,
        () -> {
          bufferPool.acquire();
          waits[0] = !bufferPool.hasCapacity();
        });
    require(bufferPool.hasCapacity(), "one buffer is in use");
    require(!waits[0] || notifications[0] == 1, "a waiter is notified");
  }

  @Test
  void aBufferGoesToOneThread() {
    Interleavings.assertHolds(
        () -> {
          BufferPool bufferPool = pool(4);
          IoBuffer first = bufferPool.acquire();
          ByteBuffer bytes = first.buf();
          first.free();
          acquireFromTwoThreads(bytes, () -> bufferPool.acquire().buf());
        });
  }

  @Test
  void peekThenPollIsFound() {
    Interleavings.assertFails(
        () -> {
          ByteBuffer bytes = ByteBuffer.allocate(BufferPool.BUFFER_BYTES);
          PeeksThenPolls pool = new PeeksThenPolls(bytes);
          acquireFromTwoThreads(bytes, pool::take);
        });
  }

  @Test
  void aBufferFreedTwiceIsGivenOutOnce() {
    Interleavings.assertHolds(() -> freeTwice(pool(4)));
  }

  @Test
  void noMoreBuffersAreKeptThanTheLimit() {
    Interleavings.assertHolds(() -> keepsOneFree(pool(1)));
  }

  @Test
  void theWaiterIsNotifiedOfCapacity() {
    Interleavings.assertHolds(() -> notifiesWaiter(pool(3)));
  }
}
