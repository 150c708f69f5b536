package tamarindroute.settings;

import java.io.IOException;

/** What an instance was told at its birth cannot be read. */
public final class MalformedSettingsException extends IOException {

  private static final long serialVersionUID = 1L;

  public MalformedSettingsException(String message) {
    super(message);
  }
}
