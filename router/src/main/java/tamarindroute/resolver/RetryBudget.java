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
  private static final double RETRIES_PER_FIRST_ATTEMPT = 0.2;

  /** A quiet server may still try again some times. */
  private static final double MIN_RETRIES = 3;

  private static final double DECAY_SECONDS = 10;

  private double onFirstAttempt;
  private double tryRetry;
  private double decayedAtSeconds;

  private void decay(Duration now) {
    double seconds = now.toNanos() * 1e-9;
    double kept = Math.exp(Math.min(0, decayedAtSeconds - seconds) / DECAY_SECONDS);
    onFirstAttempt *= kept;
    tryRetry *= kept;
    decayedAtSeconds = seconds;
  }

  /** A first attempt goes out. */
  public void onFirstAttempt(Duration now) {
    decay(now);
    onFirstAttempt++;
  }

  /** Whether a further attempt may go out; where it may, it is counted. */
  public boolean tryRetry(Duration now) {
    decay(now);
    if (tryRetry + 1 > MIN_RETRIES + RETRIES_PER_FIRST_ATTEMPT * onFirstAttempt) {
      return false;
    }
    tryRetry++;
    return true;
  }
}
