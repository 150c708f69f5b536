package tamarindroute.agreement.store;

import java.io.IOException;

/**
 * Thrown if a record log is damaged in a way that no crash explains. The log must not be used, as a
 * voter that continued from it might have forgotten a vote.
 */
public final class CorruptedLogException extends IOException {
  private static final long serialVersionUID = 1L;

  CorruptedLogException(long offset) {
    super("record at byte " + offset + " is neither complete nor torn; the log must not be used");
  }
}
