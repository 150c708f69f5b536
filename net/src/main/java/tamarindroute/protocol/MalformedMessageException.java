package tamarindroute.protocol;

import java.io.IOException;

/** A message that is not of its protocol. The text of the exception is one line, fit for a log. */
public final class MalformedMessageException extends IOException {

  private static final long serialVersionUID = 1L;

  /** For what no single field can be blamed for. */
  public MalformedMessageException(String message) {
    super(message);
  }

  /**
   * For a field whose value is not allowed.
   *
   * @param field name of the field
   * @param value its value, as it was sent; null if the field is missing
   * @param allowed what would be allowed
   */
  public MalformedMessageException(String field, String value, String allowed) {
    super(
        field
            + (value == null ? " is missing" : " is \"" + QuotedValue.abbreviate(value) + "\"")
            + ", allowed: "
            + allowed);
  }
}
