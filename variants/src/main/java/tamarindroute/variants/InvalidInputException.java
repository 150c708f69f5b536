package tamarindroute.variants;

/** Unusable input; the message is the one line for the user. */
final class InvalidInputException extends Exception {

  private static final long serialVersionUID = 1;

  InvalidInputException(String message) {
    super(message);
  }
}
