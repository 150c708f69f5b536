package tamarindroute.variants;

/** Words of a command that don't make one; the usage is to be printed. */
final class UsageException extends Exception {

  private static final long serialVersionUID = 1;

  UsageException(String message) {
    super(message);
  }
}
