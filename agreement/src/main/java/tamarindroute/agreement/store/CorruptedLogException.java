package tamarindroute.agreement.store;

import java.io.IOException;

/** The record log is damaged in a way that no crash explains. The log must not be used. */
public final class CorruptedLogException extends IOException {
  private static final long serialVersionUID = 1L;

  CorruptedLogException(long offset) {
    super("record log is corrupted at byte " + offset + " and must not be used");
  }
}
