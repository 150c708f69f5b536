package tamarindroute.variants;

/** Input that can't be used; the message is the one line for the user. */
final class RefusedException extends Exception {

  private static final long serialVersionUID = 1;

  RefusedException(String message) {
    super(message);
  }
}
