package tamarindroute;

import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.jetbrains.lincheck.Lincheck;
import org.jetbrains.lincheck.LincheckAssertionError;

/**
 * Runs code with a few threads under Lincheck, which explores interleavings of their accesses to
 * shared memory, those with the fewest switches first, and always the same ones.
 */
public final class Interleavings {

  /** Ten times as many as show each seeded fault. */
  private static final int INTERLEAVINGS = 400;

  private Interleavings() {}

  /** Asserts that the body ends without failure in all interleavings explored. */
  public static void assertHolds(Runnable body) {
    Lincheck.runConcurrentTest(INTERLEAVINGS, body);
  }

  /** Asserts that some interleaving fails or never ends, and is reported. */
  public static void assertFails(Runnable body) {
    assertThatThrownBy(() -> assertHolds(body))
        .isInstanceOf(LincheckAssertionError.class)
        .hasMessageContaining("The following interleaving leads to the error");
  }

  /** Runs one in a new thread and the other in this one, and waits for both. */
  public static void runConcurrently(Runnable one, Runnable other) {
    Thread thread = new Thread(one);
    thread.start();
    other.run();
    try {
      thread.join();
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** A plain assertion: Lincheck would instrument AssertJ as well, which takes minutes. */
  public static void require(boolean holds, String what) {
    if (!holds) {
      throw new AssertionError(what);
    }
  }
}
