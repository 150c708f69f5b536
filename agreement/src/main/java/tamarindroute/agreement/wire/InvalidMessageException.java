package tamarindroute.agreement.wire;

/**
 * Thrown if encoded data is malformed or exceeds a limit. Has no stack trace, as any peer can cause
 * the exception at any rate.
 */
public final class InvalidMessageException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception that names the field, its value and what is allowed. */
  public InvalidMessageException(String message) {
    super(message, null, false, false);
  }
}
