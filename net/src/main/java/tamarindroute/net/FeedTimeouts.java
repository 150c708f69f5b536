package tamarindroute.net;

import java.time.Duration;
import java.util.Random;

/**
 * The timeouts and retry delays of the control feed's client, by the number of connections that
 * failed in a row.
 *
 * <p>They follow from the platform's rule that an event counts as known 7 s after it was published,
 * and 2 s after the end of a long poll that nobody answered. The worst case is a silent connection
 * (2.8 s), a connect that hangs (0.7 s), a second one that hangs (1.4 s) and the delays between
 * them (0.1 s each), 5.2 s in all; with one hanging connect it is 3.7 s, 1.7 s after the end of the
 * poll.
 */
final class FeedTimeouts {

  /**
   * How long a response that has begun may pause; a long one on a slow network is not cut off while
   * it comes.
   */
  static final Duration STALL_TIMEOUT = Duration.ofSeconds(1);

  /** How long a response may take in all, so that a trickle does not hide later events for good. */
  static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(20);

  /** When bytes that this process has received but not yet read are checked for again. */
  static final Duration RECHECK_INTERVAL = Duration.ofMillis(20);

  /** How long the feed may wait for an event before it responds. */
  static final Duration LONG_POLL_WAIT = Duration.ofSeconds(2);

  /**
   * The same after one or two failures, so that another silent connection is noticed within a
   * second.
   */
  private static final Duration RETRY_POLL_WAIT = Duration.ofMillis(200);

  private static final int MAX_FAILURES_WITH_RETRY_POLL_WAIT = 2;

  /** How long after the wait a response may begin. */
  private static final Duration RESPONSE_GRACE = Duration.ofMillis(800);

  /** The same after more failures: a feed that is always slower could otherwise never be read. */
  private static final Duration SLOW_FEED_RESPONSE_GRACE = Duration.ofSeconds(2);

  private static final int MAX_FAILURES_WITH_SHORT_GRACE = 3;

  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(700);

  /** For every second connect: leaves the operating system time to send its first packet again. */
  private static final Duration RETRY_CONNECT_TIMEOUT = Duration.ofMillis(1400);

  private static final int RETRY_DELAY_MILLIS = 200;

  /** Random part of the retry delay, which spreads a fleet's connects. */
  private static final int RETRY_JITTER_MILLIS = 100;

  private FeedTimeouts() {}

  /** How long a connection may take to be established. */
  static Duration connectTimeout(int failures) {
    return failures > 0 && failures % 2 == 0 ? RETRY_CONNECT_TIMEOUT : CONNECT_TIMEOUT;
  }

  /** How long the feed may wait for an event, in the first request on a connection. */
  static Duration firstPollWait(int failures) {
    boolean retrying = failures > 0 && failures <= MAX_FAILURES_WITH_RETRY_POLL_WAIT;
    return retrying ? RETRY_POLL_WAIT : LONG_POLL_WAIT;
  }

  /** How long after the wait a response may begin. */
  static Duration responseGrace(int failures) {
    return failures <= MAX_FAILURES_WITH_SHORT_GRACE ? RESPONSE_GRACE : SLOW_FEED_RESPONSE_GRACE;
  }

  /** The delay before the next connect; shorter after a timeout, which was a delay itself. */
  static Duration retryDelay(CloseReason closeReason, Random random) {
    boolean timedOut = closeReason == CloseReason.TIMED_OUT || closeReason == CloseReason.STALLED;
    int minMillis = timedOut ? 0 : RETRY_DELAY_MILLIS;
    return Duration.ofMillis(minMillis + random.nextInt(RETRY_JITTER_MILLIS));
  }
}
