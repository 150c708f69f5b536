package tamarindroute.net;

/**
 * What the other side of a connection has closed: its output, which is this side's input, or the
 * whole session. Written on MINA's thread, and read on any thread.
 */
final class RemoteSide {

  /**
   * After this long without an open input, nobody is there to be served. The protocol lets a client
   * close its side and wait, but for one that is gone no attempt may begin after 100 ms; this is
   * half of that.
   */
  private static final long ABANDONED_AFTER_NANOS = 50_000_000;

  private volatile long inputClosedAtNanos;
  private volatile boolean inputClosed;
  private volatile boolean sessionClosed;

  /** The other side sends no more. */
  void onInputClosed() {
    inputClosedAtNanos = System.nanoTime();
    inputClosed = true;
  }

  /** The session has ended. */
  void onSessionClosed() {
    sessionClosed = true;
  }

  boolean isInputClosed() {
    return inputClosed;
  }

  boolean isSessionClosed() {
    return sessionClosed;
  }

  /** Whether the session has ended, or the input was closed a while ago. */
  boolean isAbandoned() {
    return sessionClosed
        || (inputClosed && System.nanoTime() - inputClosedAtNanos > ABANDONED_AFTER_NANOS);
  }
}
