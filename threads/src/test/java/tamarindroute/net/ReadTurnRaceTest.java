package tamarindroute.net;

import static tamarindroute.Interleavings.require;

import org.junit.jupiter.api.Test;
import tamarindroute.Interleavings;

/**
 * A connection that waits for its turn to be read, while MINA's thread sees bytes for it again and
 * the event loop grants the turn: it never stays suspended with a turn that it has.
 */
class ReadTurnRaceTest {

  private static class Reads {
    final ReadTurn turn = new ReadTurn();
    volatile boolean suspended = true;

    /** MINA's thread, as in {@link ClientReadQueue#admits}. */
    void onReadable() {
      suspended = true;
      if (!turn.queue() && turn.isGranted()) {
        suspended = false;
      }
    }

    /** The event loop. */
    final void grant() {
      if (turn.grant()) {
        suspended = false;
      }
    }
  }

  /** Seeded fault: looks at the turn before it suspends the reads. */
  private static final class LooksBeforeSuspending extends Reads {
    @Override
    void onReadable() {
      boolean granted = !turn.queue() && turn.isGranted();
      suspended = !granted;
    }
  }

  private static void grantWhileReadable(Reads reads) {
    reads.turn.queue();
    Interleavings.runConcurrently(reads::onReadable, reads::grant);
    require(reads.turn.isGranted(), "the turn is granted once");
    require(!reads.suspended, "a connection that has its turn is read");
  }

  /** The session ends while the turn is granted: the turn goes back in exactly one place. */
  private static void cancelWhileGranting(ReadTurn turn) {
    boolean[] granted = {false};
    boolean[] returned = {false};
    turn.queue();
    Interleavings.runConcurrently(
        () -> granted[0] = turn.grant(), () -> returned[0] = turn.take() || turn.cancel());
    boolean left = turn.take();
    require(granted[0] == (returned[0] || left), "each granted turn is given back once");
  }

  @Test
  void aGrantedTurnIsNeverSuspended() {
    Interleavings.assertHolds(() -> grantWhileReadable(new Reads()));
  }

  @Test
  void aLookBeforeTheSuspensionIsFound() {
    Interleavings.assertFails(() -> grantWhileReadable(new LooksBeforeSuspending()));
  }

  @Test
  void aTurnIsGivenBackOnce() {
    Interleavings.assertHolds(() -> cancelWhileGranting(new ReadTurn()));
  }
}
