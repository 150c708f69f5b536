package tamarindroute.net;

/**
 * Whether received bytes are discarded, and the lingering close that may be the cause. Changed on
 * the event loop, read on MINA's thread.
 */
final class InputDiscarder {

  private volatile boolean discarding;

  /** The lingering close under way; null before. */
  private volatile LingeringClose lingeringClose;

  /** Discards all that is received from now on. */
  void start() {
    discarding = true;
  }

  /** Starts a lingering close, which discards what is received. */
  void startLingering(LingeringClose lingering) {
    discarding = true;
    lingeringClose = lingering;
    lingering.start();
  }

  /** Whether all that is received is discarded; on any thread. */
  boolean isDiscarding() {
    return discarding;
  }

  /** Whether a lingering close is under way; on any thread. */
  boolean isLingering() {
    return lingeringClose != null;
  }

  /** On MINA's thread: whether the output is to be shut down now; true only once. */
  boolean claimOutputShutdown() {
    LingeringClose lingering = lingeringClose;
    return lingering != null && lingering.claimOutputShutdown();
  }

  /** On MINA's thread: whether bytes just received are to be discarded. */
  boolean discards(int length) {
    if (!discarding) {
      return false;
    }
    LingeringClose lingering = lingeringClose;
    if (lingering != null) {
      lingering.onDiscarded(length);
    }
    return true;
  }

  /** The connection has ended; on the event loop. */
  void cancelTimer() {
    LingeringClose lingering = lingeringClose;
    if (lingering != null) {
      lingering.cancelTimer();
    }
  }
}
