package tamarindroute.net;

import static tamarindroute.Interleavings.must;

import java.nio.ByteBuffer;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Supplier;
import org.apache.mina.core.buffer.IoBuffer;
import org.junit.jupiter.api.Test;
import tamarindroute.Interleavings;

/**
 * Buffers taken and given back by two threads: none to both, what is out counted, room again told.
 */
class BufferPoolRaceTest {

  private static BufferPool pool(int maxBuffers) {
    return new BufferPool(4L * maxBuffers * BufferPool.BUFFER_BYTES);
  }

  /** Looks at what is free, then takes it away. */
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

  /** What was given back goes to one of both. */
  private static void acquireFromTwoThreads(ByteBuffer free, Supplier<ByteBuffer> take) {
    ByteBuffer[] taken = new ByteBuffer[2];
    Interleavings.beside(() -> taken[0] = take.get(), () -> taken[1] = take.get());
    must(taken[0] == free ^ taken[1] == free, "to one of both");
  }

  /** Both free the same. */
  private static void freeTwice(BufferPool bufferPool) {
    IoBuffer twice = bufferPool.acquire();
    Interleavings.beside(twice::free, twice::free);
    must(bufferPool.acquire().buf() != bufferPool.acquire().buf(), "given out once");
  }

  /** There is room for one that stays free. */
  private static void keepsOneFree(BufferPool bufferPool) {
    IoBuffer one = bufferPool.acquire();
    IoBuffer other = bufferPool.acquire();
    ByteBuffer bytes = one.buf();
    ByteBuffer others = other.buf();
    Interleavings.beside(one::free, other::free);
    ByteBuffer next = bufferPool.acquire().buf();
    ByteBuffer last = bufferPool.acquire().buf();
    must((next == bytes || next == others) && last != bytes && last != others, "one stays free");
  }

  /**
   * Room for two; one frees its own while the other takes the last and, finding no room, waits to
   * be told.
   */
  private static void notifiesWaiter(BufferPool bufferPool) {
    int[] notifications = {0};
    bufferPool.onCapacityAvailable(() -> notifications[0]++);
    IoBuffer one = bufferPool.acquire();
    boolean[] waits = {false};
    Interleavings.beside(
        one::free,
        () -> {
          bufferPool.acquire();
          waits[0] = !bufferPool.hasCapacity();
        });
    must(bufferPool.hasCapacity(), "one is out");
    must(!waits[0] || notifications[0] == 1, "whoever found no room is told");
  }

  @Test
  void aBufferGoesToOneThread() {
    Interleavings.hold(
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
    Interleavings.fail(
        () -> {
          ByteBuffer bytes = ByteBuffer.allocate(BufferPool.BUFFER_BYTES);
          PeeksThenPolls pool = new PeeksThenPolls(bytes);
          acquireFromTwoThreads(bytes, pool::take);
        });
  }

  @Test
  void aBufferFreedTwiceIsGivenOutOnce() {
    Interleavings.hold(() -> freeTwice(pool(4)));
  }

  @Test
  void noMoreBuffersAreKeptThanTheLimit() {
    Interleavings.hold(() -> keepsOneFree(pool(1)));
  }

  @Test
  void theWaiterIsNotifiedOfCapacity() {
    Interleavings.hold(() -> notifiesWaiter(pool(3)));
  }
}
