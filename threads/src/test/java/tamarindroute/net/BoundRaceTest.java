package tamarindroute.net;

import static tamarindroute.Interleavings.must;

import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import tamarindroute.Interleavings;

/**
 * The bound of what waits for the owner: never one too many, never one refused while there is room.
 */
class BoundRaceTest {

  /** As it was: whoever is refused counts for a moment. */
  private static final class UpAndDown extends Bound {
    private final AtomicInteger in = new AtomicInteger();

    UpAndDown() {
      super(1);
    }

    @Override
    boolean enter() {
      if (in.incrementAndGet() > 1) {
        in.decrementAndGet();
        return false;
      }
      return true;
    }

    @Override
    void leave() {
      in.decrementAndGet();
    }
  }

  /** Looks, then counts. */
  private static final class LookThenCount extends Bound {
    private volatile int in;

    LookThenCount() {
      super(1);
    }

    @Override
    boolean enter() {
      if (in >= 1) {
        return false;
      }
      in = in + 1;
      return true;
    }

    @Override
    void leave() {
      in = in - 1;
    }
  }

  /** Both try for the last place. */
  private static void last(Bound bound) {
    boolean[] in = new boolean[2];
    Interleavings.beside(() -> in[0] = bound.enter(), () -> in[1] = bound.enter());
    must(in[0] ^ in[1], "one of both is in");
    must(!bound.enter(), "none is left");
    bound.leave();
    must(bound.enter(), "a place that is left can be had");
  }

  /** One is refused, or not, while the only one in leaves and comes again. */
  private static void again(Bound bound) {
    bound.enter();
    boolean[] in = new boolean[2];
    Interleavings.beside(
        () -> in[0] = bound.enter(),
        () -> {
          bound.leave();
          in[1] = bound.enter();
        });
    must(in[0] ^ in[1], "the place that was left goes to one of both");
  }

  @Test
  void theLastPlaceGoesToOne() {
    Interleavings.hold(() -> last(new Bound(1)));
  }

  @Test
  void aPlaceThatIsLeftCanBeHadAtOnce() {
    Interleavings.hold(() -> again(new Bound(1)));
  }

  @Test
  void oneCountedUpAndDownIsFound() {
    Interleavings.fail(() -> again(new UpAndDown()));
  }

  @Test
  void aLookBeforeTheCountIsFound() {
    Interleavings.fail(() -> last(new LookThenCount()));
  }
}
