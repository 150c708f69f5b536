package tamarindroute.net;

/**
 * What is known of the bytes that a connection's other side has sent and the operating system still
 * holds. Confined to MINA's thread, except for {@link #awaitsRead}.
 */
final class UnreadInput {

  private volatile boolean awaitsRead;

  /** The latest time at which the connection is known to have had no unread bytes. */
  private long emptyAtNanos = System.nanoTime();

  /** The round after which the selector could report the connection again. */
  private int watchedSinceRound;

  /** The round that reported the connection last. */
  private int reportedInRound;

  /** On any thread: whether there are bytes to read that were not admitted yet. */
  boolean awaitsRead() {
    return awaitsRead;
  }

  /** There are bytes to read. */
  void onReadable(SelectRounds rounds) {
    reportedInRound = rounds.number();
    boolean previousRoundReportedNothing = reportedInRound - watchedSinceRound > 1;
    if (!awaitsRead && (rounds.hasWaited() || previousRoundReportedNothing)) {
      emptyAtNanos = rounds.unreportedUntilNanos();
    }
  }

  /** The read is not admitted yet. */
  void onReadDeferred() {
    awaitsRead = true;
  }

  /** The selector watches the connection again. */
  void onReadsResumed(SelectRounds rounds) {
    watchedSinceRound = rounds.number();
  }

  /** The other side sends no more. */
  void onInputClosed() {
    awaitsRead = false;
  }

  /**
   * Bytes were read.
   *
   * @param drained whether none were left
   * @return the time in nanoseconds of the monotonic clock after which the first of them arrived
   */
  long onRead(boolean drained) {
    awaitsRead = false;
    watchedSinceRound = reportedInRound;
    long arrivedAfterNanos = emptyAtNanos;
    if (drained) {
      emptyAtNanos = System.nanoTime();
    }
    return arrivedAfterNanos;
  }
}
