package tamarindroute.variants;

/** Wrong arguments; the usage is printed with the message. */
final class UsageException extends Exception {

  private static final long serialVersionUID = 1;

  UsageException(String message) {
    super(message);
  }
}
