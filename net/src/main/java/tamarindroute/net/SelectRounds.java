package tamarindroute.net;

/**
 * Counts the rounds of a selector, to tell since when bytes that it reports may have been there.
 * Confined to the selector's thread.
 */
final class SelectRounds {

  /**
   * A call of select that takes longer has waited: nothing was ready when it began. More than a
   * thread is usually kept off its core.
   */
  private static final long WAITED_NANOS = 10_000_000;

  private int number;
  private boolean waited;
  private long returnedAtNanos = System.nanoTime();
  private long previousReturnedAtNanos = returnedAtNanos;

  /** A call of select has returned, which began at this time. */
  void onSelected(long startedAtNanos) {
    number++;
    previousReturnedAtNanos = returnedAtNanos;
    returnedAtNanos = System.nanoTime();
    waited = returnedAtNanos - startedAtNanos > WAITED_NANOS;
  }

  /** The number of the current round. */
  int number() {
    return number;
  }

  /** Whether nothing was ready when the current round began. */
  boolean hasWaited() {
    return waited;
  }

  /**
   * The time after which the bytes arrived that this round reports of a connection, if the previous
   * round did not report it.
   */
  long unreportedUntilNanos() {
    return waited ? returnedAtNanos : previousReturnedAtNanos;
  }
}
