package tamarindroute.resolver;

import java.time.Duration;

/**
 * Owns how many further attempts go out over all questions: a part of the first ones, so that when
 * all upstreams fail the load on them grows by that part and no more.
 */
public final class RetryBudget {

  /**
   * One further attempt for five first ones is what calm days need, with a loss of some in a
   * hundred, tenfold.
   */
  private static final double PART = 0.2;

  /** A quiet server may still try again some times. */
  private static final double ALWAYS = 3;

  private static final double MEMORY = 10;

  private double first;
  private double further;
  private double at;

  private void fade(Duration now) {
    double seconds = now.toNanos() * 1e-9;
    double kept = Math.exp(Math.min(0, at - seconds) / MEMORY);
    first *= kept;
    further *= kept;
    at = seconds;
  }

  /** A first attempt goes out. */
  public void first(Duration now) {
    fade(now);
    first++;
  }

  /** Whether a further attempt may go out; where it may, it is counted. */
  public boolean further(Duration now) {
    fade(now);
    if (further + 1 > ALWAYS + PART * first) {
      return false;
    }
    further++;
    return true;
  }
}
