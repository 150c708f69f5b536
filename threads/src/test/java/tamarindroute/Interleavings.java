package tamarindroute;

import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.jetbrains.lincheck.Lincheck;
import org.jetbrains.lincheck.LincheckAssertionError;

/**
 * Runs a body of few threads under a checker that switches between them at each access of shared
 * memory, fewest switches first, and always tries the same interleavings.
 */
public final class Interleavings {

  /** Each seeded race shows within a tenth of these. */
  private static final int TRIED = 400;

  private Interleavings() {}

  /** The body ends, with no failure, in all interleavings tried. */
  public static void hold(Runnable body) {
    Lincheck.runConcurrentTest(TRIED, body);
  }

  /** Some interleaving fails, or never ends, and the checker prints it. */
  public static void fail(Runnable body) {
    assertThatThrownBy(() -> hold(body))
        .isInstanceOf(LincheckAssertionError.class)
        .hasMessageContaining("The following interleaving leads to the error");
  }

  /** One in a thread of its own, beside the other in this one. */
  public static void beside(Runnable one, Runnable other) {
    Thread thread = new Thread(one);
    thread.start();
    other.run();
    try {
      thread.join();
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** AssertJ would be woven as well, which takes minutes. */
  public static void must(boolean holds, String what) {
    if (!holds) {
      throw new AssertionError(what);
    }
  }
}
