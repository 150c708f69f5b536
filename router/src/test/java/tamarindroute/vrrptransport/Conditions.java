package tamarindroute.vrrptransport;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;

/** Waits for conditions that change on other threads. */
final class Conditions {

  private Conditions() {}

  /** A condition on the gateways of a test. */
  interface Condition {
    boolean holds() throws Exception;
  }

  /** Waits until a condition holds and returns how many nanoseconds that took. */
  static long await(Condition condition) throws Exception {
    long startedAt = System.nanoTime();
    while (!condition.holds()) {
      assertThat(System.nanoTime() - startedAt).isLessThan(TimeUnit.SECONDS.toNanos(15));
      TimeUnit.MILLISECONDS.sleep(5);
    }
    return System.nanoTime() - startedAt;
  }

  static void assertNever(Condition condition, long millis) throws Exception {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    while (System.nanoTime() < end) {
      assertThat(condition.holds()).isFalse();
      TimeUnit.MILLISECONDS.sleep(5);
    }
  }
}
