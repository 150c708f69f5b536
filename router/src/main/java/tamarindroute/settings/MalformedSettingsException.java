package tamarindroute.settings;

import java.io.IOException;
import tamarindroute.protocol.QuotedValue;

/** The configuration or the settings of an instance can't be used. */
public final class MalformedSettingsException extends IOException {

  private static final long serialVersionUID = 1L;

  /** For what no single key can be blamed for. */
  public MalformedSettingsException(String message) {
    super(message);
  }

  /**
   * For a value that is not allowed.
   *
   * @param key key of the setting
   * @param value its value, as it was given
   * @param allowed what would be allowed
   */
  public MalformedSettingsException(String key, String value, String allowed) {
    super(key + " is " + QuotedValue.abbreviate(value) + ", allowed: " + allowed);
  }

  /** For a required key that is absent. */
  public static MalformedSettingsException missing(String key) {
    return new MalformedSettingsException(key + " is missing");
  }
}
