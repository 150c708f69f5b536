package tamarindroute.resolver;

import java.time.Duration;

/**
 * Limits retries over all questions to a part of the first attempts, so that load grows only by
 * that part when all upstreams fail.
 */
public final class RetryBudget {

  /** Retries allowed per first attempt. */
  private static final double RETRIES_PER_FIRST_ATTEMPT = 0.2;

  /** Retries allowed whatever the number of first attempts. */
  private static final double MIN_RETRIES = 3;

  /** Time constant in seconds with which past attempts are forgotten. */
  private static final double DECAY_SECONDS = 10;

  private static final double SECONDS_PER_NANO = 1e-9;

  private double firstAttempts;
  private double retries;
  private double decayedAtSeconds;

  private void decay(Duration now) {
    double seconds = now.toNanos() * SECONDS_PER_NANO;
    double remaining = Math.exp(Math.min(0, decayedAtSeconds - seconds) / DECAY_SECONDS);
    firstAttempts *= remaining;
    retries *= remaining;
    decayedAtSeconds = seconds;
  }

  /** Counts a first attempt. */
  public void onFirstAttempt(Duration now) {
    decay(now);
    firstAttempts++;
  }

  /** Returns whether a retry is allowed, and if so counts it. */
  public boolean tryRetry(Duration now) {
    decay(now);
    if (retries + 1 > MIN_RETRIES + RETRIES_PER_FIRST_ATTEMPT * firstAttempts) {
      return false;
    }
    retries++;
    return true;
  }
}
