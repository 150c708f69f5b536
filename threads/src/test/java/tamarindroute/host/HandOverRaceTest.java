package tamarindroute.host;

import static tamarindroute.Interleavings.must;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.junit.jupiter.api.Test;
import tamarindroute.Interleavings;

/**
 * Tasks handed over beside the owner's run and rest: none lost, none twice, in order, and no rest
 * with one waiting.
 */
class HandOverRaceTest {

  /**
   * Its rests never time out nor end for no reason: a wake-up that is lost is a thread that never
   * ends.
   */
  private static class Resting extends HandOver {
    private boolean woken;

    Resting() {
      super(null);
    }

    @Override
    synchronized void park(long nanos) {
      while (!woken) {
        try {
          wait();
        } catch (InterruptedException e) {
          throw new IllegalStateException(e);
        }
      }
      woken = false;
    }

    @Override
    synchronized void unpark(Thread resting) {
      woken = true;
      notifyAll();
    }
  }

  /** Looks for tasks before it tells that it rests. */
  private static final class LooksFirst extends Resting {
    private final ConcurrentLinkedQueue<Runnable> handed = new ConcurrentLinkedQueue<>();
    private volatile boolean resting;

    @Override
    void handOver(Runnable task) {
      handed.add(task);
      if (resting) {
        unpark(null);
      }
    }

    @Override
    Runnable poll() {
      return handed.poll();
    }

    @Override
    void rest(long nanos) {
      if (handed.isEmpty()) {
        resting = true;
        park(nanos);
      }
      resting = false;
    }
  }

  /** Reads what is handed over, and sets it with one more. */
  private static final class ReadsThenSets extends Resting {
    private volatile List<Runnable> handed = List.of();

    @Override
    void handOver(Runnable task) {
      List<Runnable> more = new ArrayList<>(handed);
      more.add(task);
      handed = more;
      unpark(null);
    }

    @Override
    synchronized Runnable poll() {
      List<Runnable> now = handed;
      if (now.isEmpty()) {
        return null;
      }
      handed = now.subList(1, now.size());
      return now.get(0);
    }

    @Override
    void rest(long nanos) {
      park(nanos);
    }
  }

  /** This thread is the owner; two others hand over, one of them twice. */
  private static void handed(HandOver handOver) {
    StringBuilder ran = new StringBuilder();
    Runnable owner =
        () -> {
          while (ran.length() < 3) {
            Runnable task = handOver.poll();
            if (task == null) {
              handOver.rest(Long.MAX_VALUE);
            } else {
              task.run();
            }
          }
        };
    Interleavings.beside(
        () -> {
          handOver.handOver(() -> ran.append('a'));
          handOver.handOver(() -> ran.append('b'));
        },
        () -> Interleavings.beside(() -> handOver.handOver(() -> ran.append('c')), owner));
    String order = ran.toString();
    must(
        order.indexOf('a') < order.indexOf('b')
            && order.indexOf('a') >= 0
            && order.indexOf('c') >= 0,
        order);
    must(handOver.poll() == null, "none twice");
  }

  @Test
  void allRunOnceInOrder() {
    Interleavings.hold(() -> handed(new Resting()));
  }

  @Test
  void aLostWakeUpIsFound() {
    Interleavings.fail(() -> handed(new LooksFirst()));
  }

  @Test
  void aLostTaskIsFound() {
    Interleavings.fail(() -> handed(new ReadsThenSets()));
  }
}
