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
class PoolRaceTest {

  private static Pool pool(int most) {
    return new Pool(4L * most * Pool.SIZE);
  }

  /** Looks at what is free, then takes it away. */
  private static final class LooksThenTakes {
    private final ConcurrentLinkedQueue<ByteBuffer> free = new ConcurrentLinkedQueue<>();

    LooksThenTakes(ByteBuffer bytes) {
      free.add(bytes);
    }

    ByteBuffer take() {
      ByteBuffer next = free.peek();
      free.poll();
      return next == null ? ByteBuffer.allocate(Pool.SIZE) : next;
    }
  }

  /** What was given back goes to one of both. */
  private static void used(ByteBuffer free, Supplier<ByteBuffer> take) {
    ByteBuffer[] taken = new ByteBuffer[2];
    Interleavings.beside(() -> taken[0] = take.get(), () -> taken[1] = take.get());
    must(taken[0] == free ^ taken[1] == free, "to one of both");
  }

  /** Both free the same. */
  private static void freed(Pool pool) {
    IoBuffer twice = pool.take();
    Interleavings.beside(twice::free, twice::free);
    must(pool.take().buf() != pool.take().buf(), "given out once");
  }

  /** There is room for one that stays free. */
  private static void spared(Pool pool) {
    IoBuffer one = pool.take();
    IoBuffer other = pool.take();
    ByteBuffer bytes = one.buf();
    ByteBuffer others = other.buf();
    Interleavings.beside(one::free, other::free);
    ByteBuffer next = pool.take().buf();
    ByteBuffer last = pool.take().buf();
    must((next == bytes || next == others) && last != bytes && last != others, "one stays free");
  }

  /**
   * Room for two; one frees its own while the other takes the last and, finding no room, waits to
   * be told.
   */
  private static void told(Pool pool) {
    int[] told = {0};
    pool.whenRoom(() -> told[0]++);
    IoBuffer one = pool.take();
    boolean[] waits = {false};
    Interleavings.beside(
        one::free,
        () -> {
          pool.take();
          waits[0] = !pool.hasRoom();
        });
    must(pool.hasRoom(), "one is out");
    must(!waits[0] || told[0] == 1, "whoever found no room is told");
  }

  @Test
  void aBufferGoesToOne() {
    Interleavings.hold(
        () -> {
          Pool pool = pool(4);
          IoBuffer first = pool.take();
          ByteBuffer bytes = first.buf();
          first.free();
          used(bytes, () -> pool.take().buf());
        });
  }

  @Test
  void aTakeInTwoStepsIsFound() {
    Interleavings.fail(
        () -> {
          ByteBuffer bytes = ByteBuffer.allocate(Pool.SIZE);
          LooksThenTakes pool = new LooksThenTakes(bytes);
          used(bytes, pool::take);
        });
  }

  @Test
  void aBufferFreedByBothIsGivenOutOnce() {
    Interleavings.hold(() -> freed(pool(4)));
  }

  @Test
  void noMoreStayFreeThanTheShare() {
    Interleavings.hold(() -> spared(pool(1)));
  }

  @Test
  void roomAgainIsTold() {
    Interleavings.hold(() -> told(pool(3)));
  }
}
